//! One client connection: its pipelined commands and their replies, which are sent in the order of the
//! commands. The core task supplies the replies; the connection's own task (`clients`) reads.

use crate::clock::Clock;
use crate::command;
use crate::reactor::Async;
use crate::turn::{PendingInput, Signal, pending_input, try_write, write_available};
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::{Block, MIN_CAPACITY_BYTES};
use stonescale_budget::plan::CLIENT_CONNECTION_BYTES;
use stonescale_budget::purpose::ReclaimAction;
use stonescale_budget::{Buffer, Charge, Ledger, Purpose, eviction};
use stonescale_connection::{NextReply, ReplyQueue};

/// Limit on the commands in progress of one connection, above which further ones are refused.
pub const MAX_PENDING_COMMANDS: usize = 128;
/// Limit on the unsent reply bytes of one connection, at which reading pauses.
const MAX_UNSENT_BYTES: usize = 2 * command::MAX_VALUE_BYTES;
/// A client that has accepted no reply bytes for this long counts as stalled, and is closed when memory for
/// client output is short.
const STALL_TIMEOUT: Span = Span::millis(500);

/// Reply to a command.
pub enum Reply {
    /// A node's value, as received.
    Value(Block),
    /// A short reply, covered by the memory charge of its hit.
    Line(Vec<u8>),
}

impl Reply {
    fn as_slice(&self) -> &[u8] {
        match self {
            Reply::Value(block) => block.as_slice(),
            Reply::Line(line) => line,
        }
    }
}

/// When the bytes of a reply are written.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sending {
    Now,
    /// With the other replies of the connection's turn.
    WithNextFlush,
}

/// The state of one client connection.
pub struct Client {
    registry: Rc<ClientRegistry>,
    /// `None` once the connection has ended: the descriptor must not stay open while others hold a reference
    /// to this value.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    /// Number of the connection in this process, for the log.
    pub number: u64,
    commands: RefCell<ReplyQueue<Reply>>,
    write_buffer: RefCell<Buffer>,
    accepted_at: Time,
    /// When the client last accepted reply bytes or was last offered a reply; at first when the connection was
    /// accepted.
    last_activity: Cell<Time>,
    /// Whether a complete command was received on it.
    has_sent_command: Cell<bool>,
    /// How long its first hit is assumed to have waited before the connection was accepted.
    pub assumed_wait: Cell<Span>,
    /// Whether a hit was accepted on it.
    pub has_sent_hit: Cell<bool>,
    /// Since when a command has been received in part, if one has.
    pub receiving_since: Cell<Option<Time>>,
    /// The connection has ended.
    pub closed: Cell<bool>,
    /// Its descriptor is needed for other clients: its task closes it if it is still idle then.
    pub evict_if_idle: Cell<bool>,
    /// Its descriptor is needed for other clients, and it is of no use: to be closed at once.
    pub evict_unproductive: Cell<bool>,
    /// To be closed as soon as all commands are answered; no further hits are accepted.
    pub closing: Cell<bool>,
    /// The client has ended its sending or its connection has failed: nothing more is forwarded for it.
    departed: Cell<bool>,
    /// To be closed at once: the client does not read, or the connection failed.
    aborted: Cell<bool>,
    /// Wakes the connection's task.
    pub signal: Signal,
    _charge: Charge,
}

impl Client {
    /// Creates the state of a newly accepted connection, whose record is already charged.
    pub fn new(
        registry: Rc<ClientRegistry>, number: u64, stream: Async<TcpStream>, charge: Charge,
    ) -> Rc<Self> {
        let write_buffer = RefCell::new(Buffer::new(&registry.ledger, Purpose::ClientOutput));
        let now = registry.clock.now();
        Rc::new(Client {
            registry,
            stream: RefCell::new(Some(Rc::new(stream))),
            number,
            commands: RefCell::new(ReplyQueue::new(MAX_PENDING_COMMANDS)),
            write_buffer,
            accepted_at: now,
            last_activity: Cell::new(now),
            has_sent_command: Cell::new(false),
            assumed_wait: Cell::new(Span::ZERO),
            has_sent_hit: Cell::new(false),
            receiving_since: Cell::new(None),
            closed: Cell::new(false),
            evict_if_idle: Cell::new(false),
            evict_unproductive: Cell::new(false),
            closing: Cell::new(false),
            departed: Cell::new(false),
            aborted: Cell::new(false),
            signal: Signal::default(),
            _charge: charge,
        })
    }

    /// The socket; `None` once the connection has ended.
    pub fn stream(&self) -> Option<Rc<Async<TcpStream>>> {
        self.stream.borrow().clone()
    }

    /// When the client last accepted reply bytes or was last offered a reply; at first when the connection was
    /// accepted.
    pub fn last_activity(&self) -> Time {
        self.last_activity.get()
    }

    /// Whether a complete command was received on it.
    pub fn has_sent_command(&self) -> bool {
        self.has_sent_command.get()
    }

    /// Records that a complete command was received on it.
    pub fn record_command(&self) {
        if !self.has_sent_command.replace(true) {
            self.registry.active.set(self.registry.active.get() + 1);
        }
    }

    /// Adds a command that will be answered by [`Client::reply`], and returns its sequence number.
    pub fn reserve_sequence(&self) -> u64 {
        self.commands.borrow_mut().push_pending()
    }

    /// Adds a command that is answered with `line`, which promises that it did not run.
    pub fn refuse(&self, line: &[u8]) {
        self.commands.borrow_mut().push_refused(line);
    }

    /// Whether a further hit may be forwarded: the client is there, the connection is not to be closed, and the commands
    /// in progress are not at their limit.
    pub fn may_open_hit(&self) -> bool {
        !self.departed.get() && !self.closing.get() && !self.is_full()
    }

    /// Whether the commands in progress are at their limit.
    pub fn is_full(&self) -> bool {
        self.commands.borrow().is_full()
    }

    /// Whether a command has no reply yet.
    pub fn has_pending(&self) -> bool {
        self.commands.borrow().has_pending()
    }

    /// Records the number of the hit that a command became.
    pub fn bind_hit(&self, sequence: u64, hit: u32) {
        self.commands.borrow_mut().bind_hit(sequence, hit);
    }

    /// Sets the reply to the command `sequence`; it is sent once those before it have been.
    pub fn reply(&self, sequence: u64, reply: Reply) {
        if !self.set_reply(sequence, reply) {
            return;
        }
        self.send_ready(Sending::Now);
        // Every hit passes here, so the connection's own task is woken only if it has something to do.
        if self.aborted.get() || self.has_unsent_bytes() || self.closing.get() || self.departed.get() {
            self.signal.raise();
        }
    }

    /// Like [`Client::reply`], for the connection's own task, which flushes all replies of a turn together.
    pub fn reply_in_turn(&self, sequence: u64, reply: Reply) {
        if self.set_reply(sequence, reply) {
            self.send_ready(Sending::WithNextFlush);
        }
    }

    /// Records a reply; false if the command has one already or the connection has ended.
    fn set_reply(&self, sequence: u64, reply: Reply) -> bool {
        if self.closed.get() || self.aborted.get() || !self.commands.borrow().is_pending(sequence) {
            return false;
        }
        let waits = !self.commands.borrow().is_first(sequence);
        let reply = if waits { self.charge_waiting_reply(reply) } else { reply };
        self.commands.borrow_mut().set_reply(sequence, reply)
    }

    /// Sends the replies whose turn it is. Refusals are sent while the unsent bytes are below their limit, and
    /// otherwise continue with the next flush.
    fn send_ready(&self, sending: Sending) {
        loop {
            let unsent = self.write_buffer.borrow().len();
            let mut commands = self.commands.borrow_mut();
            if self.aborted.get() || unsent >= MAX_UNSENT_BYTES && commands.is_refusal_next() {
                return;
            }
            let next = commands.pop_ready(MAX_UNSENT_BYTES.saturating_sub(unsent));
            drop(commands);
            match next {
                Some(NextReply::Single(reply)) => self.write_reply(reply.as_slice(), sending),
                Some(NextReply::Refusals(lines)) => self.write_reply(&lines, sending),
                None => return,
            }
        }
    }

    /// Charges a reply that waits for those before it to client output. If there is no room even after
    /// stalled clients were evicted, the hit is errored, which makes no promise about its effect.
    fn charge_waiting_reply(&self, reply: Reply) -> Reply {
        let Reply::Value(mut block) = reply else { return reply };
        if block.transfer(Purpose::ClientOutput).is_ok() {
            return Reply::Value(block);
        }
        self.registry.evict_stalled(block.charged_bytes());
        match block.transfer(Purpose::ClientOutput) {
            Ok(()) => Reply::Value(block),
            Err(_) => Reply::Line(command::errored_reply()),
        }
    }

    /// Writes a reply; the bytes that the socket does not accept now are buffered.
    fn write_reply(&self, bytes: &[u8], sending: Sending) {
        let buffered =
            sending == Sending::WithNextFlush && self.write_buffer.borrow_mut().extend(bytes).is_ok();
        if buffered {
            return;
        }
        let Some(stream) = self.stream() else { return };
        let mut write_buffer = self.write_buffer.borrow_mut();
        let written = if write_buffer.is_empty() { try_write(&stream, bytes) } else { Ok(0) };
        let Ok(written) = written else {
            drop(write_buffer);
            return self.abort();
        };
        self.last_activity.set(self.registry.clock.now());
        let remaining = &bytes[written..];
        if remaining.is_empty() || write_buffer.extend(remaining).is_ok() {
            return;
        }
        drop(write_buffer);
        self.registry.evict_stalled(remaining.len());
        if !self.aborted.get() && self.write_buffer.borrow_mut().extend(remaining).is_ok() {
            return;
        }
        self.registry.drop_waiting_replies(remaining.len());
        if self.aborted.get() || self.write_buffer.borrow_mut().extend(remaining).is_err() {
            // Part of a reply may have been sent: closing lets the client see that it is incomplete.
            self.abort();
        }
    }

    /// Writes as much as the socket accepts now, of the buffer and of the replies whose turn comes meanwhile.
    pub fn flush(&self) -> std::io::Result<()> {
        loop {
            self.send_ready(Sending::WithNextFlush);
            let Some(stream) = self.stream() else { return Ok(()) };
            let (mut write_buffer, mut written) = (self.write_buffer.borrow_mut(), 0);
            // Flushing an empty buffer is not activity.
            if write_buffer.is_empty() {
                return Ok(());
            }
            let emptied = write_available(&stream, &mut write_buffer, &mut written)?;
            if written > 0 {
                self.last_activity.set(self.registry.clock.now());
            }
            if !emptied {
                return Ok(());
            }
        }
    }

    /// Closes the connection at once, and releases the memory of its unsent replies.
    fn abort(&self) {
        self.aborted.set(true);
        if let Ok(mut write_buffer) = self.write_buffer.try_borrow_mut() {
            let unsent = write_buffer.len();
            write_buffer.consume(unsent, 0);
        }
        self.replace_waiting_values(Vec::new);
        self.signal.raise();
    }

    /// Releases the values that wait for earlier replies; `line` gives what is sent in their place.
    fn replace_waiting_values(&self, line: impl Fn() -> Vec<u8>) {
        let Ok(mut commands) = self.commands.try_borrow_mut() else { return };
        let values = commands.waiting_replies_mut().filter(|reply| matches!(reply, Reply::Value(_)));
        values.for_each(|reply| *reply = Reply::Line(line()));
    }

    /// Whether the connection is to be closed at once, without its unsent replies.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Number of commands received on the connection.
    pub fn commands_received(&self) -> u64 {
        self.commands.borrow().commands()
    }

    /// Whether further commands are read: the unsent bytes are not at their limit. When memory for client output is
    /// short, only connections without unsent bytes are read.
    pub fn accepts_commands(&self) -> bool {
        let unsent = self.write_buffer.borrow().len();
        let not_short = unsent == 0
            || self.registry.ledger.reclaim_action(Purpose::ClientOutput) == ReclaimAction::Nothing;
        unsent < MAX_UNSENT_BYTES && not_short
    }

    /// Whether reply bytes are buffered that the socket has not accepted.
    pub fn has_unsent_bytes(&self) -> bool {
        !self.write_buffer.borrow().is_empty()
    }

    /// Whether all commands are answered and all replies written.
    pub fn is_drained(&self) -> bool {
        self.commands.borrow().is_empty() && !self.has_unsent_bytes()
    }

    /// Whether closing now loses nothing: no command is in progress and no unread input is pending.
    pub fn is_idle(&self) -> bool {
        self.is_drained() && self.stream().is_some_and(|stream| pending_input(&stream) == PendingInput::None)
    }

    /// Whether the client has ended its sending or its connection has failed.
    pub fn has_departed(&self) -> bool {
        self.departed.get()
    }

    /// Records that the client has ended its sending or its connection has failed, and returns its unanswered hits.
    pub fn depart(&self) -> Vec<u32> {
        self.departed.set(true);
        self.commands.borrow().pending_hits().collect()
    }

    /// Marks the connection as ended and returns its unanswered hits.
    pub fn close(&self) -> Vec<u32> {
        if !self.closed.replace(true) {
            self.registry.connection_ended(self.has_sent_command.get());
        }
        self.stream.take();
        let unanswered = self.depart();
        self.commands.borrow_mut().clear();
        unanswered
    }

    fn eviction_state(&self) -> eviction::ClientState {
        let commands = self.commands.try_borrow().ok();
        let waiting_bytes = |commands: &ReplyQueue<Reply>| -> usize {
            commands.waiting_replies().map(|reply| reply.as_slice().len()).sum()
        };
        eviction::ClientState {
            offered_bytes: self.write_buffer.try_borrow().map_or(0, |write_buffer| write_buffer.len()),
            waiting_bytes: commands.as_deref().map_or(0, waiting_bytes),
            last_activity: self.last_activity.get(),
            accepted_at: self.accepted_at,
            commands: commands.as_deref().map_or(0, ReplyQueue::commands),
            has_pending_hits: commands.as_deref().is_none_or(|commands| !commands.is_empty()),
            has_sent_hit: self.has_sent_hit.get(),
            receiving_since: self.receiving_since.get(),
            closing: self.closed.get()
                || self.aborted.get()
                || self.closing.get()
                || self.evict_unproductive.get(),
        }
    }
}

/// All client connections, for evicting some in favour of others.
pub struct ClientRegistry {
    /// Ledger to which connections and their replies are charged.
    pub ledger: Ledger,
    pub clock: Clock,
    clients: RefCell<Vec<Weak<Client>>>,
    last_number: Cell<u64>,
    /// Connections that have not ended, and those of them on which a complete command was received.
    open: Cell<usize>,
    active: Cell<usize>,
}

impl ClientRegistry {
    pub fn new(ledger: Ledger, clock: Clock) -> Rc<Self> {
        Rc::new(ClientRegistry {
            ledger,
            clock,
            clients: RefCell::default(),
            last_number: Cell::new(0),
            open: Cell::new(0),
            active: Cell::new(0),
        })
    }

    /// Registers a newly accepted connection; `None` without room for its record.
    pub fn register(self: &Rc<Self>, stream: Async<TcpStream>) -> Option<Rc<Client>> {
        let charge = self.ledger.charge(Purpose::Clients, CLIENT_CONNECTION_BYTES).ok()?;
        self.last_number.set(self.last_number.get() + 1);
        let client = Client::new(self.clone(), self.last_number.get(), stream, charge);
        self.open.set(self.open.get() + 1);
        let mut clients = self.clients.borrow_mut();
        // Seldom, as it looks at all of them.
        if clients.len() >= 2 * self.open.get() {
            clients.retain(|c| c.strong_count() > 0);
        }
        clients.push(Rc::downgrade(&client));
        drop(clients);
        Some(client)
    }

    /// Number of connections on which a complete command was received.
    pub fn active_connections(&self) -> usize {
        self.active.get()
    }

    fn connection_ended(&self, was_active: bool) {
        self.open.set(self.open.get() - 1);
        self.active.set(self.active.get() - usize::from(was_active));
    }

    /// All clients whose connection has not ended.
    pub fn connected(&self) -> Vec<Rc<Client>> {
        self.clients.borrow().iter().filter_map(Weak::upgrade).filter(|c| !c.closed.get()).collect()
    }

    /// Closes stalled clients to free this many bytes of client output.
    fn evict_stalled(&self, bytes: usize) {
        let clients = self.connected();
        let states: Vec<_> = clients.iter().map(|c| c.eviction_state()).collect();
        for index in eviction::select_stalled(&states, self.clock.now(), STALL_TIMEOUT, bytes) {
            let freed = states[index].offered_bytes + states[index].waiting_bytes;
            self.ledger.record_reclaimed(Purpose::ClientOutput, freed);
            clients[index].abort();
        }
    }

    /// Replaces values that wait for earlier replies by errors, which promise nothing, to free this many bytes of client
    /// output.
    fn drop_waiting_replies(&self, bytes: usize) {
        let clients = self.connected();
        let states: Vec<_> = clients.iter().map(|c| c.eviction_state()).collect();
        for index in eviction::select_waiting(&states, bytes) {
            self.ledger.record_reclaimed(Purpose::ClientOutput, states[index].waiting_bytes);
            clients[index].replace_waiting_values(command::errored_reply);
        }
    }

    /// Marks up to `max_count` idle connections for closing to make room for others; the idle
    /// timeouts are for clients that sent several commands and for all others. Returns the number marked.
    pub fn close_idle(&self, idle_timeouts: (Span, Span), max_count: usize) -> usize {
        let clients = self.connected();
        let states: Vec<_> = clients.iter().map(|c| c.eviction_state()).collect();
        let selected = eviction::select_idle(&states, self.clock.now(), idle_timeouts, max_count);
        let still_idle: Vec<_> =
            selected.iter().map(|index| &clients[*index]).filter(|c| c.is_idle()).collect();
        for client in &still_idle {
            client.evict_if_idle.set(true);
            client.signal.raise();
        }
        still_idle.len()
    }

    /// Closes up to `max_count` connections that have been unproductive for `min_time`, to make room for others. Returns
    /// their number.
    pub fn close_unproductive(&self, min_time: Span, max_count: usize) -> usize {
        let clients = self.connected();
        let states: Vec<_> = clients.iter().map(|c| c.eviction_state()).collect();
        let selected = eviction::select_unproductive(&states, self.clock.now(), min_time, max_count);
        for index in &selected {
            clients[*index].evict_unproductive.set(true);
            clients[*index].signal.raise();
        }
        selected.len()
    }

    /// Reclaims memory as the current levels of its purposes require; `idle_timeouts` as for `close_idle`,
    /// `max_count` for one call.
    pub fn reclaim(&self, idle_timeouts: (Span, Span), max_count: usize) {
        if self.ledger.reclaim_action(Purpose::Clients) == ReclaimAction::CloseIdle {
            self.ledger.record_reclaimed(
                Purpose::Clients,
                self.close_idle(idle_timeouts, max_count) * CLIENT_CONNECTION_BYTES,
            );
        }
        if self.ledger.reclaim_action(Purpose::ClientOutput) == ReclaimAction::CloseStalled {
            self.evict_stalled(self.ledger.excess(Purpose::ClientOutput));
        }
    }

    /// Closes the longest-connected clients once they are answered, so that waiting clients get a connection.
    pub fn rotate(&self, min_tenure: Span, max_count: usize) {
        let clients = self.connected();
        let states: Vec<_> = clients.iter().map(|c| c.eviction_state()).collect();
        for index in eviction::select_rotated(&states, self.clock.now(), min_tenure, max_count) {
            self.ledger.record_reclaimed(Purpose::Clients, CLIENT_CONNECTION_BYTES);
            clients[index].closing.set(true);
            clients[index].signal.raise();
        }
    }
}

/// Wraps a short text as a reply; a long one is charged to client output, and errored if there is no room.
pub fn text_reply(ledger: &Ledger, text: Vec<u8>) -> Reply {
    if text.len() <= MIN_CAPACITY_BYTES {
        return Reply::Line(text);
    }
    Block::copy(ledger, Purpose::ClientOutput, &text)
        .map_or_else(|_| Reply::Line(command::errored_reply()), Reply::Value)
}
