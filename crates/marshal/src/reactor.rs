//! Single-threaded reactor: socket readiness through epoll, and timers. It replaces async-io, which re-arms every
//! socket for each message and sets a kernel timer for each wait: 14 system calls a hit instead of 5, while one core
//! has to carry thousands of hits a second (docs/design.md).

use crate::system;
use async_executor::LocalExecutor;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, Event, EventData, EventFlags};
use rustix::net::AddressFamily;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Events taken from the kernel in one call.
const MAX_EVENTS: usize = 512;
/// Tasks polled before the sockets are checked again, and the time for which they are.
const MAX_TASK_POLLS: usize = 256;
const MAX_POLL_TIME: Duration = Duration::from_micros(500);
/// Tasks polled between two readings of the clock.
const POLLS_PER_CLOCK_READING: usize = 8;
/// Connections that may wait to be accepted. Those above it are established a second late, when the system repeats their
/// handshake, and what their clients sent meanwhile comes late too.
const LISTEN_BACKLOG: i32 = 4_096;
/// Longest wait for an event; correctness does not depend on it.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Readiness of a socket in one direction. It stays set until an operation would have blocked.
#[derive(Default)]
struct Direction {
    ready: bool,
    waker: Option<Waker>,
}

/// State of a registered socket.
#[derive(Default)]
struct SocketState {
    directions: [Direction; 3],
    /// The connection is closed in both directions, or has failed: nothing blocks any more.
    hung_up: bool,
}

impl SocketState {
    /// Whether an operation in this direction would not block. Writing may block after the peer has ended its sending;
    /// reading may not.
    fn is_ready(&self, direction: usize) -> bool {
        let after_end = direction == READ && self.directions[INPUT_END].ready;
        self.hung_up || after_end || self.directions[direction].ready
    }
}

const READ: usize = 0;
const WRITE: usize = 1;
/// Ready once the peer has ended its sending or the connection has failed, also while input is unread.
const INPUT_END: usize = 2;

#[derive(Default)]
struct Reactor {
    epoll: Option<OwnedFd>,
    sockets: Vec<SocketState>,
    /// Indices in `sockets` that are not in use.
    free: Vec<usize>,
    /// By deadline and timer number.
    timers: BTreeMap<(Instant, u64), Waker>,
    last_timer: u64,
}

impl Reactor {
    /// Treats all sockets as ready.
    fn mark_all_ready(&mut self, woken: &mut Vec<Waker>) {
        for direction in self.sockets.iter_mut().flat_map(|socket| &mut socket.directions[..INPUT_END]) {
            direction.ready = true;
            woken.extend(direction.waker.take());
        }
    }
}

thread_local! {
    static REACTOR: RefCell<Reactor> = RefCell::default();
}

fn with_reactor<R>(f: impl FnOnce(&mut Reactor) -> R) -> R {
    REACTOR.with(|reactor| f(&mut reactor.borrow_mut()))
}

/// A non-blocking socket, registered with this thread's reactor until it is dropped.
pub struct Async<T: AsFd> {
    io: T,
    /// Index in the reactor's `sockets`.
    index: usize,
}

/// A socket that the reactor could not register, and why.
pub struct NotRegistered<T> {
    pub io: T,
    pub error: io::Error,
}

impl<T: AsFd> Async<T> {
    /// Registers a socket that is already non-blocking.
    pub fn new(io: T) -> io::Result<Self> {
        Self::register(io).map_err(|failed| failed.error)
    }

    /// Like [`Async::new`]; a failure gives the socket back, so that it can be tried again.
    pub fn register(io: T) -> Result<Self, NotRegistered<T>> {
        match Self::add_to_reactor(&io) {
            Ok(index) => Ok(Async { io, index }),
            Err(error) => Err(NotRegistered { io, error }),
        }
    }

    /// Returns the socket's index in the reactor.
    fn add_to_reactor(io: &T) -> io::Result<usize> {
        with_reactor(|reactor| {
            if reactor.epoll.is_none() {
                reactor.epoll = Some(epoll::create(CreateFlags::CLOEXEC)?);
            }
            let Some(epoll) = &reactor.epoll else { return Err(io::ErrorKind::Other.into()) };
            let index = reactor.free.last().copied().unwrap_or(reactor.sockets.len());
            // Edge-triggered: the kernel reports each change once, and no call re-arms the socket.
            let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
            system::epoll_add(epoll, io, EventData::new_u64(index as u64), flags)?;
            if reactor.free.pop().is_none() {
                reactor.sockets.push(SocketState::default());
            }
            reactor.sockets[index] = SocketState::default();
            Ok(index)
        })
    }

    pub fn get_ref(&self) -> &T {
        &self.io
    }

    async fn wait_ready(&self, direction: usize) {
        poll_fn(|cx| {
            with_reactor(|reactor| {
                let socket = &mut reactor.sockets[self.index];
                if socket.is_ready(direction) {
                    return Poll::Ready(());
                }
                socket.directions[direction].waker = Some(cx.waker().clone());
                Poll::Pending
            })
        })
        .await;
    }

    /// Waits until the socket may be readable, or is closed.
    pub async fn readable(&self) {
        self.wait_ready(READ).await;
    }

    /// Waits until the socket may be writable, or is closed.
    pub async fn writable(&self) {
        self.wait_ready(WRITE).await;
    }

    /// Waits until the peer has ended its sending or the connection has failed. Input may still be unread then.
    pub async fn input_ended(&self) {
        self.wait_ready(INPUT_END).await;
    }

    /// Whether the connection is closed in both directions, or has failed.
    fn is_hung_up(&self) -> bool {
        with_reactor(|reactor| reactor.sockets[self.index].hung_up)
    }

    /// To be called once there is nothing left to read or accept: `readable` then waits for the next event.
    pub fn clear_readable(&self) {
        with_reactor(|reactor| reactor.sockets[self.index].directions[READ].ready = false);
    }

    /// To be called once a write would have blocked: `writable` then waits for the next event.
    pub fn clear_writable(&self) {
        with_reactor(|reactor| reactor.sockets[self.index].directions[WRITE].ready = false);
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        // No call to epoll is needed: closing the socket right after this removes it from the epoll set.
        let wakers = with_reactor(|reactor| {
            reactor.free.push(self.index);
            std::mem::take(&mut reactor.sockets[self.index])
        });
        drop(wakers);
    }
}

/// Turns off Nagle's algorithm, so that small messages are sent at once, and selects the congestion control "reno":
/// one that paces its output sets a kernel timer for each message. If either option is refused, only speed is lost.
pub fn tune_for_latency(socket: impl AsFd) {
    let _ = system::set_nodelay(&socket);
    let _ = system::set_congestion_control(&socket, "reno");
}

/// Listens at `addr`. If the longer queue of connections is refused, the usual one stays.
pub fn listen(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = TcpListener::bind(addr)?;
    let _ = rustix::net::listen(&listener, LISTEN_BACKLOG);
    listener.set_nonblocking(true)?;
    // Accepted sockets inherit these options.
    tune_for_latency(&listener);
    Async::new(listener)
}

/// Connects to `addr`. There is no time limit; dropping the future gives up the attempt.
pub async fn connect(addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = system::tcp_socket(family)?;
    tune_for_latency(&socket);
    match system::connect(&socket, &addr) {
        // An interrupted connect goes on like one in progress.
        Ok(()) | Err(rustix::io::Errno::INPROGRESS | rustix::io::Errno::INTR) => {}
        Err(e) => return Err(e.into()),
    }
    let stream = Async::new(TcpStream::from(socket))?;
    loop {
        stream.writable().await;
        if let Some(error) = system::take_connect_error(stream.get_ref())? {
            return Err(error);
        }
        match stream.get_ref().peer_addr() {
            Ok(_) => return Ok(stream),
            // Writable without an error and without a peer: it is still being established, and the event was for nothing,
            // or it is closed again or never came up.
            Err(e) if e.kind() == io::ErrorKind::NotConnected && !stream.is_hung_up() => {
                stream.clear_writable();
            }
            Err(e) => return Err(e),
        }
    }
}

/// A future that completes at its deadline.
pub struct Timer {
    deadline: Instant,
    number: Option<u64>,
}

impl Timer {
    /// A timer for this deadline; one in the past completes at the first poll.
    pub fn at(deadline: Instant) -> Self {
        Timer { deadline, number: None }
    }

    pub fn after(wait: Duration) -> Self {
        Timer::at(Instant::now() + wait)
    }
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        with_reactor(|reactor| {
            let number = *self.number.get_or_insert_with(|| {
                reactor.last_timer += 1;
                reactor.last_timer
            });
            reactor.timers.insert((self.deadline, number), cx.waker().clone());
        });
        Poll::Pending
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            drop(with_reactor(|reactor| reactor.timers.remove(&(self.deadline, number))));
        }
    }
}

/// Waits for events or the next timer, for no longer than `max_wait`, and wakes the tasks concerned.
fn wait_for_events(events: &mut Vec<Event>, woken: &mut Vec<Waker>, max_wait: Duration) -> io::Result<()> {
    events.clear();
    with_reactor(|reactor| {
        let next = reactor
            .timers
            .keys()
            .next()
            .map(|(deadline, _)| deadline.saturating_duration_since(Instant::now()));
        let wait = next.map_or(max_wait, |next| next.min(max_wait));
        let timespec = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) };
        match &reactor.epoll {
            None => std::thread::sleep(wait),
            Some(epoll) => match system::epoll_wait(epoll, events, &timespec) {
                Ok(()) | Err(rustix::io::Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            },
        }
        if system::has_spurious_events() {
            reactor.mark_all_ready(woken);
        }
        for event in events.iter() {
            let (flags, index) = (event.flags, event.data.u64() as usize);
            let Some(socket) = reactor.sockets.get_mut(index) else { continue };
            socket.hung_up |= flags.intersects(EventFlags::HUP | EventFlags::ERR);
            socket.directions[READ].ready |= flags.contains(EventFlags::IN);
            socket.directions[WRITE].ready |= flags.contains(EventFlags::OUT);
            socket.directions[INPUT_END].ready |= flags.contains(EventFlags::RDHUP);
            for direction in [READ, WRITE, INPUT_END] {
                if socket.is_ready(direction) {
                    woken.extend(socket.directions[direction].waker.take());
                }
            }
        }
        let now = Instant::now();
        while let Some(entry) = reactor.timers.first_entry().filter(|e| e.key().0 <= now) {
            woken.push(entry.remove());
        }
        io::Result::Ok(())
    })?;
    // Not while the reactor is borrowed: a woken task may drop sockets.
    woken.drain(..).for_each(Waker::wake);
    Ok(())
}

/// Polls tasks that are ready, for a limited time: a few tasks that are always ready must not keep the others from their
/// sockets. Returns true if more may be ready.
fn poll_tasks(executor: &LocalExecutor<'static>) -> bool {
    let start = Instant::now();
    for polls in 1..=MAX_TASK_POLLS {
        if !executor.try_tick() {
            return false;
        }
        if polls.is_multiple_of(POLLS_PER_CLOCK_READING) && start.elapsed() >= MAX_POLL_TIME {
            break;
        }
    }
    true
}

/// Runs all tasks on this thread until `main` has finished. An error is that of epoll.
pub fn run(executor: &LocalExecutor<'static>, main: impl Future<Output = ()> + 'static) -> io::Result<()> {
    let main = executor.spawn(main);
    let (mut events, mut woken) = (Vec::with_capacity(MAX_EVENTS), Vec::new());
    while !main.is_finished() {
        let busy = poll_tasks(executor);
        wait_for_events(
            &mut events,
            &mut woken,
            if busy || main.is_finished() { Duration::ZERO } else { MAX_WAIT },
        )?;
    }
    Ok(())
}
