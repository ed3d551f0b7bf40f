//! Client side of the marshal: accepting connections and reading commands.

use crate::client::{Client, ClientRegistry, Reply, text_reply};
use crate::command::{self, COMMAND_LIMITS, Command, MAX_VALUE_BYTES, Request, parse_command};
use crate::inbox::{HitEvent, Inbox, IncomingHit};
use crate::reactor::{Async, Timer};
use crate::turn::{Wakeup, read_available, wait_for_wakeup};
use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::policy::retry_after;
use stonescale::time::Span;
use stonescale_budget::buffer::MIN_CAPACITY_BYTES;
use stonescale_budget::plan::{CLIENT_CONNECTION_BYTES, HIT_BYTES};
use stonescale_budget::{Buffer, Ledger, Purpose};
use stonescale_formats::resp::{ElementKind, Scanner};
use stonescale_site::WireNames;
use tracing::{debug, warn};

/// Interval of retries to accept after memory or descriptors ran out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of checks whether memory must be reclaimed; shorter than the time after which a client counts as
/// stalled.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Bound on the connections closed at once to make room for new ones.
const MAX_EVICTIONS: usize = 16;
/// Idle connections are closed after this time: some clients ask once and keep their connection for good.
const IDLE_TIMEOUT: Span = Span::millis(2_000);
/// Factor on that time for clients that sent at most one command, when other connections need the room. A
/// slow client may still use its connection; but if idle connections were kept for long, the clients waiting
/// to be accepted would give up first, and accepting them would then be in vain.
const SINGLE_COMMAND_IDLE_FACTOR: f64 = 0.1;
/// A connection is kept at least this long when all are in use and others wait to be accepted.
const MIN_TENURE: Span = Span::millis(1_000);
/// Time limit for a client's first complete command, and for each partly received one. The protocol's limit
/// is 3 s.
const COMMAND_TIMEOUT: Span = Span::millis(2_500);
/// How long a connection with a protocol error stays open for the client to read the error.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all client connections.
pub struct ClientServer {
    inbox: Rc<Inbox>,
    names: WireNames,
    registry: Rc<ClientRegistry>,
    ledger: Ledger,
    max_connections: usize,
    /// Number of connections that have sent a command above which idle ones are closed.
    idle_eviction_threshold: usize,
    count: Cell<usize>,
    scratch: RefCell<Vec<u8>>,
}

/// Read state of one connection.
struct ReadState {
    received: Buffer,
    scanner: Scanner,
    /// A command that found no room: its remaining bytes are discarded, then it is bounced in its turn.
    skipped: Option<SkippedCommand>,
    /// The protocol error after which nothing more is read: faulty framing, a missed time limit or missing memory.
    protocol_error: Option<&'static str>,
    command_started_at: Instant,
}

/// A command being discarded, and the reply it gets afterwards.
struct SkippedCommand {
    remaining_bytes: usize,
    sequence: u64,
    reply: Vec<u8>,
}

impl ClientServer {
    /// Creates a server without connections. `idle_eviction_threshold` is the number of connections that have sent a
    /// command above which idle ones are closed.
    pub fn new(
        inbox: Rc<Inbox>, registry: Rc<ClientRegistry>, names: WireNames,
        (max_connections, idle_eviction_threshold): (usize, usize),
    ) -> Rc<Self> {
        let (ledger, scratch) = (registry.ledger.clone(), RefCell::new(vec![0; MAX_VALUE_BYTES]));
        Rc::new(ClientServer {
            inbox,
            names,
            registry,
            ledger,
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
        loop {
            if self.count.get() >= self.max_connections
                || self.ledger.available(Purpose::Clients) < CLIENT_CONNECTION_BYTES
            {
                // No connection is idle: long-lived connections must not lock out all other clients.
                if self.close_idle(MAX_EVICTIONS) == 0
                    && last_rotation.elapsed() >= ACCEPT_RETRY_INTERVAL * MAX_EVICTIONS as u32
                {
                    last_rotation = Instant::now();
                    self.registry.rotate(MIN_TENURE, MAX_EVICTIONS);
                }
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
            let accepted = listener.get_ref().accept();
            let accepted = accepted.and_then(|(stream, _)| stream.set_nonblocking(true).map(|()| stream));
            let stream = match accepted.and_then(Async::new) {
                Ok(stream) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    listener.clear_readable();
                    listener.readable().await;
                    continue;
                }
                Err(e) => {
                    if !std::mem::replace(&mut accept_failing, true) {
                        warn!("accepting a connection failed, retrying: {e}");
                    }
                    self.close_idle(MAX_EVICTIONS);
                    Timer::after(ACCEPT_RETRY_INTERVAL).await;
                    continue;
                }
            };
            accept_failing = false;
            let Some(client) = self.registry.register(stream) else { continue };
            self.count.set(self.count.get() + 1);
            let active = self.registry.connected().iter().filter(|c| c.has_sent_command.get()).count();
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

    async fn serve(self: Rc<Self>, client: Rc<Client>) {
        let Some(stream) = client.stream() else { return };
        if let Err(error) = self.read_commands(&client, &stream).await {
            debug!("client connection closed: {error}");
            // Closing with unread input would send a reset, and the client might never read the error.
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            let linger_until = Instant::now() + LINGER_TIMEOUT;
            while wait_for_wakeup(&stream, true, false, &client.signal, Some(linger_until)).await
                != Wakeup::DeadlineReached
            {
                match read_available(&stream, &mut self.scratch.borrow_mut()) {
                    Ok(Some([])) | Err(_) => break,
                    _ => {}
                }
                yield_now().await;
            }
        }
        #[cfg(feature = "mutants")]
        crate::mutants::leak_on_connection(stream.clone());
        let unanswered = client.close();
        drop(stream);
        if !unanswered.is_empty() {
            self.inbox.push_hit_event(HitEvent::ClientLeft(unanswered));
        }
        self.count.set(self.count.get() - 1);
    }

    /// Reads until the connection ends; fails on a protocol error, once all commands are answered.
    async fn read_commands(
        &self, client: &Rc<Client>, stream: &Async<TcpStream>,
    ) -> Result<(), &'static str> {
        let clock = self.registry.clock;
        let command_timeout = crate::clock::duration(COMMAND_TIMEOUT);
        let mut state = ReadState {
            received: Buffer::with_prepaid(&self.ledger, Purpose::PartialCommands),
            scanner: Scanner::new(COMMAND_LIMITS),
            skipped: None,
            protocol_error: None,
            command_started_at: Instant::now(),
        };
        loop {
            let mid_command = !state.received.is_empty() || state.skipped.is_some();
            if state.protocol_error.is_none() && mid_command {
                let before = client.commands_received();
                state.protocol_error = self.dispatch_commands(client, &mut state).err();
                if client.commands_received() > before {
                    client.has_sent_command.set(true);
                    state.command_started_at = Instant::now();
                } else if client.accepts_commands() && state.command_started_at.elapsed() >= command_timeout {
                    state.protocol_error = state.protocol_error.or(Some("command not ended in time"));
                }
                if let Some(error) = state.protocol_error {
                    self.reject_stream(client, &mut state, error);
                }
            }
            if client.is_aborted() || client.flush().is_err() {
                return Ok(());
            }
            if let (Some(error), true) = (state.protocol_error, client.is_drained()) {
                return Err(error);
            }
            let mid_command = !state.received.is_empty() || state.skipped.is_some();
            let idle_until = if client.has_sent_command.get() {
                clock.instant(client.last_activity() + IDLE_TIMEOUT)
            } else {
                state.command_started_at + command_timeout
            };
            let should_close =
                client.evict_if_idle.take() || client.closing.get() || idle_until <= Instant::now();
            if should_close && !mid_command && client.is_idle() {
                return Ok(());
            }
            let mut read = state.protocol_error.is_none() && client.accepts_commands();
            if let Err(error) = if read { self.reserve_next(client, &mut state) } else { Ok(()) } {
                (state.protocol_error, read) = (Some(error), false);
                self.reject_stream(client, &mut state, error);
            }
            let deadline = match (state.protocol_error, read) {
                (Some(_), _) => None,
                (None, true) if mid_command => Some(state.command_started_at + command_timeout),
                (None, true) if client.is_drained() => Some(idle_until),
                // A reply does not wake this task: check again later whether the connection has become idle
                // or memory for client output is available.
                (None, _) => Some(Instant::now() + crate::clock::duration(IDLE_TIMEOUT * 0.25)),
            };
            if wait_for_wakeup(stream, read, client.has_unsent_bytes(), &client.signal, deadline).await
                == Wakeup::Readable
            {
                let max_read =
                    state.skipped.as_ref().map_or(state.received.spare_capacity(), |s| s.remaining_bytes);
                match read_available(stream, &mut self.scratch.borrow_mut()[..max_read.min(MAX_VALUE_BYTES)])
                {
                    Ok(Some([])) | Err(_) => return Ok(()),
                    Ok(Some(bytes)) => {
                        if !mid_command && client.has_sent_command.get() {
                            state.command_started_at = Instant::now();
                        }
                        state.take_input(bytes);
                    }
                    Ok(None) => {}
                }
                // Yields so that a client that sends without pause does not starve the others.
                yield_now().await;
            }
        }
    }

    /// Reserves memory for the bytes to be read next. A command without room is discarded and bounced, as it
    /// never ran. An error says why the connection can no longer be read.
    fn reserve_next(&self, client: &Client, state: &mut ReadState) -> Result<(), &'static str> {
        let ReadState { received, scanner, skipped, .. } = state;
        let required = scanner.required_length();
        let needed = match required {
            None if received.spare_capacity() > 0 => 0,
            None => MIN_CAPACITY_BYTES,
            Some((end, _)) => end.saturating_sub(received.len()),
        };
        if skipped.is_some() || received.reserve(needed).is_ok() {
            return Ok(());
        }
        let Some((end, true)) = required else { return Err("no room for this command") };
        let request = command::parse_attributes(received.as_slice(), &scanner.elements, &self.names);
        let reply = request
            .map_or_else(|error| command::error_reply(&error), |request| self.bounced_reply(request.group));
        *skipped = Some(SkippedCommand {
            remaining_bytes: end - received.len(),
            sequence: client.reserve_sequence(),
            reply,
        });
        client.has_sent_command.set(true);
        let length = received.len();
        received.consume(length, 0);
        scanner.reset();
        Ok(())
    }

    fn bounced_reply(&self, group: usize) -> Vec<u8> {
        command::bounced_reply(retry_after(
            self.names.groups[group].target_latency,
            self.names.max_retry_after,
        ))
    }

    /// Replies with the reason why the connection is no longer read; it is closed once all commands are
    /// answered.
    fn reject_stream(&self, client: &Rc<Client>, state: &mut ReadState, error: &str) {
        client.closing.set(true);
        let sequence =
            state.skipped.take().map_or_else(|| client.reserve_sequence(), |skipped| skipped.sequence);
        self.reply_with_error(client, sequence, &format!("protocol error: {error}"));
        let length = state.received.len();
        state.received.consume(length, 0);
    }

    fn reply_with_error(&self, client: &Rc<Client>, sequence: u64, error: &str) {
        debug!("replied to a client command with an error: {error}");
        client.reply(sequence, text_reply(&self.ledger, command::error_reply(error)));
    }

    /// Dispatches the complete commands for as long as the client accepts more.
    fn dispatch_commands(&self, client: &Rc<Client>, state: &mut ReadState) -> Result<(), &'static str> {
        if let Some(SkippedCommand { sequence, reply, .. }) =
            state.skipped.take_if(|s| s.remaining_bytes == 0)
        {
            client.reply(sequence, Reply::Line(reply));
        }
        let ReadState { received, scanner, .. } = state;
        while !received.is_empty() && client.accepts_commands() {
            let bytes = received.as_slice();
            if scanner.is_at_message_start() && bytes[0] != b'*' {
                return Err("expected a command as an array of bulk strings");
            }
            let Some(length) = scanner.scan(bytes)? else { break };
            if scanner.elements.is_empty()
                || scanner.elements.iter().any(|p| p.kind != ElementKind::BulkString)
            {
                return Err("expected a command as an array of bulk strings");
            }
            let parsed = parse_command(&bytes[..length], &scanner.elements, &self.names);
            scanner.reset();
            let sequence = client.reserve_sequence();
            match parsed {
                Ok(Request::Hit(request)) => {
                    let group = request.group;
                    let Ok(block) =
                        received.take_block_with_extra(length, Purpose::in_flight(group), HIT_BYTES)
                    else {
                        received.consume(length, MIN_CAPACITY_BYTES);
                        client.reply(sequence, Reply::Line(self.bounced_reply(group)));
                        continue;
                    };
                    let (command, received_at) = (Command { block, request }, self.registry.clock.now());
                    let client = client.clone();
                    self.inbox.push_hit(IncomingHit { client, sequence, command, received_at });
                }
                Ok(Request::Immediate(reply)) => {
                    received.consume(length, MIN_CAPACITY_BYTES);
                    client.reply(sequence, text_reply(&self.ledger, reply));
                }
                Err(error) => {
                    received.consume(length, MIN_CAPACITY_BYTES);
                    self.reply_with_error(client, sequence, &error);
                }
            }
        }
        Ok(())
    }
}

impl ReadState {
    /// Takes in bytes read: at most as many as were reserved, or as are to be discarded.
    fn take_input(&mut self, bytes: &[u8]) {
        match &mut self.skipped {
            Some(skipped) => skipped.remaining_bytes -= bytes.len().min(skipped.remaining_bytes),
            None if self.received.extend(bytes).is_err() => {
                self.protocol_error = Some("no room for the rest of the command")
            }
            None => {}
        }
    }
}
