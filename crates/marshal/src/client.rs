//! One client connection: its pipelined commands and their replies, which are sent in the order of the
//! commands. The core task supplies the replies; the connection's own task (`clients`) reads.

use crate::clock::Clock;
use crate::command;
use crate::reactor::Async;
use crate::turn::{Signal, is_open_without_input, try_write, write_available};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::{Block, MIN_CAPACITY_BYTES};
use stonescale_budget::plan::CLIENT_CONNECTION_BYTES;
use stonescale_budget::purpose::ReclaimAction;
use stonescale_budget::{Buffer, Charge, Ledger, Purpose, eviction};

/// Limit on the commands in progress of one connection, at which reading pauses.
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

/// A command of the connection in progress, in order of arrival.
enum Slot {
    /// No reply yet; holds the number of the hit once the core task has assigned one.
    Pending(Option<u32>),
    /// The reply waits for those before it.
    Ready(Reply),
}

/// The state of one client connection.
pub struct Client {
    registry: Rc<ClientRegistry>,
    /// `None` once the connection has ended: the descriptor must not stay open while others hold a reference
    /// to this value.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    slots: RefCell<VecDeque<Slot>>,
    /// Sequence number of the first slot within this connection.
    first_sequence: Cell<u64>,
    write_buffer: RefCell<Buffer>,
    accepted_at: Time,
    /// When the client last accepted reply bytes or was last offered a reply; at first when the connection was
    /// accepted.
    last_activity: Cell<Time>,
    /// Whether a complete command was received on it.
    pub has_sent_command: Cell<bool>,
    /// The connection has ended.
    pub closed: Cell<bool>,
    /// Its descriptor is needed for other clients: its task closes it if it is still idle then.
    pub evict_if_idle: Cell<bool>,
    /// To be closed as soon as all commands are answered.
    pub closing: Cell<bool>,
    /// To be closed at once: the client does not read, or the connection failed.
    aborted: Cell<bool>,
    /// Wakes the connection's task.
    pub signal: Signal,
    _charge: Charge,
}

impl Client {
    /// Creates the state of a newly accepted connection, whose record is already charged.
    pub fn new(registry: Rc<ClientRegistry>, stream: Async<TcpStream>, charge: Charge) -> Rc<Self> {
        let write_buffer = RefCell::new(Buffer::new(&registry.ledger, Purpose::ClientOutput));
        let now = registry.clock.now();
        Rc::new(Client {
            registry,
            stream: RefCell::new(Some(Rc::new(stream))),
            slots: RefCell::default(),
            first_sequence: Cell::new(0),
            write_buffer,
            accepted_at: now,
            last_activity: Cell::new(now),
            has_sent_command: Cell::new(false),
            closed: Cell::new(false),
            evict_if_idle: Cell::new(false),
            closing: Cell::new(false),
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

    /// Reserves a slot for the next command and returns its sequence number.
    pub fn reserve_sequence(&self) -> u64 {
        let sequence = self.commands_received();
        self.slots.borrow_mut().push_back(Slot::Pending(None));
        sequence
    }

    /// Records the number of the hit that occupies a slot.
    pub fn bind_hit(&self, sequence: u64, hit: u32) {
        let index = sequence.wrapping_sub(self.first_sequence.get()) as usize;
        if let Some(Slot::Pending(slot_hit)) = self.slots.borrow_mut().get_mut(index) {
            *slot_hit = Some(hit);
        }
    }

    /// Sets the reply to the command `sequence`; it is sent once those before it have been.
    pub fn reply(&self, sequence: u64, reply: Reply) {
        if self.closed.get() || self.aborted.get() {
            return;
        }
        let was_full = self.slots.borrow().len() >= MAX_PENDING_COMMANDS;
        let index = sequence.wrapping_sub(self.first_sequence.get()) as usize;
        if !matches!(self.slots.borrow().get(index), Some(Slot::Pending(_))) {
            return;
        }
        let reply = if index > 0 { self.charge_waiting_reply(reply) } else { reply };
        if let Some(slot) = self.slots.borrow_mut().get_mut(index) {
            *slot = Slot::Ready(reply);
        }
        while let Some(reply) = self.pop_ready_reply() {
            self.write_reply(reply);
        }
        // Every hit passes here, so the connection's own task is woken only if it has something to do.
        if self.aborted.get() || !self.write_buffer.borrow().is_empty() || was_full || self.closing.get() {
            self.signal.raise();
        }
    }

    fn pop_ready_reply(&self) -> Option<Reply> {
        let mut slots = self.slots.borrow_mut();
        let Some(Slot::Ready(reply)) = slots.pop_front_if(|s| matches!(s, Slot::Ready(_))) else {
            return None;
        };
        self.first_sequence.set(self.first_sequence.get() + 1);
        Some(reply)
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
    fn write_reply(&self, reply: Reply) {
        let Some(stream) = self.stream() else { return };
        let bytes = reply.as_slice();
        let mut write_buffer = self.write_buffer.borrow_mut();
        let written = if write_buffer.is_empty() { try_write(&stream, bytes) } else { Ok(0) };
        let Ok(written) = written else { return self.abort() };
        self.last_activity.set(self.registry.clock.now());
        let remaining = &bytes[written..];
        if remaining.is_empty() || write_buffer.extend(remaining).is_ok() {
            return;
        }
        drop(write_buffer);
        self.registry.evict_stalled(remaining.len());
        if self.aborted.get() || self.write_buffer.borrow_mut().extend(remaining).is_err() {
            // Part of a reply may have been sent: closing lets the client see that it is incomplete.
            self.abort();
        }
    }

    /// Writes as much of the buffer as the socket accepts now.
    pub fn flush(&self) -> std::io::Result<()> {
        let Some(stream) = self.stream() else { return Ok(()) };
        let (mut write_buffer, mut written) = (self.write_buffer.borrow_mut(), 0);
        // Flushing an empty buffer is not activity.
        if !write_buffer.is_empty() {
            write_available(&stream, &mut write_buffer, &mut written)?;
        }
        if written > 0 {
            self.last_activity.set(self.registry.clock.now());
        }
        Ok(())
    }

    /// Closes the connection at once, and releases the memory of its unsent replies.
    fn abort(&self) {
        self.aborted.set(true);
        if let Ok(mut write_buffer) = self.write_buffer.try_borrow_mut() {
            let unsent = write_buffer.len();
            write_buffer.consume(unsent, 0);
        }
        if let Ok(mut slots) = self.slots.try_borrow_mut() {
            for slot in slots.iter_mut().filter(|s| matches!(s, Slot::Ready(_))) {
                *slot = Slot::Ready(Reply::Line(Vec::new()));
            }
        }
        self.signal.raise();
    }

    /// Whether the connection is to be closed at once, without its unsent replies.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Number of commands received on the connection.
    pub fn commands_received(&self) -> u64 {
        self.first_sequence.get() + self.slots.borrow().len() as u64
    }

    /// Whether further commands are accepted: neither the commands in progress nor the unsent bytes are at
    /// their limit. When memory for client output is short, only connections without unsent bytes accept any.
    pub fn accepts_commands(&self) -> bool {
        let unsent = self.write_buffer.borrow().len();
        let not_short = unsent == 0
            || self.registry.ledger.reclaim_action(Purpose::ClientOutput) == ReclaimAction::Nothing;
        self.slots.borrow().len() < MAX_PENDING_COMMANDS && unsent < MAX_UNSENT_BYTES && not_short
    }

    /// Whether reply bytes are buffered that the socket has not accepted.
    pub fn has_unsent_bytes(&self) -> bool {
        !self.write_buffer.borrow().is_empty()
    }

    /// Whether all commands are answered and all replies written.
    pub fn is_drained(&self) -> bool {
        self.slots.borrow().is_empty() && !self.has_unsent_bytes()
    }

    /// Whether closing now loses nothing: no command is in progress and no unread input is pending.
    pub fn is_idle(&self) -> bool {
        self.is_drained() && self.stream().is_some_and(|stream| is_open_without_input(&stream))
    }

    /// Marks the connection as ended and returns its unanswered hits.
    pub fn close(&self) -> Vec<u32> {
        self.closed.set(true);
        self.stream.take();
        let slots = std::mem::take(&mut *self.slots.borrow_mut());
        let unanswered = |slot| if let Slot::Pending(hit) = slot { hit } else { None };
        slots.into_iter().filter_map(unanswered).collect()
    }

    fn eviction_state(&self) -> eviction::ClientState {
        let ready_bytes = |s: &Slot| if let Slot::Ready(reply) = s { reply.as_slice().len() } else { 0 };
        let waiting_bytes = self.slots.try_borrow().map(|slots| slots.iter().map(ready_bytes).sum::<usize>());
        eviction::ClientState {
            unsent_bytes: self.write_buffer.try_borrow().map_or(0, |write_buffer| write_buffer.len())
                + waiting_bytes.unwrap_or(0),
            last_activity: self.last_activity.get(),
            accepted_at: self.accepted_at,
            commands: self
                .slots
                .try_borrow()
                .map_or(0, |slots| self.first_sequence.get() + slots.len() as u64),
            has_pending_hits: self.slots.try_borrow().map_or(true, |slots| !slots.is_empty()),
            closing: self.closed.get() || self.aborted.get() || self.closing.get(),
        }
    }
}

/// All client connections, for evicting some in favour of others.
pub struct ClientRegistry {
    /// Ledger to which connections and their replies are charged.
    pub ledger: Ledger,
    pub clock: Clock,
    clients: RefCell<Vec<Weak<Client>>>,
}

impl ClientRegistry {
    pub fn new(ledger: Ledger, clock: Clock) -> Rc<Self> {
        Rc::new(ClientRegistry { ledger, clock, clients: RefCell::default() })
    }

    /// Registers a newly accepted connection; `None` without room for its record.
    pub fn register(self: &Rc<Self>, stream: Async<TcpStream>) -> Option<Rc<Client>> {
        let charge = self.ledger.charge(Purpose::Clients, CLIENT_CONNECTION_BYTES).ok()?;
        let client = Client::new(self.clone(), stream, charge);
        self.clients.borrow_mut().retain(|c| c.strong_count() > 0);
        self.clients.borrow_mut().push(Rc::downgrade(&client));
        Some(client)
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
            self.ledger.record_reclaimed(Purpose::ClientOutput, states[index].unsent_bytes);
            clients[index].abort();
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
