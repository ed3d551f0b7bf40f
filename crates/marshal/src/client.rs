//! One client connection: the places of its commands, and the answers that it is given in their order. The core task
//! answers into it; its own task (`clients`) reads.

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

/// Commands of one connection in work, and bytes of answers not yet taken: past it, reading waits.
pub const MOST_SLOTS: usize = 128;
const MOST_UNSENT: usize = 2 * command::VALUE;
/// Who has taken nothing of its answers for so long is stuck, where what clients are owed runs short.
const STUCK: Span = Span::millis(500);

/// What a command is answered with.
pub enum Answer {
    /// A node's value, as it came.
    Value(Block),
    /// A short line, counted with its hit.
    Line(Vec<u8>),
}

impl Answer {
    fn as_slice(&self) -> &[u8] {
        match self {
            Answer::Value(block) => block.as_slice(),
            Answer::Line(line) => line,
        }
    }
}

enum Slot {
    /// With the number of its hit once the core task has it.
    Open(Option<u32>),
    /// It waits for those before it.
    Answered(Answer),
}

pub struct Client {
    crowd: Rc<Crowd>,
    /// Until the connection is over: the descriptor must not wait for all that still know the client.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    slots: RefCell<VecDeque<Slot>>,
    /// Place of the first slot among all of this connection.
    first: Cell<u64>,
    out: RefCell<Buffer>,
    taken: Time,
    /// When it last took something, or was to take something.
    used: Cell<Time>,
    /// A whole command came on it.
    pub asked: Cell<bool>,
    pub gone: Cell<bool>,
    /// Its descriptor is wanted for others: it is closed if it is idle still when its task gets to it.
    pub unwanted: Cell<bool>,
    /// It is to be closed as soon as all is answered.
    pub closing: Cell<bool>,
    /// It is to be closed as it stands: it takes nothing, or its connection broke.
    cut: Cell<bool>,
    pub signal: Signal,
    _record: Charge,
}

impl Client {
    /// A client whose connection was taken just now; its record is charged already.
    pub fn new(crowd: Rc<Crowd>, stream: Async<TcpStream>, record: Charge) -> Rc<Self> {
        let out = RefCell::new(Buffer::new(&crowd.ledger, Purpose::ClientOutput));
        let now = crowd.clock.now();
        Rc::new(Client {
            crowd,
            stream: RefCell::new(Some(Rc::new(stream))),
            slots: RefCell::default(),
            first: Cell::new(0),
            out,
            taken: now,
            used: Cell::new(now),
            asked: Cell::new(false),
            gone: Cell::new(false),
            unwanted: Cell::new(false),
            closing: Cell::new(false),
            cut: Cell::new(false),
            signal: Signal::default(),
            _record: record,
        })
    }

    pub fn stream(&self) -> Option<Rc<Async<TcpStream>>> {
        self.stream.borrow().clone()
    }

    pub fn used(&self) -> Time {
        self.used.get()
    }

    /// Gives the next command its place.
    pub fn reserve_sequence(&self) -> u64 {
        let sequence = self.commands();
        self.slots.borrow_mut().push_back(Slot::Open(None));
        sequence
    }

    /// Notes which hit a place is.
    pub fn bind(&self, sequence: u64, hit: u32) {
        let at = sequence.wrapping_sub(self.first.get()) as usize;
        if let Some(Slot::Open(bound)) = self.slots.borrow_mut().get_mut(at) {
            *bound = Some(hit);
        }
    }

    /// Gives the answer to the command at `place`; it goes out once those before it have.
    pub fn answer(&self, sequence: u64, answer: Answer) {
        if self.gone.get() || self.cut.get() {
            return;
        }
        let full = self.slots.borrow().len() >= MOST_SLOTS;
        let at = sequence.wrapping_sub(self.first.get()) as usize;
        if !matches!(self.slots.borrow().get(at), Some(Slot::Open(_))) {
            return;
        }
        let answer = if at > 0 { self.owe(answer) } else { answer };
        if let Some(slot) = self.slots.borrow_mut().get_mut(at) {
            *slot = Slot::Answered(answer);
        }
        while let Some(answer) = self.next_answer() {
            self.put(answer);
        }
        // The connection's own task is woken only where it has something to do: each hit comes by here.
        if self.cut.get() || !self.out.borrow().is_empty() || full || self.closing.get() {
            self.signal.raise();
        }
    }

    fn next_answer(&self) -> Option<Answer> {
        let mut slots = self.slots.borrow_mut();
        let Some(Slot::Answered(answer)) = slots.pop_front_if(|s| matches!(s, Slot::Answered(_))) else {
            return None;
        };
        self.first.set(self.first.get() + 1);
        Some(answer)
    }

    /// Holds an answer that waits for those before it. Where there is no room even when all that are stuck have gone,
    /// the hit is errored: that promises nothing.
    fn owe(&self, answer: Answer) -> Answer {
        let Answer::Value(mut block) = answer else { return answer };
        if block.transfer(Purpose::ClientOutput).is_ok() {
            return Answer::Value(block);
        }
        self.crowd.relieve(block.charged_bytes());
        match block.transfer(Purpose::ClientOutput) {
            Ok(()) => Answer::Value(block),
            Err(_) => Answer::Line(command::errored()),
        }
    }

    /// Writes an answer; what the connection does not take now is owed.
    fn put(&self, answer: Answer) {
        let Some(stream) = self.stream() else { return };
        let bytes = answer.as_slice();
        let mut out = self.out.borrow_mut();
        let wrote = if out.is_empty() { try_write(&stream, bytes) } else { Ok(0) };
        let Ok(wrote) = wrote else { return self.cut() };
        self.used.set(self.crowd.clock.now());
        let rest = &bytes[wrote..];
        if rest.is_empty() || out.extend(rest).is_ok() {
            return;
        }
        drop(out);
        self.crowd.relieve(rest.len());
        if self.cut.get() || self.out.borrow_mut().extend(rest).is_err() {
            // A part of an answer may be out: the client can tell that it is not whole.
            self.cut();
        }
    }

    /// Writes what can be written now.
    pub fn flush(&self) -> std::io::Result<()> {
        let Some(stream) = self.stream() else { return Ok(()) };
        let (mut out, mut wrote) = (self.out.borrow_mut(), 0);
        // Looking whether there is something to write is no use of the connection.
        if !out.is_empty() {
            write_available(&stream, &mut out, &mut wrote)?;
        }
        if wrote > 0 {
            self.used.set(self.crowd.clock.now());
        }
        Ok(())
    }

    /// Ends the connection as it stands, and gives back at once what is owed on it.
    fn cut(&self) {
        self.cut.set(true);
        if let Ok(mut out) = self.out.try_borrow_mut() {
            let owed = out.len();
            out.consume(owed, 0);
        }
        if let Ok(mut slots) = self.slots.try_borrow_mut() {
            for slot in slots.iter_mut().filter(|s| matches!(s, Slot::Answered(_))) {
                *slot = Slot::Answered(Answer::Line(Vec::new()));
            }
        }
        self.signal.raise();
    }

    pub fn is_cut(&self) -> bool {
        self.cut.get()
    }

    /// Commands that have come on it.
    pub fn commands(&self) -> u64 {
        self.first.get() + self.slots.borrow().len() as u64
    }

    /// More may be asked: neither are too many commands in work, nor is too much owed. Where what clients are owed
    /// runs short, whoever owes is asked no more.
    pub fn may_ask(&self) -> bool {
        let owed = self.out.borrow().len();
        let calm =
            owed == 0 || self.crowd.ledger.reclaim_action(Purpose::ClientOutput) == ReclaimAction::Nothing;
        self.slots.borrow().len() < MOST_SLOTS && owed < MOST_UNSENT && calm
    }

    /// Something is owed that the connection has not taken.
    pub fn owes(&self) -> bool {
        !self.out.borrow().is_empty()
    }

    /// All commands are answered and all answers written.
    pub fn done(&self) -> bool {
        self.slots.borrow().is_empty() && !self.owes()
    }

    /// Closing now would lose nothing: nothing is in work, and nothing unread has come.
    pub fn idle(&self) -> bool {
        self.done() && self.stream().is_some_and(|stream| is_open_without_input(&stream))
    }

    /// The connection is over; the hits that are not answered yet.
    pub fn leaves(&self) -> Vec<u32> {
        self.gone.set(true);
        self.stream.take();
        let slots = std::mem::take(&mut *self.slots.borrow_mut());
        let unanswered = |slot| if let Slot::Open(hit) = slot { hit } else { None };
        slots.into_iter().filter_map(unanswered).collect()
    }

    fn seen(&self) -> eviction::ClientState {
        let answered = |s: &Slot| if let Slot::Answered(answer) = s { answer.as_slice().len() } else { 0 };
        let waiting = self.slots.try_borrow().map(|slots| slots.iter().map(answered).sum::<usize>());
        eviction::ClientState {
            unsent_bytes: self.out.try_borrow().map_or(0, |out| out.len()) + waiting.unwrap_or(0),
            last_activity: self.used.get(),
            accepted_at: self.taken,
            commands: self.slots.try_borrow().map_or(0, |slots| self.first.get() + slots.len() as u64),
            has_pending_hits: self.slots.try_borrow().map_or(true, |slots| !slots.is_empty()),
            closing: self.gone.get() || self.cut.get() || self.closing.get(),
        }
    }
}

/// All client connections, as far as they make room for each other.
pub struct Crowd {
    pub ledger: Ledger,
    pub clock: Clock,
    open: RefCell<Vec<Weak<Client>>>,
}

impl Crowd {
    pub fn new(ledger: Ledger, clock: Clock) -> Rc<Self> {
        Rc::new(Crowd { ledger, clock, open: RefCell::default() })
    }

    /// A connection that was taken just now, if there is room for its record.
    pub fn join(self: &Rc<Self>, stream: Async<TcpStream>) -> Option<Rc<Client>> {
        let record = self.ledger.charge(Purpose::Clients, CLIENT_CONNECTION_BYTES).ok()?;
        let client = Client::new(self.clone(), stream, record);
        self.open.borrow_mut().retain(|c| c.strong_count() > 0);
        self.open.borrow_mut().push(Rc::downgrade(&client));
        Some(client)
    }

    pub fn all(&self) -> Vec<Rc<Client>> {
        self.open.borrow().iter().filter_map(Weak::upgrade).filter(|c| !c.gone.get()).collect()
    }

    /// Makes room for so many bytes owed: whoever has taken nothing for long is closed.
    fn relieve(&self, bytes: usize) {
        let all = self.all();
        let seen: Vec<_> = all.iter().map(|c| c.seen()).collect();
        for at in eviction::select_stalled(&seen, self.clock.now(), STUCK, bytes) {
            self.ledger.record_reclaimed(Purpose::ClientOutput, seen[at].unsent_bytes);
            all[at].cut();
        }
    }

    /// Closes idle connections to make room for others, `most` at most; returns how many were chosen.
    pub fn close_idle(&self, spared: (Span, Span), most: usize) -> usize {
        let all = self.all();
        let seen: Vec<_> = all.iter().map(|c| c.seen()).collect();
        let chosen = eviction::select_idle(&seen, self.clock.now(), spared, most);
        let still: Vec<_> = chosen.iter().map(|at| &all[*at]).filter(|c| c.idle()).collect();
        for client in &still {
            client.unwanted.set(true);
            client.signal.raise();
        }
        still.len()
    }

    /// Gives back what the table says at the levels of the moment; `spared` as for `close_idle`, `most` at one go.
    pub fn ease(&self, spared: (Span, Span), most: usize) {
        if self.ledger.reclaim_action(Purpose::Clients) == ReclaimAction::CloseIdle {
            self.ledger
                .record_reclaimed(Purpose::Clients, self.close_idle(spared, most) * CLIENT_CONNECTION_BYTES);
        }
        if self.ledger.reclaim_action(Purpose::ClientOutput) == ReclaimAction::CloseStalled {
            self.relieve(self.ledger.excess(Purpose::ClientOutput));
        }
    }

    /// Has connections closed once they are answered, those that were here longest, for others to have their turn.
    pub fn rotate(&self, tenure: Span, most: usize) {
        let all = self.all();
        let seen: Vec<_> = all.iter().map(|c| c.seen()).collect();
        for at in eviction::select_rotated(&seen, self.clock.now(), tenure, most) {
            self.ledger.record_reclaimed(Purpose::Clients, CLIENT_CONNECTION_BYTES);
            all[at].closing.set(true);
            all[at].signal.raise();
        }
    }
}

/// A short line as an answer; a long one only where there is room for it.
pub fn line(ledger: &Ledger, text: Vec<u8>) -> Answer {
    if text.len() <= MIN_CAPACITY_BYTES {
        return Answer::Line(text);
    }
    Block::copy(ledger, Purpose::ClientOutput, &text)
        .map_or_else(|_| Answer::Line(command::errored()), Answer::Value)
}
