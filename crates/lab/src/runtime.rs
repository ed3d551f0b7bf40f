//! Thread and executor on which the stand-ins run.

use async_executor::Executor;
use async_io::Timer;
use rustix::net::{AddressFamily, SocketType};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use stonescale::time::{Span, Time};

/// Unix time that advances monotonically, like the marshal's own clock.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    fn start() -> Self {
        Clock {
            start: Instant::now(),
            unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        }
    }

    /// The current Unix time.
    pub fn now(&self) -> Time {
        Time::at((self.unix + self.start.elapsed()).as_nanos() as u64)
    }

    /// Time since the runtime was started.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

/// A listener on the loopback address.
pub type Listener = async_io::Async<TcpListener>;
/// A TCP connection.
pub type Stream = async_io::Async<TcpStream>;

/// Executor with one thread of its own; dropping it stops the thread.
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    /// Clock of all stand-ins, started with the runtime.
    pub clock: Clock,
    /// Closing it stops the thread.
    _shutdown: async_channel::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Default for Runtime {
    fn default() -> Self {
        let executor = Arc::new(Executor::new());
        let (shutdown, stopped) = async_channel::bounded(1);
        let running = executor.clone();
        let run = move || {
            let _ = async_io::block_on(running.run(stopped.recv()));
        };
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(run).ok();
        Runtime { executor, clock: Clock::start(), _shutdown: shutdown, thread }
    }
}

impl Runtime {
    /// Runs a task in the background, until the runtime is dropped.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Runs a task, and returns a handle to its result; dropping the handle cancels the task.
    pub fn spawn_with_result<T: Send + 'static>(
        &self, task: impl Future<Output = T> + Send + 'static,
    ) -> async_executor::Task<T> {
        self.executor.spawn(task)
    }

    /// The executor, for tasks that spawn others.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        self.executor.clone()
    }

    /// Listens on a free port of the loopback address.
    pub fn listen(&self) -> (Listener, SocketAddr) {
        listen_at((Ipv4Addr::LOCALHOST, 0).into()).expect("a loopback port")
    }
}

/// Keeps a port from other processes for as long as it exists, also while nothing listens there.
pub struct ReservedPort {
    pub addr: SocketAddr,
    _socket: OwnedFd,
}

impl ReservedPort {
    /// Reserves a free port of the loopback address.
    pub fn new() -> std::io::Result<Self> {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
        // Others that reuse addresses, as listeners do, may bind the port beside it.
        rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
        rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = rustix::net::getsockname(&socket)?.try_into()?;
        Ok(ReservedPort { addr, _socket: socket })
    }
}

/// Listens on an address; port 0 stands for any free port.
pub fn listen_at(addr: SocketAddr) -> std::io::Result<(Listener, SocketAddr)> {
    let listener = Listener::bind(addr)?;
    let addr = listener.get_ref().local_addr()?;
    Ok((listener, addr))
}

impl Drop for Runtime {
    fn drop(&mut self) {
        self._shutdown.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Suspends a task for this long.
pub async fn sleep(span: Span) {
    Timer::after(Duration::from_nanos(span.as_nanos())).await;
}

/// Blocks the calling thread until the condition holds; false if it does not within `timeout`.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > timeout {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Blocks the calling thread until the channel has an entry and returns it; none if there is none within `timeout`.
pub fn next_within<T>(receiver: &async_channel::Receiver<T>, timeout: Duration) -> Option<T> {
    let elapsed = async {
        Timer::after(timeout).await;
        None
    };
    async_io::block_on(futures_lite::future::or(async { receiver.recv().await.ok() }, elapsed))
}
