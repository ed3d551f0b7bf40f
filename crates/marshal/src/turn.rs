//! Waiting for the events a socket task handles (socket readiness, a signal from the core task, a deadline),
//! and non-blocking socket I/O.

use crate::reactor::{self, Async, Timer};
use futures_lite::future::{or, pending};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};
use stonescale_budget::Buffer;

/// Notification from one task to another. Stays raised until the waiting task sees it; at most one task may
/// wait.
#[derive(Default)]
pub struct Signal {
    raised: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// Raises the signal and wakes the waiting task, if any.
    pub fn raise(&self) {
        self.raised.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the signal is raised, and clears it.
    pub async fn wait(&self) {
        poll_fn(|cx| {
            if self.raised.take() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

/// Event that ended a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wakeup {
    /// The socket may be readable, or is closed.
    Readable,
    /// The socket may be writable, or is closed.
    Writable,
    /// The peer has ended its sending, or the connection has failed; input may still be unread.
    InputEnded,
    Signaled,
    DeadlineReached,
}

/// The events of a socket for which a task waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Interest {
    pub read: bool,
    pub write: bool,
    /// The end of the peer's sending, which is seen also while nothing is read.
    pub input_end: bool,
}

/// Waits for the next event: one of the socket in which there is interest, the signal, or the deadline.
pub async fn wait_for_wakeup(
    stream: &Async<TcpStream>, interest: Interest, signal: &Signal, deadline: Option<Instant>,
) -> Wakeup {
    let input_ended = async {
        match interest.input_end {
            true => stream.input_ended().await,
            false => pending().await,
        }
        Wakeup::InputEnded
    };
    let readable = async {
        match interest.read {
            true => stream.readable().await,
            false => pending().await,
        }
        Wakeup::Readable
    };
    let writable = async {
        match interest.write {
            true => stream.writable().await,
            false => pending().await,
        }
        Wakeup::Writable
    };
    let signaled = async {
        signal.wait().await;
        Wakeup::Signaled
    };
    let deadline_reached = async {
        match deadline {
            Some(at) => Timer::at(at).await,
            None => pending().await,
        }
        Wakeup::DeadlineReached
    };
    or(or(or(signaled, input_ended), readable), or(writable, deadline_reached)).await
}

/// Reads the available bytes into `scratch`: `None` if there are none yet, an empty slice at the end of the
/// stream.
pub fn read_available<'a>(stream: &Async<TcpStream>, scratch: &'a mut [u8]) -> io::Result<Option<&'a [u8]>> {
    loop {
        match stream.get_ref().read(scratch) {
            // Also after a read that fills less than the buffer there may be more: only the system can tell.
            Ok(count) => return Ok(Some(&scratch[..count])),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                stream.clear_readable();
                return Ok(None);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// What a socket holds that has not been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// Nothing, and the peer has not ended the stream.
    None,
    Bytes,
    /// The peer has ended the stream, or it has failed.
    Ended,
}

/// Looks at the input of a socket without reading it.
pub fn pending_input(stream: &Async<TcpStream>) -> PendingInput {
    loop {
        match stream.get_ref().peek(&mut [0]) {
            Ok(0) => return PendingInput::Ended,
            Ok(_) => return PendingInput::Bytes,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return PendingInput::None,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return PendingInput::Ended,
        }
    }
}

/// Upper bound on the slices of one vectored write.
const MAX_PIECES: usize = 8;

/// Writes as much of `bytes` as the socket accepts now, and returns the number of bytes written.
pub fn try_write(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    retry_interrupted(stream, |mut socket| socket.write(bytes))
}

/// Like `try_write` for the slices of one message, at most `MAX_PIECES` of them.
pub fn try_write_vectored(stream: &Async<TcpStream>, pieces: &[&[u8]]) -> io::Result<usize> {
    let mut slices = [IoSlice::new(&[]); MAX_PIECES];
    slices.iter_mut().zip(pieces).for_each(|(slice, piece)| *slice = IoSlice::new(piece));
    let used = pieces.len().min(MAX_PIECES);
    retry_interrupted(stream, |mut socket| socket.write_vectored(&slices[..used]))
}

/// Calls `write`, and repeats it if a signal interrupts it; returns zero bytes if it would block.
fn retry_interrupted(
    stream: &Async<TcpStream>, write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> io::Result<usize> {
    loop {
        match write(stream.get_ref()) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                stream.clear_writable();
                return Ok(0);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes as much of the buffer as the socket accepts now, and adds the bytes written to `written`, also if
/// the connection then fails. Returns true once the buffer is empty.
pub fn write_available(
    stream: &Async<TcpStream>, buffer: &mut Buffer, written: &mut u64,
) -> io::Result<bool> {
    while !buffer.is_empty() {
        let count = try_write(stream, buffer.as_slice())?;
        if count == 0 {
            return Ok(false);
        }
        buffer.consume(count, 0);
        *written += count as u64;
    }
    Ok(true)
}

/// Connects within `timeout`; fails with `ErrorKind::TimedOut` if the connection is not established by then.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Async<TcpStream>> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ErrorKind::TimedOut.into())
    };
    or(reactor::connect(addr), timed_out).await
}
