//! Client side of the marshal: accepting connections and making room for them.

use crate::client::{Client, ClientRegistry};
use crate::client_task::ClientTask;
use crate::command::MAX_VALUE_BYTES;
use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::reactor::{Async, NotRegistered, Timer};
use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::time::Span;
use stonescale_budget::plan::CLIENT_CONNECTION_BYTES;
use stonescale_budget::{Ledger, Purpose};
use stonescale_connection::socket_errors::{AcceptFailure, classify_accept_error};
use stonescale_site::WireNames;
use tracing::{debug, warn};

/// Interval of retries to accept after memory or descriptors ran out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Connections accepted before other tasks get their turn.
const MAX_ACCEPTS_PER_TURN: usize = 128;
/// Time after which they get it in any case: connections that have sent hits wait meanwhile.
const MAX_ACCEPT_TURN: Duration = Duration::from_millis(2);
/// Interval of checks whether memory must be reclaimed; shorter than the time after which a client counts as
/// stalled.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Bound on the connections closed at once to make room for new ones.
const MAX_EVICTIONS: usize = 16;
/// Idle connections are closed after this time: some clients ask once and keep their connection for good.
pub const IDLE_TIMEOUT: Span = Span::millis(2_000);
/// Factor on that time for clients that sent at most one command, when other connections need the room. A
/// slow client may still use its connection; but if idle connections were kept for long, the clients waiting
/// to be accepted would give up first, and accepting them would then be in vain.
const SINGLE_COMMAND_IDLE_FACTOR: f64 = 0.1;
/// A connection that never sent a hit, or is in the middle of a command, is kept at least this long when all are in use
/// and others wait to be accepted.
const MIN_UNPRODUCTIVE_TIME: Span = Span::millis(50);
/// Bound on those of them closed at once.
const MAX_UNPRODUCTIVE_EVICTIONS: usize = 64;
/// A client's deadline runs while its connection waits to be accepted, for a time that is not known. It is taken as the time
/// for which others may have waited, up to this, the slack that the operators allow for the time told to a node.
const MAX_ASSUMED_WAIT: Duration = Duration::from_millis(150);
/// A connection is kept at least this long when all are in use and others wait to be accepted.
const MIN_TENURE: Span = Span::millis(1_000);
/// State shared by all client connections.
pub struct ClientServer {
    pub inbox: Rc<Inbox>,
    pub names: WireNames,
    pub registry: Rc<ClientRegistry>,
    pub ledger: Ledger,
    pub metrics: Rc<Metrics>,
    max_connections: usize,
    /// Number of connections that have sent a command above which idle ones are closed.
    idle_eviction_threshold: usize,
    count: Cell<usize>,
    /// Into which all connections read.
    pub scratch: RefCell<Vec<u8>>,
}

/// The connections accepted since other tasks had their turn.
struct AcceptTurn {
    began: Instant,
    accepted: usize,
}

impl AcceptTurn {
    fn begin() -> Self {
        AcceptTurn { began: Instant::now(), accepted: 0 }
    }

    fn is_over(&self) -> bool {
        self.accepted == MAX_ACCEPTS_PER_TURN || self.began.elapsed() >= MAX_ACCEPT_TURN
    }
}

impl ClientServer {
    /// Creates a server without connections. `idle_eviction_threshold` is the number of connections that have sent a
    /// command above which idle ones are closed.
    pub fn new(
        inbox: Rc<Inbox>, registry: Rc<ClientRegistry>, names: WireNames, metrics: Rc<Metrics>,
        (max_connections, idle_eviction_threshold): (usize, usize),
    ) -> Rc<Self> {
        let (ledger, scratch) = (registry.ledger.clone(), RefCell::new(vec![0; MAX_VALUE_BYTES]));
        Rc::new(ClientServer {
            inbox,
            names,
            registry,
            ledger,
            metrics,
            max_connections,
            idle_eviction_threshold,
            count: Cell::new(0),
            scratch,
        })
    }

    /// Number of open client connections.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Requests that every connection is closed as soon as it is idle.
    pub fn close_when_idle(&self) {
        for client in self.registry.connected() {
            client.closing.set(true);
            client.signal.raise();
        }
    }

    /// Accepts connections for as long as the future is polled.
    pub async fn accept(
        self: Rc<Self>, listener: Rc<Async<TcpListener>>, executor: Rc<LocalExecutor<'static>>,
    ) {
        let (mut accept_failing, mut last_rotation) = (false, Instant::now());
        let mut turn = AcceptTurn::begin();
        // Accepted, but not registered for want of resources.
        let mut unregistered = None;
        // Since when connections may have waited to be accepted.
        let mut waiting_since: Option<Instant> = None;
        loop {
            if self.count.get() >= self.max_connections
                || self.ledger.available(Purpose::Clients) < CLIENT_CONNECTION_BYTES
            {
                waiting_since.get_or_insert_with(Instant::now);
                // No connection is idle: long-lived connections must not lock out all other clients.
                if self.registry.close_unproductive(MIN_UNPRODUCTIVE_TIME, MAX_UNPRODUCTIVE_EVICTIONS) == 0
                    && self.close_idle(MAX_EVICTIONS) == 0
                    && last_rotation.elapsed() >= ACCEPT_RETRY_INTERVAL * MAX_EVICTIONS as u32
                {
                    last_rotation = Instant::now();
                    self.registry.rotate(MIN_TENURE, MAX_EVICTIONS);
                }
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
                turn = AcceptTurn::begin();
                continue;
            }
            if turn.is_over() {
                yield_now().await;
                turn = AcceptTurn::begin();
            }
            let accepted = match unregistered.take() {
                Some(stream) => Ok(stream),
                None => listener.get_ref().accept().map(|(stream, _)| stream),
            };
            let accepted = accepted.and_then(|stream| stream.set_nonblocking(true).map(|()| stream));
            let registered = accepted.and_then(|stream| {
                Async::register(stream).map_err(|NotRegistered { io, error }| {
                    // Its client may have sent a hit by now.
                    unregistered = Some(io);
                    error
                })
            });
            let stream = match registered {
                Ok(stream) => stream,
                Err(e) => {
                    match classify_accept_error(&e) {
                        AcceptFailure::NoneWaiting => {
                            waiting_since = None;
                            listener.clear_readable();
                            listener.readable().await;
                        }
                        AcceptFailure::TryNext => {
                            debug!("a connection failed before it was accepted: {e}");
                            yield_now().await;
                        }
                        AcceptFailure::OutOfResources => {
                            if !std::mem::replace(&mut accept_failing, true) {
                                warn!("accepting a connection failed, retrying: {e}");
                            }
                            self.close_idle(MAX_EVICTIONS);
                            Timer::after(ACCEPT_RETRY_INTERVAL).await;
                        }
                    }
                    turn = AcceptTurn::begin();
                    continue;
                }
            };
            accept_failing = false;
            turn.accepted += 1;
            let Some(client) = self.registry.register(stream) else { continue };
            self.count.set(self.count.get() + 1);
            self.metrics.connection_accepted();
            let waited = waiting_since.map_or(Duration::ZERO, |since| since.elapsed().min(MAX_ASSUMED_WAIT));
            client.assumed_wait.set(Span::nanos(waited.as_nanos() as u64));
            let active = self.registry.active_connections();
            // Clients use a limited number of connections for hits: if all of them stayed idle, the next hit
            // would find none.
            let excess = active.saturating_sub(self.idle_eviction_threshold).min(MAX_EVICTIONS);
            if excess > 0 {
                self.close_idle(excess);
            }
            executor.spawn(self.clone().serve(client)).detach();
        }
    }

    fn close_idle(&self, max_count: usize) -> usize {
        self.registry.close_idle((IDLE_TIMEOUT, IDLE_TIMEOUT * SINGLE_COMMAND_IDLE_FACTOR), max_count)
    }

    /// Reclaims memory as its current levels require, for as long as the future is polled.
    pub async fn reclaim_periodically(self: Rc<Self>) {
        loop {
            Timer::after(RECLAIM_INTERVAL).await;
            self.registry.reclaim((IDLE_TIMEOUT, IDLE_TIMEOUT * SINGLE_COMMAND_IDLE_FACTOR), MAX_EVICTIONS);
        }
    }

    /// Records that a connection has ended.
    pub fn connection_closed(&self) {
        self.count.set(self.count.get() - 1);
    }

    async fn serve(self: Rc<Self>, client: Rc<Client>) {
        match ClientTask::new(self.clone(), client) {
            Some(task) => task.run().await,
            None => self.connection_closed(),
        }
    }
}
