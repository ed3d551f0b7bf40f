//! What a socket task waits for: its socket, a call from the core task, or a time.

use crate::reactor::{self, Async, Timer};
use futures_lite::future::{or, pending};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};
use stonescale_budget::Buffer;

/// Raised by one side, waited for by one task on the other.
#[derive(Default)]
pub struct Signal {
    raised: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    pub fn raise(&self) {
        self.raised.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    Readable,
    Writable,
    Called,
    Due,
}

/// Waits for the next thing to do; reading and writing only where wanted.
pub async fn turn(
    stream: &Async<TcpStream>, read: bool, write: bool, signal: &Signal, due: Option<Instant>,
) -> Turn {
    let readable = async {
        match read {
            true => stream.readable().await,
            false => pending().await,
        }
        Turn::Readable
    };
    let writable = async {
        match write {
            true => stream.writable().await,
            false => pending().await,
        }
        Turn::Writable
    };
    let called = async {
        signal.wait().await;
        Turn::Called
    };
    let due = async {
        match due {
            Some(at) => Timer::at(at).await,
            None => pending().await,
        }
        Turn::Due
    };
    or(or(called, readable), or(writable, due)).await
}

/// Reads what is there into `scratch`; none where nothing is yet, an empty slice at the stream's end.
pub fn read_some<'a>(stream: &Async<TcpStream>, scratch: &'a mut [u8]) -> io::Result<Option<&'a [u8]>> {
    loop {
        match stream.get_ref().read(scratch) {
            Ok(n) => {
                if n < scratch.len() {
                    stream.clear_readable();
                }
                return Ok(Some(&scratch[..n]));
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                stream.clear_readable();
                return Ok(None);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// Nothing has come that was not read, and the other side has not ended the stream.
pub fn quiet(stream: &Async<TcpStream>) -> bool {
    matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Most pieces that a message is written in.
const PIECES: usize = 8;

/// Writes what the connection takes of `bytes` now, and says how much that was.
pub fn write_now(stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<usize> {
    now_or_not(stream, |mut socket| socket.write(bytes))
}

/// The same for the pieces of one message, `PIECES` at most.
pub fn write_pieces(stream: &Async<TcpStream>, pieces: &[&[u8]]) -> io::Result<usize> {
    let mut slices = [IoSlice::new(&[]); PIECES];
    slices.iter_mut().zip(pieces).for_each(|(slice, piece)| *slice = IoSlice::new(piece));
    let used = pieces.len().min(PIECES);
    now_or_not(stream, |mut socket| socket.write_vectored(&slices[..used]))
}

fn now_or_not(
    stream: &Async<TcpStream>, write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> io::Result<usize> {
    loop {
        match write(stream.get_ref()) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                stream.clear_writable();
                return Ok(0);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            wrote => return wrote,
        }
    }
}

/// Writes what can be written now, counting it in `written` also where the connection breaks. True once
/// nothing is left.
pub fn write_some(stream: &Async<TcpStream>, out: &mut Buffer, written: &mut u64) -> io::Result<bool> {
    while !out.is_empty() {
        let n = write_now(stream, out.as_slice())?;
        if n == 0 {
            return Ok(false);
        }
        out.consume(n, 0);
        *written += n as u64;
    }
    Ok(true)
}

/// Connects within `limit`; an error of kind `TimedOut` where the connection doesn't come up.
pub async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Async<TcpStream>> {
    let late = async {
        Timer::after(limit).await;
        Err(ErrorKind::TimedOut.into())
    };
    or(reactor::connect(addr), late).await
}
