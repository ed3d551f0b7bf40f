//! Connections to nodes and the forwards they carry. Replies on a connection come in order, so each forward
//! gets a connection of its own where one is available; otherwise forwards are pipelined.

use crate::clock::{Clock, duration};
use crate::command::{Command, MAX_VALUE_BYTES};
use crate::endings::EndReason;
use crate::inbox::{HitEvent, Inbox};
use crate::reactor::Async;
use crate::turn::{
    Interest, Signal, Wakeup, connect, is_open_without_input, read_available, try_write_vectored,
    wait_for_wakeup, write_available,
};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::Readiness;
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::MIN_CAPACITY_BYTES;
use stonescale_budget::plan::NODE_CONNECTION_BYTES;
use stonescale_budget::purpose::ReclaimAction;
use stonescale_budget::{BudgetExceeded, Buffer, Charge, Ledger, Purpose};
use stonescale_connection::forward_queue::Unfinished;
use stonescale_connection::{ForwardKey, ForwardQueue, GiveUp};
use stonescale_formats::resp::{ElementKind, MessageLimits, Scanner};
use tracing::{debug, info, warn};

/// Limits on the size of a node's reply.
const REPLY_LIMITS: MessageLimits = MessageLimits {
    max_elements: 8,
    max_bulk_bytes: MAX_VALUE_BYTES,
    max_line_bytes: 1024,
    max_message_bytes: MAX_VALUE_BYTES + 4 * 1024,
};
/// Fraction of the node's keepalive after which the marshal closes an idle connection, so that the node does
/// not close it first.
const IDLE_CLOSE_FRACTION: f64 = 0.6;
/// Factor on that idle time when memory for node connections is short; connections used within the remaining
/// time are likely to be used again.
const PRESSURE_IDLE_FACTOR: f64 = 0.1;
/// Time a connection stays idle before it is reused. A duplicate reply or stray bytes may directly follow a
/// reply; they must have arrived by the time the connection is checked, or they would be taken for the reply
/// to the next hit.
const REUSE_DELAY: Span = Span::millis(15);
/// One node may occupy one part in this many of the memory for bytes queued to all nodes.
const NODE_QUEUE_DIVISOR: usize = 4;
/// Interval of retries to reserve memory for an incoming reply.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// One connection to a node.
pub struct NodeConnection {
    opened_at: Time,
    /// `None` once the connection has ended: the descriptor must not stay open while others hold a reference
    /// to this value.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    forwards: RefCell<ForwardQueue>,
    write_buffer: RefCell<Buffer>,
    /// Accepts no further forwards.
    draining: Cell<bool>,
    /// Why the connection is to be closed, once that was requested.
    close_reason: Cell<Option<EndReason>>,
    last_used: Cell<Time>,
    signal: Signal,
    _charge: Charge,
}

impl NodeConnection {
    fn is_idle(&self) -> bool {
        self.forwards.borrow().is_empty()
    }

    fn is_reusable(&self, now: Time) -> bool {
        self.is_idle() && now - self.last_used.get() >= REUSE_DELAY
    }

    fn close(&self, reason: EndReason) {
        self.draining.set(true);
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
        }
        self.signal.raise();
    }

    /// Whether no unexpected input is pending and the node has not closed the connection.
    fn is_clean(&self) -> bool {
        self.stream.borrow().as_ref().is_none_or(|stream| is_open_without_input(stream))
    }

    /// Sends a forward: writes as much as the socket accepts now and queues the rest. If there is no
    /// room for the rest of a forward already written in part, the connection is closed.
    fn send(&self, hit: u32, hop: u8, command: &Command, wait: Span) -> Result<(), EndReason> {
        let mut write_buffer = self.write_buffer.borrow_mut();
        command.with_pieces(wait, |pieces| {
            let length: usize = pieces.iter().map(|p| p.len()).sum();
            let stream = self.stream.borrow();
            let bytes_written = match stream.as_ref().filter(|_| write_buffer.is_empty()) {
                Some(stream) => try_write_vectored(stream, pieces).map_err(|_| EndReason::Broken),
                None => Ok(0),
            };
            let bytes_written = bytes_written.inspect_err(|reason| self.close(*reason))?;
            self.forwards.borrow_mut().record_written(bytes_written as u64);
            let fill = |write_buffer: &mut Buffer| {
                write_buffer.reserve(length - bytes_written)?;
                let mut to_skip = bytes_written;
                for piece in pieces {
                    let skip = to_skip.min(piece.len());
                    to_skip -= skip;
                    write_buffer.extend(&piece[skip..])?;
                }
                Ok(())
            };
            fill(&mut write_buffer).map_err(|_: BudgetExceeded| {
                if bytes_written > 0 {
                    self.close(EndReason::NoSocket);
                }
                EndReason::NoSocket
            })?;
            self.forwards.borrow_mut().push(ForwardKey { hit, hop }, length);
            Ok(())
        })?;
        if !write_buffer.is_empty() {
            self.signal.raise();
        }
        Ok(())
    }

    /// Writes as much of the queue as the socket accepts now.
    fn flush(&self) -> Result<(), EndReason> {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return Ok(()) };
        let mut write_buffer = self.write_buffer.borrow_mut();
        let mut written = 0;
        let result = write_available(stream, &mut write_buffer, &mut written);
        self.forwards.borrow_mut().record_written(written);
        result.map(|_| ()).map_err(|_| EndReason::Broken)
    }

    /// Gives up a forward, with what of it is unsent.
    fn give_up(&self, key: ForwardKey) -> GiveUp {
        let given_up = self.forwards.borrow_mut().give_up(key);
        let mut write_buffer = self.write_buffer.borrow_mut();
        match &given_up {
            GiveUp::Withdrawn(range) => write_buffer.remove(range.clone()),
            GiveUp::CutOff(_) => {
                let unsent = write_buffer.len();
                write_buffer.consume(unsent, 0);
                self.draining.set(true);
            }
            // A further forward would wait behind a reply that may never come.
            GiveUp::Written => self.draining.set(true),
            GiveUp::Unknown => {}
        }
        given_up
    }

    /// Withdraws the forwards of which nothing is written.
    fn withdraw_unwritten(&self) -> Vec<ForwardKey> {
        let (mut forwards, mut write_buffer) = (self.forwards.borrow_mut(), self.write_buffer.borrow_mut());
        let mut withdrawn = Vec::new();
        while let Some((key, range)) = forwards.withdraw_last() {
            write_buffer.remove(range);
            withdrawn.push(key);
        }
        withdrawn
    }
}

/// Address of a node and the connections to it.
struct NodeState {
    addr: SocketAddr,
    /// When the node was listed as removed; `None` while it is listed.
    removed_at: Option<Time>,
    connections: Vec<Rc<NodeConnection>>,
}

/// The nodes by number, and all connections to them.
pub struct NodePool {
    nodes: Vec<Option<NodeState>>,
    inbox: Rc<Inbox>,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    connect_timeout: Span,
    keepalive: Span,
    max_pipelined: usize,
    max_connections: usize,
    ledger: Ledger,
    open_connections: Rc<Cell<usize>>,
    scratch: Rc<RefCell<Vec<u8>>>,
}

impl NodePool {
    /// Creates a pool without nodes. `keepalive` is the time after which nodes close an idle connection; the marshal
    /// closes it earlier. `max_pipelined` limits the concurrent forwards on one connection, and `max_connections` the
    /// connections to all nodes together.
    pub fn new(
        inbox: Rc<Inbox>, executor: Rc<LocalExecutor<'static>>, clock: Clock,
        (connect_timeout, keepalive, max_pipelined): (Span, Span, usize), max_connections: usize,
        ledger: Ledger,
    ) -> Self {
        let scratch = Rc::new(RefCell::new(vec![0; MAX_VALUE_BYTES]));
        let (nodes, open_connections) = (Vec::new(), Rc::default());
        NodePool {
            nodes,
            inbox,
            executor,
            clock,
            connect_timeout,
            keepalive,
            max_pipelined,
            max_connections,
            ledger,
            open_connections,
            scratch,
        }
    }

    /// Number of connections open or being established.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Applies an entry of the node list; connections that no longer match it are closed or drained.
    pub fn update_node(&mut self, node: usize, addr: SocketAddr, readiness: Readiness, started_at: Time) {
        if self.nodes.len() <= node {
            self.nodes.resize_with(node + 1, || None);
        }
        let connections = self.nodes[node].take().map_or(Vec::new(), |previous| {
            if previous.addr != addr {
                previous.connections.iter().for_each(|c| self.drain(c, EndReason::Withdrawn));
                Vec::new()
            } else {
                previous.connections
            }
        });
        for connection in &connections {
            if readiness != Readiness::Ready {
                self.drain(connection, EndReason::Withdrawn);
            } else if connection.opened_at < started_at {
                // The process it was opened to is gone, even if the host sent no reset.
                connection.close(EndReason::Restarted);
            }
        }
        let removed_at = (readiness == Readiness::Gone).then(|| self.clock.now());
        self.nodes[node] = Some(NodeState { addr, removed_at, connections });
    }

    /// Accepts no further forwards and withdraws those of which nothing is written; replies to the others are still
    /// awaited.
    fn drain(&self, connection: &NodeConnection, reason: EndReason) {
        connection.draining.set(true);
        self.report_unsent(connection.withdraw_unwritten(), reason);
        if connection.is_idle() {
            connection.close(reason);
        }
    }

    fn report_unsent(&self, forwards: Vec<ForwardKey>, reason: EndReason) {
        for ForwardKey { hit, hop } in forwards {
            self.inbox.push_forward_end(hit, hop, reason, false);
        }
    }

    /// Marks nodes left out of a full list as removed.
    pub fn remove_unlisted(&mut self, listed: &HashSet<usize>) {
        let now = self.clock.now();
        for (number, state) in self.nodes.iter_mut().enumerate() {
            if let Some(state) = state.as_mut().filter(|_| !listed.contains(&number)) {
                state.removed_at = state.removed_at.or(Some(now));
            }
        }
        for (number, state) in self.nodes.iter().enumerate() {
            if let Some(state) = state.as_ref().filter(|_| !listed.contains(&number)) {
                state.connections.iter().for_each(|c| self.drain(c, EndReason::Withdrawn));
            }
        }
    }

    /// Listed address of a node; an unspecified address for an unknown one.
    pub fn addr(&self, node: usize) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.nodes.get(node).and_then(Option::as_ref).map_or(unspecified, |s| s.addr)
    }

    /// Sends a hit's command to a node, stating `wait` as the time for which the reply is awaited.
    pub fn forward(
        &mut self, node: usize, hit: u32, hop: u8, command: &Command, wait: Span,
    ) -> Result<Rc<NodeConnection>, EndReason> {
        let now = self.clock.now();
        let state = self.nodes.get_mut(node).and_then(Option::as_mut).ok_or(EndReason::NoSuchNode)?;
        let addr = state.addr;
        state.connections.retain(|c| !c.draining.get());
        // The most recently used connection is the least likely to be closed by the node right now.
        while let Some(connection) = state
            .connections
            .iter()
            .filter(|c| c.is_reusable(now) && !c.draining.get())
            .max_by_key(|c| c.last_used.get())
        {
            let connection = connection.clone();
            if connection.is_clean() {
                connection.last_used.set(now);
                connection.send(hit, hop, command, wait)?;
                return Ok(connection);
            }
            connection.close(EndReason::Closed);
        }
        // Only one connection to a node is established at a time: a burst of new connections costs the node
        // and the marshal more than pipelining behind another forward.
        let connecting = state.connections.iter().any(|c| !c.draining.get() && c.stream.borrow().is_none());
        if connecting || self.open_connections.get() >= self.max_connections {
            let shared = state.connections.iter().filter(|c| !c.draining.get() && !c.is_idle());
            let shared = shared.filter(|c| c.forwards.borrow().len() < self.max_pipelined);
            if let Some(connection) = shared.min_by_key(|c| c.forwards.borrow().len()).cloned() {
                // A node that does not read must not use up the memory for queued bytes that all nodes share.
                let charged_bytes: usize =
                    state.connections.iter().map(|c| c.write_buffer.borrow().charged_bytes()).sum();
                if charged_bytes > self.ledger.cap(Purpose::NodeConnections) / NODE_QUEUE_DIVISOR {
                    return Err(EndReason::NoSocket);
                }
                connection.send(hit, hop, command, wait)?;
                return Ok(connection);
            }
            // No connection to this node can be shared: an idle connection to another node is closed instead.
            let all = self.nodes.iter().flatten().flat_map(|s| &s.connections);
            let idle = all.filter(|c| c.is_idle() && !c.draining.get()).min_by_key(|c| c.last_used.get());
            idle.ok_or(EndReason::NoSocket)?.close(EndReason::Idle);
        }
        let charge = self
            .ledger
            .charge(Purpose::NodeConnections, NODE_CONNECTION_BYTES)
            .map_err(|_| EndReason::NoSocket)?;
        let connection = Rc::new(NodeConnection {
            opened_at: now,
            stream: RefCell::default(),
            forwards: RefCell::default(),
            write_buffer: RefCell::new(Buffer::new(&self.ledger, Purpose::NodeConnections)),
            draining: Cell::new(false),
            close_reason: Cell::new(None),
            last_used: Cell::new(now),
            signal: Signal::default(),
            _charge: charge,
        });
        connection.send(hit, hop, command, wait)?;
        let state = self.nodes.get_mut(node).and_then(Option::as_mut).ok_or(EndReason::NoSuchNode)?;
        state.connections.push(connection.clone());
        self.open_connections.set(self.open_connections.get() + 1);
        let task = ConnectionTask {
            connection: connection.clone(),
            inbox: self.inbox.clone(),
            clock: self.clock,
            ledger: self.ledger.clone(),
            open_connections: self.open_connections.clone(),
            scratch: self.scratch.clone(),
            reply_timeout: duration(self.connect_timeout),
        };
        self.executor.spawn(task.run(addr, self.connect_timeout)).detach();
        Ok(connection)
    }

    /// Stops waiting for a forward. One that is not fully written never reaches its node; the connection of one that is
    /// takes no further forwards. The connection is closed unless it is established and of use, or other forwards are
    /// pending on it.
    pub fn abort_forward(&self, connection: &NodeConnection, key: ForwardKey, reason: EndReason) {
        let given_up = connection.give_up(key);
        let sent = match given_up {
            GiveUp::Unknown => return,
            GiveUp::Written => true,
            GiveUp::Withdrawn(_) | GiveUp::CutOff(_) => false,
        };
        if let GiveUp::CutOff(behind) = given_up {
            self.report_unsent(behind, EndReason::Withdrawn);
        }
        let is_usable = !connection.draining.get() && connection.stream.borrow().is_some();
        if !is_usable && connection.forwards.borrow().is_all_reported() {
            connection.close(reason);
        }
        self.inbox.push_forward_end(key.hit, key.hop, reason, sent);
    }

    /// Stops a forward that is not fully written; one that is written goes on.
    pub fn withdraw_forward(&self, connection: &NodeConnection, key: ForwardKey) {
        if connection.forwards.borrow().is_unfinished(key) {
            self.abort_forward(connection, key, EndReason::CalledOff);
        }
    }

    /// Closes connections idle for too long: otherwise the node would, and a hit sent at that moment could be
    /// lost. Drops nodes removed for the keepalive time (with `drop_removed`, all removed nodes) and returns
    /// their numbers.
    pub fn sweep(&mut self, drop_removed: bool) -> Vec<usize> {
        let now = self.clock.now();
        let under_pressure = self.ledger.reclaim_action(Purpose::NodeConnections) == ReclaimAction::CloseIdle;
        let max_idle =
            self.keepalive * IDLE_CLOSE_FRACTION * if under_pressure { PRESSURE_IDLE_FACTOR } else { 1.0 };
        for state in self.nodes.iter_mut().flatten() {
            state.connections.retain(|c| !c.draining.get());
            for connection in
                state.connections.iter().filter(|c| c.is_idle() && now - c.last_used.get() >= max_idle)
            {
                if under_pressure {
                    self.ledger.record_reclaimed(Purpose::NodeConnections, NODE_CONNECTION_BYTES);
                }
                connection.close(EndReason::Idle);
            }
        }
        let retention = if drop_removed { Span::ZERO } else { self.keepalive };
        let expired =
            |s: &NodeState| s.connections.is_empty() && s.removed_at.is_some_and(|at| now - at >= retention);
        let take_expired = |(number, state): (usize, &mut Option<NodeState>)| {
            state.take_if(|state| expired(state)).map(|_| number)
        };
        self.nodes.iter_mut().enumerate().filter_map(take_expired).collect()
    }
}

/// Whether an error line has one of the protocol's forms: `ERR failed`, `BUSY` or `BUSY MS`, each with an
/// optional load report, or `SYNTAX`. A line that lost its terminator runs on into the next reply; taken for
/// an error, it would hide that reply, and all later replies would go to the wrong hits. Nodes that word
/// their errors differently are harmed by this check: each such error costs a connection, and counts as a
/// failed one.
fn is_known_error(line: &[u8]) -> bool {
    let mut words = line.split(|b| *b == b' ');
    let head = match words.next() {
        Some(b"ERR") => words.next() == Some(b"failed"),
        Some(b"BUSY") => true,
        Some(b"SYNTAX") => return true,
        _ => false,
    };
    // `inflight=7,queue=2,util=0.61`, or a number.
    let is_plain = |b: &u8| b.is_ascii_alphanumeric() || b"._-".contains(b);
    let is_item = |item: &[u8]| {
        let mut sides = item.split(|b| *b == b'=');
        sides.clone().count() <= 2 && sides.all(|side| !side.is_empty() && side.iter().all(is_plain))
    };
    let is_number_or_load = |word: &[u8]| word.contains(&b'=') || word.iter().all(u8::is_ascii_digit);
    head && words.all(|word| is_number_or_load(word) && word.split(|b| *b == b',').all(is_item))
}

/// The task of one connection: establishes it, writes its queue and reads replies.
struct ConnectionTask {
    connection: Rc<NodeConnection>,
    inbox: Rc<Inbox>,
    clock: Clock,
    ledger: Ledger,
    open_connections: Rc<Cell<usize>>,
    scratch: Rc<RefCell<Vec<u8>>>,
    /// Time limit for the rest of a partly received reply; equal to the connect timeout.
    reply_timeout: Duration,
}

impl ConnectionTask {
    async fn run(self, addr: SocketAddr, connect_timeout: Span) {
        let reason = match self.establish(addr, connect_timeout).await {
            Ok(()) => self.exchange().await,
            Err(reason) => reason,
        };
        self.connection.close(reason);
        self.connection.stream.take();
        self.open_connections.set(self.open_connections.get() - 1);
        let unfinished = self.connection.forwards.borrow_mut().take_unfinished();
        if !unfinished.is_empty() {
            debug!("connection to {addr} ended with {} forwards: {reason:?}", unfinished.len());
        }
        for Unfinished { key: ForwardKey { hit, hop }, written } in unfinished {
            self.inbox.push_forward_end(hit, hop, reason, written);
        }
    }

    async fn establish(&self, addr: SocketAddr, connect_timeout: Span) -> Result<(), EndReason> {
        let closed = async {
            loop {
                self.connection.signal.wait().await;
                if let Some(reason) = self.connection.close_reason.get() {
                    return Err(reason);
                }
            }
        };
        let connected = async {
            let stream = connect(addr, duration(connect_timeout)).await;
            stream.map_err(|e| {
                info!("connection to {addr} failed: {e}");
                EndReason::from_connect_error(&e)
            })
        };
        let stream = futures_lite::future::or(closed, connected).await?;
        *self.connection.stream.borrow_mut() = Some(Rc::new(stream));
        Ok(())
    }

    async fn exchange(&self) -> EndReason {
        let connection = &self.connection;
        let Some(stream) = connection.stream.borrow().clone() else { return EndReason::Broken };
        let mut received = Buffer::with_prepaid(&self.ledger, Purpose::NodeReplies);
        let mut scanner = Scanner::new(REPLY_LIMITS);
        // Arrival time of the first bytes of the incomplete reply.
        let mut reply_started = None;
        loop {
            if let Some(reason) = connection.close_reason.get() {
                return reason;
            }
            if let Err(reason) = connection.flush() {
                return reason;
            }
            let needed = match scanner.required_length() {
                None if received.spare_capacity() > 0 => 0,
                None => MIN_CAPACITY_BYTES,
                Some((length, _)) => length.saturating_sub(received.len()),
            };
            // Without memory the reply stays in the socket buffer until there is some or the reply times out.
            let has_room = received.reserve(needed).is_ok();
            let write = !connection.write_buffer.borrow().is_empty();
            let interest = Interest { read: has_room, write, ..Interest::default() };
            let reply_deadline = reply_started.map(|at| at + self.reply_timeout);
            let retry_at = (!has_room).then(|| Instant::now() + MEMORY_RETRY_INTERVAL);
            let deadline = reply_deadline.into_iter().chain(retry_at).min();
            match wait_for_wakeup(&stream, interest, &connection.signal, deadline).await {
                Wakeup::Readable => {}
                // The length is too large or the line has no terminator: the rest will never come.
                Wakeup::DeadlineReached if reply_deadline.is_some_and(|at| at <= Instant::now()) => {
                    return EndReason::Garbled;
                }
                _ => continue,
            }
            {
                let mut scratch = self.scratch.borrow_mut();
                let max_read = received.spare_capacity().min(MAX_VALUE_BYTES);
                match read_available(&stream, &mut scratch[..max_read]) {
                    Ok(Some([])) => return EndReason::Closed,
                    // The read is limited to the reserved capacity, so this does not fail.
                    Ok(Some(bytes)) if received.extend(bytes).is_err() => return EndReason::Garbled,
                    Ok(Some(_)) => {}
                    Ok(None) => continue,
                    Err(_) => return EndReason::Broken,
                }
            }
            if let Err(error) = self.process_replies(&mut scanner, &mut received) {
                warn!("node sent an invalid reply: {error}");
                return EndReason::Garbled;
            }
            reply_started = (!received.is_empty()).then(|| reply_started.unwrap_or_else(Instant::now));
            if connection.draining.get() && connection.is_idle() {
                return EndReason::Idle;
            }
        }
    }

    fn process_replies(&self, scanner: &mut Scanner, received: &mut Buffer) -> Result<(), &'static str> {
        while !received.is_empty() {
            let bytes = received.as_slice();
            let Some(length) = scanner.scan(bytes)? else { return Ok(()) };
            let first = scanner.elements.first().ok_or("empty array")?;
            let reason = match (scanner.is_array, first.kind) {
                // The load report and the null that may follow are skipped.
                (true, ElementKind::BulkString) => EndReason::Served,
                (false, ElementKind::Error) if !is_known_error(&bytes[first.payload.clone()]) => {
                    return Err("unrecognized error line");
                }
                (false, ElementKind::Error) if bytes[first.payload.clone()].starts_with(b"BUSY") => {
                    EndReason::SaidBusy
                }
                (false, ElementKind::Error) => EndReason::SaidFailed,
                _ => return Err("neither a value nor an error"),
            };
            if reason == EndReason::SaidFailed && bytes[first.payload.clone()].starts_with(b"SYNTAX") {
                warn!("node rejected a forward as malformed");
            }
            let encoded_range = first.encoded.clone();
            let replied = self.connection.forwards.borrow_mut().take_replied();
            let forward = replied.ok_or("no forward is pending")?;
            let keep_value = !forward.reported && reason == EndReason::Served;
            let value = keep_value.then(|| received.take_block(length, Purpose::NodeReplies));
            if !matches!(value, Some(Ok(_))) {
                received.consume(length, MIN_CAPACITY_BYTES);
            }
            if !forward.reported {
                let (ForwardKey { hit, hop }, sent) = (forward.key, true);
                let (reason, value) = match value {
                    None => (reason, None),
                    Some(Ok(mut block)) => {
                        block.narrow(encoded_range);
                        (reason, Some(block))
                    }
                    // The hit ran, but there is no memory for its value.
                    Some(Err(_)) => (EndReason::Garbled, None),
                };
                self.inbox.push_hit_event(HitEvent::ForwardEnded { hit, hop, reason, sent, value });
            }
            self.connection.last_used.set(self.clock.now());
            scanner.reset();
        }
        Ok(())
    }
}
