//! One connection to a node: the handle by which the pool sends forwards on it, and the task that establishes it, writes
//! what the socket did not accept at once, and reads replies.

use crate::clock::{Clock, duration};
use crate::command::{Command, MAX_VALUE_BYTES};
use crate::endings::EndReason;
use crate::inbox::{HitEvent, Inbox, NodeConnectionChange};
use crate::metrics::Metrics;
use crate::node_reply;
use crate::reactor::Async;
use crate::turn::{
    Interest, PendingInput, Signal, Wakeup, connect, pending_input, read_available, try_write_vectored,
    wait_for_wakeup, write_available,
};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::MIN_CAPACITY_BYTES;
use stonescale_budget::{Buffer, Charge, Ledger, Purpose};
use stonescale_connection::exchange::Unfinished;
use stonescale_connection::reuse_rest::ReuseRest;
use stonescale_connection::{Exchange, ForwardKey, GiveUp};
use stonescale_formats::resp::{MessageLimits, Scanner};
use tracing::{debug, info, warn};

/// Limits on the size of a node's reply.
const REPLY_LIMITS: MessageLimits = MessageLimits {
    max_elements: 8,
    max_bulk_bytes: MAX_VALUE_BYTES,
    max_line_bytes: 1024,
    max_message_bytes: MAX_VALUE_BYTES + 4 * 1024,
};
/// Interval of retries to reserve memory for an incoming reply.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// One connection to a node.
pub struct NodeConnection {
    pub opened_at: Time,
    /// `None` until the connection is established and once it has ended: the descriptor must not stay open while others
    /// hold a reference to this value.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    exchange: RefCell<Exchange>,
    write_buffer: RefCell<Buffer>,
    /// Accepts no further forwards.
    draining: Cell<bool>,
    /// Why the connection is to be closed, once that was requested.
    close_reason: Cell<Option<EndReason>>,
    /// When a forward was last sent or answered on it.
    last_used: Cell<Time>,
    signal: Signal,
    _charge: Charge,
}

impl NodeConnection {
    /// A connection that is not established yet; `charge` accounts for its memory.
    pub fn new(now: Time, ledger: &Ledger, charge: Charge) -> Self {
        NodeConnection {
            opened_at: now,
            stream: RefCell::default(),
            exchange: RefCell::default(),
            write_buffer: RefCell::new(Buffer::new(ledger, Purpose::NodeConnections)),
            draining: Cell::new(false),
            close_reason: Cell::new(None),
            last_used: Cell::new(now),
            signal: Signal::default(),
            _charge: charge,
        }
    }

    /// Whether it is established and has not ended.
    pub fn is_established(&self) -> bool {
        self.stream.borrow().is_some()
    }

    /// Whether it accepts no further forwards.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Whether it carries no forward.
    pub fn is_idle(&self) -> bool {
        self.exchange.borrow().is_free()
    }

    pub fn last_used(&self) -> Time {
        self.last_used.get()
    }

    /// Bytes charged for what is not written yet.
    pub fn queued_bytes(&self) -> usize {
        self.write_buffer.borrow().charged_bytes()
    }

    /// Time from which it may carry a forward, if `rest` is to pass after a reply; `None` while it may carry none.
    pub fn reusable_from(&self, rest: Span) -> Option<Time> {
        if self.is_draining() || !self.is_established() {
            return None;
        }
        self.exchange.borrow().free_from(rest)
    }

    /// Requests that the connection be closed.
    pub fn close(&self, reason: EndReason) {
        self.draining.set(true);
        if self.close_reason.get().is_none() {
            self.close_reason.set(Some(reason));
        }
        self.signal.raise();
    }

    /// Accepts no further forwards; the reply to the one that it carries is still awaited. Returns that one if nothing of
    /// it was written, and gives it up.
    pub fn drain(&self, reason: EndReason) -> Option<ForwardKey> {
        self.draining.set(true);
        let unwritten = self.exchange.borrow().unwritten();
        if let Some(key) = unwritten {
            self.give_up(key, reason);
        }
        if self.is_idle() {
            self.close(reason);
        }
        unwritten
    }

    /// What the socket holds that has not been read.
    pub fn pending_input(&self) -> PendingInput {
        self.stream.borrow().as_ref().map_or(PendingInput::Ended, |stream| pending_input(stream))
    }

    /// Records input that no forward had asked for, and closes the connection.
    pub fn reject_unasked_input(&self, now: Time, rest: &RefCell<ReuseRest>, metrics: &Metrics) {
        let unasked = self.exchange.borrow_mut().record_unasked_input(now);
        metrics.node_input_unasked();
        if let Some(lateness) = unasked.since_last_reply {
            debug!("node sent input {} ms after a reply", lateness.as_nanos() / 1_000_000);
            rest.borrow_mut().record_late_input(lateness, now);
        }
        self.close(EndReason::Closed);
    }

    /// Sends a forward: writes as much as the socket accepts now and queues the rest. Without room for the rest, or if
    /// the socket fails, the forward never reaches its node whole, and the connection is closed.
    pub fn send(&self, key: ForwardKey, command: &Command, wait: Span, now: Time) -> Result<(), EndReason> {
        let stream = self.stream.borrow().clone().ok_or(EndReason::Broken)?;
        command.with_pieces(wait, |pieces| {
            let length = pieces.iter().map(|piece| piece.len()).sum();
            self.exchange.borrow_mut().begin(key, length).map_err(|_| EndReason::NoSocket)?;
            self.last_used.set(now);
            let sent = self.write_or_queue(&stream, pieces, length);
            sent.inspect_err(|reason| {
                // The caller reports the end of the forward.
                self.exchange.borrow_mut().take_unfinished();
                self.close(*reason);
            })
        })
    }

    fn write_or_queue(
        &self, stream: &Async<TcpStream>, pieces: &[&[u8]], length: usize,
    ) -> Result<(), EndReason> {
        let written = try_write_vectored(stream, pieces).map_err(|_| EndReason::Broken)?;
        self.exchange.borrow_mut().record_written(written);
        if written == length {
            return Ok(());
        }
        let mut write_buffer = self.write_buffer.borrow_mut();
        write_buffer.reserve(length - written).map_err(|_| EndReason::NoSocket)?;
        let mut to_skip = written;
        for piece in pieces {
            let skip = to_skip.min(piece.len());
            to_skip -= skip;
            write_buffer.extend(&piece[skip..]).map_err(|_| EndReason::NoSocket)?;
        }
        self.signal.raise();
        Ok(())
    }

    /// Whether the forward is on the connection and not fully written.
    pub fn is_unfinished(&self, key: ForwardKey) -> bool {
        self.exchange.borrow().is_unfinished(key)
    }

    /// Gives up a forward, with what of it is unsent. The connection is closed unless it may carry another one.
    pub fn give_up(&self, key: ForwardKey, reason: EndReason) -> GiveUp {
        let given_up = self.exchange.borrow_mut().give_up(key);
        match given_up {
            GiveUp::NotCarried => {}
            GiveUp::Unwritten => self.drop_unsent(),
            GiveUp::CutOff | GiveUp::Written => {
                self.drop_unsent();
                self.close(reason);
            }
        }
        given_up
    }

    fn drop_unsent(&self) {
        let mut write_buffer = self.write_buffer.borrow_mut();
        let unsent = write_buffer.len();
        write_buffer.consume(unsent, 0);
    }

    /// Writes as much of what is queued as the socket accepts now.
    fn flush(&self) -> Result<(), EndReason> {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return Ok(()) };
        let mut written = 0;
        let result = write_available(stream, &mut self.write_buffer.borrow_mut(), &mut written);
        self.exchange.borrow_mut().record_written(written as usize);
        result.map(|_| ()).map_err(|_| EndReason::Broken)
    }
}

/// The task of one connection.
pub struct ConnectionTask {
    pub connection: Rc<NodeConnection>,
    pub node: usize,
    pub addr: SocketAddr,
    pub inbox: Rc<Inbox>,
    pub clock: Clock,
    pub ledger: Ledger,
    pub metrics: Rc<Metrics>,
    pub open_connections: Rc<Cell<usize>>,
    pub reuse_rest: Rc<RefCell<ReuseRest>>,
    /// Space into which all tasks read.
    pub scratch: Rc<RefCell<Vec<u8>>>,
    /// Time limit for establishing the connection, and for the rest of a partly received reply.
    pub connect_timeout: Span,
}

impl ConnectionTask {
    /// Runs until the connection ends.
    pub async fn run(self) {
        let established = self.establish().await;
        if established.is_ok() {
            self.report(NodeConnectionChange::Established);
        }
        let reason = match established {
            Ok(()) => self.exchange().await,
            Err(reason) => reason,
        };
        let is_requested = self.connection.close_reason.get().is_some();
        self.connection.close(reason);
        self.connection.stream.take();
        self.open_connections.set(self.open_connections.get() - 1);
        if let Some(Unfinished { key, written }) = self.connection.exchange.borrow_mut().take_unfinished() {
            debug!("connection to {} ended with a forward: {reason:?}", self.addr);
            self.inbox.push_forward_end(key.hit, key.hop, reason, written);
        }
        self.report(match established {
            Err(reason) if !is_requested => NodeConnectionChange::NotEstablished(reason),
            _ => NodeConnectionChange::Ended,
        });
    }

    fn report(&self, change: NodeConnectionChange) {
        let (node, addr) = (self.node, self.addr);
        self.inbox.push_hit_event(HitEvent::NodeConnection { node, addr, change });
    }

    async fn establish(&self) -> Result<(), EndReason> {
        let closed = async {
            loop {
                self.connection.signal.wait().await;
                if let Some(reason) = self.connection.close_reason.get() {
                    return Err(reason);
                }
            }
        };
        let connected = async {
            let stream = connect(self.addr, duration(self.connect_timeout)).await;
            stream.map_err(|e| {
                info!("connection to {} failed: {e}", self.addr);
                EndReason::from_connect_error(&e)
            })
        };
        let stream = futures_lite::future::or(closed, connected).await?;
        *self.connection.stream.borrow_mut() = Some(Rc::new(stream));
        Ok(())
    }

    /// Writes and reads until the connection is to be closed; returns why.
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
            let reply_deadline = reply_started.map(|at| at + duration(self.connect_timeout));
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
            if let Err(error) = self.process_input(&mut scanner, &mut received) {
                warn!("node sent an invalid reply: {error}");
                return EndReason::Garbled;
            }
            reply_started = (!received.is_empty()).then(|| reply_started.unwrap_or_else(Instant::now));
            if connection.is_draining() && connection.is_idle() {
                return connection.close_reason.get().unwrap_or(EndReason::Idle);
            }
        }
    }

    /// Reports the forward whose whole reply was received. Input that no forward waits for closes the connection, also
    /// a part of a message: the rest of it would otherwise come before the next reply.
    fn process_input(&self, scanner: &mut Scanner, received: &mut Buffer) -> Result<(), &'static str> {
        if self.connection.exchange.borrow().awaits_reply() {
            let Some(length) = scanner.scan(received.as_slice())? else { return Ok(()) };
            self.process_reply(scanner, received, length)?;
            scanner.reset();
        }
        if !received.is_empty() {
            let now = self.clock.now();
            self.connection.reject_unasked_input(now, &self.reuse_rest, &self.metrics);
        }
        Ok(())
    }

    fn process_reply(
        &self, scanner: &Scanner, received: &mut Buffer, length: usize,
    ) -> Result<(), &'static str> {
        let now = self.clock.now();
        let (reason, encoded_range) = node_reply::classify(scanner, received.as_slice())?;
        let replied = self.connection.exchange.borrow_mut().take_replied(now);
        let ForwardKey { hit, hop } = replied.map_err(|_| "no forward waits for it")?;
        self.connection.last_used.set(now);
        let value = (reason == EndReason::Served).then(|| received.take_block(length, Purpose::NodeReplies));
        if !matches!(value, Some(Ok(_))) {
            received.consume(length, MIN_CAPACITY_BYTES);
        }
        let (reason, value) = match value {
            None => (reason, None),
            Some(Ok(mut block)) => {
                block.narrow(encoded_range);
                (reason, Some(block))
            }
            // The hit ran, but there is no memory for its value.
            Some(Err(_)) => (EndReason::Garbled, None),
        };
        self.inbox.push_hit_event(HitEvent::ForwardEnded { hit, hop, reason, sent: true, value });
        Ok(())
    }
}
