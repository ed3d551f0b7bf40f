//! What sockets are ready and which timers are due, for the one thread of the program. It stands in place of
//! async-io: that arms every socket anew for each message and sets a kernel timer for each wait, 14 system
//! calls a hit where 5 will do, and one core has to carry thousands of hits a second (docs/design.md).

use async_executor::LocalExecutor;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Events taken from the kernel at one go.
const EVENTS: usize = 512;
/// Tasks run before sockets are looked at again.
const TASKS: usize = 256;
/// Longest wait for an event; nothing depends on it.
const LONGEST: Duration = Duration::from_secs(1);

/// One direction of a socket: ready until an attempt would have blocked.
#[derive(Default)]
struct Side {
    ready: bool,
    waker: Option<Waker>,
}

/// A socket's two sides, and whether its other end is gone: then both stay ready.
#[derive(Default)]
struct Slot {
    sides: [Side; 2],
    over: bool,
}

const READ: usize = 0;
const WRITE: usize = 1;

#[derive(Default)]
struct Reactor {
    epoll: Option<OwnedFd>,
    slots: Vec<Slot>,
    free: Vec<usize>,
    timers: BTreeMap<(Instant, u64), Waker>,
    set: u64,
}

thread_local! {
    static REACTOR: RefCell<Reactor> = RefCell::default();
}

fn with<R>(f: impl FnOnce(&mut Reactor) -> R) -> R {
    REACTOR.with(|reactor| f(&mut reactor.borrow_mut()))
}

/// A socket that does not block, known to this thread's reactor until it is dropped.
pub struct Async<T: AsFd> {
    io: T,
    at: usize,
}

impl<T: AsFd> Async<T> {
    /// Takes a socket that is set not to block.
    pub fn new(io: T) -> io::Result<Self> {
        with(|r| {
            if r.epoll.is_none() {
                r.epoll = Some(epoll::create(CreateFlags::CLOEXEC)?);
            }
            let Some(epoll) = &r.epoll else { return Err(io::ErrorKind::Other.into()) };
            let at = r.free.last().copied().unwrap_or(r.slots.len());
            // By edges: the kernel tells each change once, and no call is needed to hear of the next.
            let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
            epoll::add(epoll, &io, EventData::new_u64(at as u64), flags)?;
            if r.free.pop().is_none() {
                r.slots.push(Slot::default());
            }
            r.slots[at] = Slot::default();
            Ok(Async { io, at })
        })
    }

    pub fn get_ref(&self) -> &T {
        &self.io
    }

    async fn ready(&self, side: usize) {
        poll_fn(|cx| {
            with(|r| {
                let slot = &mut r.slots[self.at];
                if slot.over || slot.sides[side].ready {
                    return Poll::Ready(());
                }
                slot.sides[side].waker = Some(cx.waker().clone());
                Poll::Pending
            })
        })
        .await;
    }

    pub async fn readable(&self) {
        self.ready(READ).await;
    }

    pub async fn writable(&self) {
        self.ready(WRITE).await;
    }

    /// There was nothing more to read, or to accept.
    pub fn clear_readable(&self) {
        with(|r| r.slots[self.at].sides[READ].ready = false);
    }

    /// No more could be written.
    pub fn clear_writable(&self) {
        with(|r| r.slots[self.at].sides[WRITE].ready = false);
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        // The kernel forgets the socket when it is closed, right after this.
        let wakers = with(|r| {
            r.free.push(self.at);
            std::mem::take(&mut r.slots[self.at])
        });
        drop(wakers);
    }
}

/// Sends small messages at once. A congestion control that paces what it sends sets a kernel timer a message;
/// the plainest does not. Refused, either only costs time.
pub fn tune_for_latency(socket: impl AsFd) {
    let _ = rustix::net::sockopt::set_tcp_nodelay(&socket, true);
    let _ = rustix::net::sockopt::set_tcp_congestion(&socket, "reno");
}

/// Connects for as long as the future is polled.
pub async fn connect(addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    tune_for_latency(&socket);
    match rustix::net::connect(&socket, &addr) {
        Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {}
        Err(e) => return Err(e.into()),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    stream.writable().await;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        // Gone already again, or never up: the name of the other end tells.
        None => stream.get_ref().peer_addr().map(|_| stream),
    }
}

/// Ends at its time.
pub struct Timer {
    due: Instant,
    number: Option<u64>,
}

impl Timer {
    pub fn at(due: Instant) -> Self {
        Timer { due, number: None }
    }

    pub fn after(wait: Duration) -> Self {
        Timer::at(Instant::now() + wait)
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if Instant::now() >= self.due {
            return Poll::Ready(());
        }
        with(|r| {
            let number = *self.number.get_or_insert_with(|| {
                r.set += 1;
                r.set
            });
            r.timers.insert((self.due, number), cx.waker().clone());
        });
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            drop(with(|r| r.timers.remove(&(self.due, number))));
        }
    }
}

/// Waits for events, for no longer than `most`, and wakes whom they concern.
fn wait(events: &mut Vec<Event>, woken: &mut Vec<Waker>, most: Duration) -> io::Result<()> {
    events.clear();
    with(|r| {
        let next = r.timers.keys().next().map(|(due, _)| due.saturating_duration_since(Instant::now()));
        let wait = next.map_or(most, |next| next.min(most));
        let timespec = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) };
        match &r.epoll {
            None => std::thread::sleep(wait),
            Some(epoll) => {
                match epoll::wait(epoll, rustix::buffer::spare_capacity(events), Some(&timespec)) {
                    Ok(_) | Err(rustix::io::Errno::INTR) => {}
                    Err(e) => return Err(e.into()),
                }
            }
        }
        for event in events.iter() {
            let (flags, at) = (event.flags, event.data.u64() as usize);
            let Some(slot) = r.slots.get_mut(at) else { continue };
            slot.over |= flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR);
            slot.sides[READ].ready |= flags.contains(EventFlags::IN);
            slot.sides[WRITE].ready |= flags.contains(EventFlags::OUT);
            let over = slot.over;
            woken.extend(slot.sides.iter_mut().filter(|s| s.ready || over).filter_map(|s| s.waker.take()));
        }
        let now = Instant::now();
        while let Some(entry) = r.timers.first_entry().filter(|e| e.key().0 <= now) {
            woken.push(entry.remove());
        }
        io::Result::Ok(())
    })?;
    // Outside of the reactor: what a waker sets off may drop sockets.
    woken.drain(..).for_each(Waker::wake);
    Ok(())
}

/// Runs all tasks on this thread until `main` has ended.
pub fn run(tasks: &LocalExecutor<'static>, main: impl Future<Output = ()> + 'static) -> io::Result<()> {
    let main = tasks.spawn(main);
    let (mut events, mut woken) = (Vec::with_capacity(EVENTS), Vec::new());
    while !main.is_finished() {
        let busy = (0..TASKS).take_while(|_| tasks.try_tick()).count() == TASKS;
        wait(&mut events, &mut woken, if busy || main.is_finished() { Duration::ZERO } else { LONGEST })?;
    }
    Ok(())
}
