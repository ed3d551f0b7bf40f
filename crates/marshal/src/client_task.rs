//! The task of one client connection: reads commands, dispatches them in turns of limited length, and decides when the
//! connection ends.

use crate::client::{Client, Reply, text_reply};
use crate::clients::{ClientServer, IDLE_TIMEOUT};
use crate::clock::duration;
use crate::command::{self, COMMAND_LIMITS, Command, MAX_VALUE_BYTES, Request, parse_command};
use crate::inbox::{HitEvent, IncomingHit};
use crate::metrics::Refusal;
use crate::reactor::Async;
use crate::turn::{Interest, Wakeup, read_available, wait_for_wakeup};
use futures_lite::future::yield_now;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::policy::retry_after;
use stonescale::time::Span;
use stonescale_budget::buffer::MIN_CAPACITY_BYTES;
use stonescale_budget::plan::HIT_BYTES;
use stonescale_budget::{Buffer, Purpose};
use stonescale_formats::resp::{ElementKind, Scanner};
use tracing::debug;

/// Time limit for a client's first complete command, and for each partly received one. The protocol's limit
/// is 3 s.
const COMMAND_TIMEOUT: Span = Span::millis(2_500);
/// How long a connection with a protocol error stays open for the client to read the error.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client that sends without pause can keep open a connection that is to be closed and has no open hit.
const MAX_CLOSING_TIME: Duration = Duration::from_millis(100);
/// Commands dispatched before other tasks get their turn.
const MAX_COMMANDS_PER_TURN: usize = 32;

/// Why a connection ends. Log lines print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The client closed its connection, or it failed.
    ClientLeft,
    /// Its output could not be written or kept.
    Aborted,
    /// No command for the idle timeout.
    Idle,
    /// Idle, and its descriptor or memory is needed.
    Evicted,
    /// It never sent a hit or is in the middle of a command, and its descriptor is needed.
    Unproductive,
    /// It was to be closed once its commands were answered.
    Drained,
    /// The input can't be read any further; the text says why.
    ProtocolError(&'static str),
}

impl CloseReason {
    /// The reason without its details, for the counters.
    fn name(self) -> &'static str {
        match self {
            CloseReason::ClientLeft => "ClientLeft",
            CloseReason::Aborted => "Aborted",
            CloseReason::Idle => "Idle",
            CloseReason::Evicted => "Evicted",
            CloseReason::Unproductive => "Unproductive",
            CloseReason::Drained => "Drained",
            CloseReason::ProtocolError(_) => "ProtocolError",
        }
    }
}

/// How much of the client's input is still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Open,
    /// The client has ended its sending; bytes may still be unread.
    Ended,
    /// All of it is read.
    Exhausted,
}

/// A command being discarded as it arrives.
struct SkippedCommand {
    remaining_bytes: usize,
    reply: Vec<u8>,
}

/// The read state of one connection.
pub struct ClientTask {
    server: Rc<ClientServer>,
    client: Rc<Client>,
    stream: Rc<Async<TcpStream>>,
    received: Buffer,
    scanner: Scanner,
    /// A command that found no room: its remaining bytes are discarded, then it is refused in its turn.
    skipped: Option<SkippedCommand>,
    /// The protocol error after which nothing more is read: faulty framing, a missed time limit or missing memory.
    protocol_error: Option<&'static str>,
    command_started_at: Instant,
    input: Input,
    input_ended_at: Option<Instant>,
    /// Since when the connection is to be closed and has no open hit.
    closing_since: Option<Instant>,
    /// Its client has sent for too long since then.
    stops_reading: bool,
    /// Complete commands may have been received that are not dispatched yet: the turn was over, or the unsent replies were
    /// at their limit.
    has_undispatched: bool,
}

impl ClientTask {
    /// The task of a connection that was just accepted; `None` if it has ended already.
    pub fn new(server: Rc<ClientServer>, client: Rc<Client>) -> Option<Self> {
        let stream = client.stream()?;
        let received = Buffer::with_prepaid(&server.ledger, Purpose::PartialCommands);
        Some(ClientTask {
            server,
            client,
            stream,
            received,
            scanner: Scanner::new(COMMAND_LIMITS),
            skipped: None,
            protocol_error: None,
            command_started_at: Instant::now(),
            input: Input::Open,
            input_ended_at: None,
            closing_since: None,
            stops_reading: false,
            has_undispatched: false,
        })
    }

    /// Serves the connection until it ends, and gives up its unanswered hits.
    pub async fn run(mut self) {
        let reason = self.read_commands().await;
        match reason {
            CloseReason::ProtocolError(_) => self.linger().await,
            // Unread input makes closing a reset: the client should see the end of its replies first.
            CloseReason::Drained | CloseReason::Unproductive => {
                let _ = self.stream.get_ref().shutdown(Shutdown::Write);
            }
            _ => {}
        }
        #[cfg(feature = "mutants")]
        crate::mutants::leak_on_connection(self.stream.clone());
        let commands = self.client.commands_received();
        let unanswered = self.client.close();
        debug!(
            "client {} closed: {reason:?}, {commands} commands, {} hits unanswered, {} bytes left over",
            self.client.number,
            unanswered.len(),
            self.received.len()
        );
        self.give_up(unanswered);
        self.server.metrics.connection_closed(reason.name());
        self.server.connection_closed();
    }

    /// Lets the client read an error: closing with unread input would send a reset.
    async fn linger(&self) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let linger_until = Instant::now() + LINGER_TIMEOUT;
        let interest = Interest { read: true, ..Interest::default() };
        while wait_for_wakeup(&self.stream, interest, &self.client.signal, Some(linger_until)).await
            != Wakeup::DeadlineReached
        {
            match read_available(&self.stream, &mut self.server.scratch.borrow_mut()) {
                Ok(Some([])) | Err(_) => break,
                _ => {}
            }
            yield_now().await;
        }
    }

    fn give_up(&self, unanswered: Vec<u32>) {
        if !unanswered.is_empty() {
            self.server.inbox.push_hit_event(HitEvent::ClientLeft(unanswered));
        }
    }

    /// Whether a command has been received in part.
    fn is_mid_command(&self) -> bool {
        !self.received.is_empty() || self.skipped.is_some()
    }

    /// Reads and dispatches until the connection is to end.
    async fn read_commands(&mut self) -> CloseReason {
        loop {
            self.dispatch_turn();
            self.record_receiving();
            self.limit_closing_time();
            if self.client.is_aborted() || self.client.flush().is_err() {
                return CloseReason::Aborted;
            }
            if let Some(reason) = self.close_reason() {
                return reason;
            }
            if self.has_undispatched && self.client.accepts_commands() {
                // So that a client that sends without pause does not starve the others.
                yield_now().await;
                continue;
            }
            let read = self.prepare_read();
            let interest = Interest {
                read,
                write: self.client.has_unsent_bytes(),
                input_end: self.input == Input::Open,
            };
            let deadline = self.next_deadline(read);
            match wait_for_wakeup(&self.stream, interest, &self.client.signal, Some(deadline)).await {
                Wakeup::InputEnded => self.input_ended(),
                Wakeup::Readable if !self.read() => return CloseReason::ClientLeft,
                Wakeup::Readable => yield_now().await,
                _ => {}
            }
        }
    }

    /// Records since when a command has been received in part.
    fn record_receiving(&self) {
        let since = match self.client.receiving_since.get() {
            _ if !self.is_mid_command() => None,
            Some(since) => Some(since),
            None => Some(self.server.registry.clock.now()),
        };
        self.client.receiving_since.set(since);
    }

    /// Stops reading from a client that sends without pause on a connection that is to be closed.
    fn limit_closing_time(&mut self) {
        if !self.client.closing.get() || self.client.has_pending() {
            self.closing_since = None;
            return;
        }
        let since = *self.closing_since.get_or_insert_with(Instant::now);
        self.stops_reading |= since.elapsed() >= MAX_CLOSING_TIME;
    }

    /// Dispatches what has been received, and notices a command that is not completed in time.
    fn dispatch_turn(&mut self) {
        if self.protocol_error.is_some() || !self.is_mid_command() {
            self.has_undispatched = false;
            return;
        }
        let before = self.client.commands_received();
        let mut error = self.dispatch_commands().err();
        if self.client.commands_received() > before {
            self.client.record_command();
            self.command_started_at = Instant::now();
        } else if self.client.accepts_commands()
            && self.command_started_at.elapsed() >= duration(COMMAND_TIMEOUT)
        {
            error = error.or(Some("command not ended in time"));
        }
        let ended_within_command =
            self.input == Input::Exhausted && self.is_mid_command() && !self.has_undispatched;
        if ended_within_command {
            error = error.or(Some("connection ended within a command"));
        }
        if let Some(error) = error {
            self.reject_stream(error);
        }
    }

    /// Why the connection is to end now, if it is.
    fn close_reason(&self) -> Option<CloseReason> {
        let client = &self.client;
        let evict = client.evict_if_idle.take();
        if self.input_ended_at.is_some_and(|at| self.takes_no_replies_since(at)) {
            return Some(CloseReason::ClientLeft);
        }
        if !client.is_drained() || self.has_undispatched {
            return None;
        }
        if client.evict_unproductive.get() && self.has_no_first_command_unread() {
            return Some(CloseReason::Unproductive);
        }
        if let Some(error) = self.protocol_error {
            return Some(CloseReason::ProtocolError(error));
        }
        if self.input == Input::Exhausted {
            return Some(CloseReason::ClientLeft);
        }
        if self.stops_reading {
            return Some(CloseReason::Drained);
        }
        if self.is_mid_command() {
            return None;
        }
        if client.closing.get() {
            // What has come meanwhile is read and refused first.
            return client.is_idle().then_some(CloseReason::Drained);
        }
        let reason = if evict {
            CloseReason::Evicted
        } else if self.idle_until() <= Instant::now() {
            CloseReason::Idle
        } else {
            return None;
        };
        client.is_idle().then_some(reason)
    }

    /// Whether closing now loses no first command of a client that has just come.
    fn has_no_first_command_unread(&self) -> bool {
        self.client.has_sent_command() || self.is_mid_command() || self.client.is_idle()
    }

    /// Whether the client, which has ended its sending, has taken no replies for the idle timeout either.
    fn takes_no_replies_since(&self, ended_at: Instant) -> bool {
        let last_activity = self.server.registry.clock.instant(self.client.last_activity());
        last_activity.max(ended_at) + duration(IDLE_TIMEOUT) <= Instant::now()
    }

    /// When the connection is to be closed if it stays idle.
    fn idle_until(&self) -> Instant {
        if self.client.has_sent_command() {
            self.server.registry.clock.instant(self.client.last_activity() + IDLE_TIMEOUT)
        } else {
            self.command_started_at + duration(COMMAND_TIMEOUT)
        }
    }

    /// Whether to read next, with the memory reserved for it.
    fn prepare_read(&mut self) -> bool {
        let wanted = self.protocol_error.is_none()
            && self.input != Input::Exhausted
            && !self.stops_reading
            && self.client.accepts_commands();
        if !wanted {
            return false;
        }
        match self.reserve_next() {
            Ok(()) => true,
            Err(error) => {
                self.reject_stream(error);
                false
            }
        }
    }

    /// When to look again if nothing happens.
    fn next_deadline(&self, reads: bool) -> Instant {
        if let Some(since) = self.closing_since.filter(|_| !self.stops_reading) {
            since + MAX_CLOSING_TIME
        } else if reads && self.is_mid_command() {
            self.command_started_at + duration(COMMAND_TIMEOUT)
        } else if reads && self.client.is_drained() {
            self.idle_until()
        } else {
            // A reply does not wake this task: check again later whether the connection has become idle
            // or memory for client output is available.
            Instant::now() + duration(IDLE_TIMEOUT * 0.25)
        }
    }

    /// The client has ended its sending or its connection has failed: its hits are given up at once, even if much of
    /// its input is unread.
    fn input_ended(&mut self) {
        (self.input, self.input_ended_at) = (Input::Ended, Some(Instant::now()));
        let unanswered = self.client.depart();
        debug!("client {} ended its sending, {} hits unanswered", self.client.number, unanswered.len());
        self.give_up(unanswered);
    }

    /// Reads what is there; false if the connection has failed.
    fn read(&mut self) -> bool {
        let mid_command = self.is_mid_command();
        let max_read = self.skipped.as_ref().map_or(self.received.spare_capacity(), |s| s.remaining_bytes);
        let server = self.server.clone();
        let mut scratch = server.scratch.borrow_mut();
        match read_available(&self.stream, &mut scratch[..max_read.min(MAX_VALUE_BYTES)]) {
            Ok(Some([])) => {
                if self.input == Input::Open {
                    self.input_ended();
                }
                self.input = Input::Exhausted;
            }
            Ok(Some(bytes)) => {
                if !mid_command && self.client.has_sent_command() {
                    self.command_started_at = Instant::now();
                }
                self.take_input(bytes);
            }
            Ok(None) => {}
            Err(_) => return false,
        }
        true
    }

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

    /// Reserves memory for the bytes to be read next. A command without room, or one that would be refused, is discarded
    /// as it arrives. An error says why the connection can no longer be read.
    fn reserve_next(&mut self) -> Result<(), &'static str> {
        if self.skipped.is_some() {
            return Ok(());
        }
        let required = self.scanner.required_length();
        let needed = match required {
            None if self.received.spare_capacity() > 0 => 0,
            None => MIN_CAPACITY_BYTES,
            Some((end, _)) => end.saturating_sub(self.received.len()),
        };
        let refused = matches!(required, Some((_, true))) && !self.client.may_open_hit();
        if !refused && self.received.reserve(needed).is_ok() {
            return Ok(());
        }
        let Some((end, true)) = required else { return Err("no room for this command") };
        let request =
            command::parse_attributes(self.received.as_slice(), &self.scanner.elements, &self.server.names);
        let reply = request.map_or_else(
            |error| command::error_reply(&error),
            |request| self.server.bounced_reply(request.group),
        );
        let refusal = if refused { self.refusal() } else { Refusal::NoMemory };
        self.server.metrics.command_refused(refusal);
        self.skipped = Some(SkippedCommand { remaining_bytes: end - self.received.len(), reply });
        let length = self.received.len();
        self.received.consume(length, 0);
        self.scanner.reset();
        Ok(())
    }

    /// Replies with the reason why the connection is no longer read; it is closed once all commands are
    /// answered.
    fn reject_stream(&mut self, error: &'static str) {
        self.protocol_error = Some(error);
        self.client.closing.set(true);
        self.skipped = None;
        self.reply_with_error(self.client.reserve_sequence(), &format!("protocol error: {error}"));
        let length = self.received.len();
        self.received.consume(length, 0);
    }

    /// Why a further hit would be refused.
    fn refusal(&self) -> Refusal {
        if self.client.is_full() { Refusal::PipelineLimit } else { Refusal::ConnectionEnding }
    }

    fn reply_with_error(&self, sequence: u64, error: &str) {
        self.server.metrics.command_refused(Refusal::Invalid);
        debug!("client {} gets an error: {error}", self.client.number);
        let reply = text_reply(&self.server.ledger, command::error_reply(error));
        self.client.reply_in_turn(sequence, reply);
    }

    /// Answers a discarded command once all of it has been received.
    fn answer_skipped(&mut self) {
        let Some(SkippedCommand { reply, .. }) = self.skipped.take_if(|s| s.remaining_bytes == 0) else {
            return;
        };
        if self.client.is_full() {
            self.client.refuse(&reply);
        } else {
            self.client.reply_in_turn(self.client.reserve_sequence(), Reply::Line(reply));
        }
    }

    /// Dispatches complete commands, as many as one turn allows.
    fn dispatch_commands(&mut self) -> Result<(), &'static str> {
        self.answer_skipped();
        self.has_undispatched = false;
        for _ in 0..MAX_COMMANDS_PER_TURN {
            if self.received.is_empty() {
                return Ok(());
            }
            if !self.client.accepts_commands() {
                break;
            }
            let bytes = self.received.as_slice();
            if self.scanner.is_at_message_start() && bytes[0] != b'*' {
                return Err("expected a command as an array of bulk strings");
            }
            let Some(length) = self.scanner.scan(bytes)? else { return Ok(()) };
            let elements = &self.scanner.elements;
            if elements.is_empty() || elements.iter().any(|p| p.kind != ElementKind::BulkString) {
                return Err("expected a command as an array of bulk strings");
            }
            let parsed = parse_command(&bytes[..length], elements, &self.server.names);
            self.scanner.reset();
            self.dispatch(length, parsed);
        }
        self.has_undispatched = !self.received.is_empty();
        Ok(())
    }

    /// Takes the first `length` bytes as a command, and answers it or passes it on.
    fn dispatch(&mut self, length: usize, parsed: Result<Request, String>) {
        if self.client.is_full() {
            let line = match parsed {
                Ok(Request::Hit(request)) => self.server.bounced_reply(request.group),
                _ => command::bounced_reply(Span::ZERO),
            };
            self.server.metrics.command_refused(Refusal::PipelineLimit);
            self.received.consume(length, MIN_CAPACITY_BYTES);
            return self.client.refuse(&line);
        }
        match parsed {
            Ok(Request::Hit(request)) if !self.client.may_open_hit() => {
                self.server.metrics.command_refused(Refusal::ConnectionEnding);
                self.received.consume(length, MIN_CAPACITY_BYTES);
                self.client.refuse(&self.server.bounced_reply(request.group));
            }
            Ok(Request::Hit(request)) => {
                let (group, sequence) = (request.group, self.client.reserve_sequence());
                self.client.has_sent_hit.set(true);
                self.client.evict_unproductive.set(false);
                match self.received.take_block_with_extra(length, Purpose::in_flight(group), HIT_BYTES) {
                    Ok(block) => self.server.inbox.push_hit(IncomingHit {
                        client: self.client.clone(),
                        sequence,
                        command: Command { block, request },
                        received_at: self.server.registry.clock.now() - self.client.assumed_wait.take(),
                    }),
                    Err(_) => {
                        self.server.metrics.command_refused(Refusal::NoMemory);
                        self.received.consume(length, MIN_CAPACITY_BYTES);
                        let reply = Reply::Line(self.server.bounced_reply(group));
                        self.client.reply_in_turn(sequence, reply);
                    }
                }
            }
            Ok(Request::Immediate(reply)) => {
                self.received.consume(length, MIN_CAPACITY_BYTES);
                let reply = text_reply(&self.server.ledger, reply);
                self.client.reply_in_turn(self.client.reserve_sequence(), reply);
            }
            Err(error) => {
                self.received.consume(length, MIN_CAPACITY_BYTES);
                self.reply_with_error(self.client.reserve_sequence(), &error);
            }
        }
    }
}

impl ClientServer {
    fn bounced_reply(&self, group: usize) -> Vec<u8> {
        command::bounced_reply(retry_after(
            self.names.groups[group].target_latency,
            self.names.max_retry_after,
        ))
    }
}
