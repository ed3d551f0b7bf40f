//! Clients: taking their connections, reading commands, giving answers in the commands' order.

use crate::clock::Clock;
use crate::inbox::{Arrival, Inbox, Outcome};
use crate::reactor::{Async, Timer};
use crate::turn::{Signal, Turn, consume, quiet, read_some, turn, write_some};
use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use log::{debug, warn};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::ops::Range;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use stonescale::terms::Effect;
use stonescale::time::Span;
use stonescale_formats::resp::{self, Bounds, Kind, Part, Scanner};
use stonescale_site::Names;

/// A value or body holds at most 64 KiB, by the protocol page; the rest of a command is short.
pub const VALUE: usize = 64 * 1024;
const BOUNDS: Bounds = Bounds { parts: 16, bulk: VALUE, line: 512, whole: VALUE + 4 * 1024 };
/// Commands of one connection in work, and bytes of answers not yet taken: past it, reading waits.
const MOST_SLOTS: usize = 128;
const MOST_UNSENT: usize = 2 * VALUE;
/// How soon a connection that waits for room looks again, and accepting after it was short of descriptors.
const AGAIN: Duration = Duration::from_millis(10);
/// Idle connections closed for new ones at one go.
const AT_ONCE: usize = 16;
/// Idle connections are closed after that: some clients ask once and keep their connection for good.
const SPARED: Duration = Duration::from_millis(2_000);
/// Of that, where there is no room for others: a client that is late itself still means to use its connection, but
/// were all spared for long, those who wait to be taken would give up first, and then be taken for nothing.
const PRESSED: f64 = 0.1;
/// How long a client may take to its first whole command, and for each half-read one: 3 s are its due.
const HALF: Duration = Duration::from_millis(2_500);
/// How long a connection that lost its framing may take to read why.
const LINGER: Duration = Duration::from_secs(1);
/// No client waits longer than this.
const LONGEST_WAIT_MS: u64 = 600_000;

/// A hit's command as it came; only the wait that it states changes from forward to forward.
pub struct Command {
    bytes: Box<[u8]>,
    /// The list of names and values, with its header, and where in it the wait stands.
    list: Part,
    wait: Range<usize>,
    pub group: usize,
    pub tenant: usize,
    pub key: u64,
    pub patience: Span,
}

impl Command {
    /// Adds the command to `out`, with `wait` as its stated wait.
    pub fn write(&self, out: &mut VecDeque<u8>, wait: Span) {
        let wait = (wait.as_nanos() / 1_000_000).max(1).to_string();
        let length = self.list.text.len() - self.wait.len() + wait.len();
        out.extend(&self.bytes[..self.list.whole.start]);
        out.extend(format!("${length}\r\n").as_bytes());
        out.extend(&self.bytes[self.list.text.start..self.wait.start]);
        out.extend(wait.as_bytes());
        out.extend(&self.bytes[self.wait.end..]);
    }
}

enum Request {
    Hit(Command),
    Other(Vec<u8>),
}

/// A hit's key as a number: as it stands where it is one, else mixed from its bytes; zero stands for none.
fn key_number(text: &[u8]) -> u64 {
    let number = str::from_utf8(text).ok().filter(|t| t.len() <= 16);
    let number = number.and_then(|t| u64::from_str_radix(t, 16).ok());
    // FNV-1a.
    let mix = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    number.unwrap_or_else(|| text.iter().fold(0xcbf2_9ce4_8422_2325, mix))
}

/// What a command asks for; an error says what is wrong with it.
fn understand(bytes: &[u8], parts: &[Part], names: &Names) -> Result<Request, String> {
    let word = |at: usize| parts.get(at).map(|p| &bytes[p.text.clone()]).unwrap_or_default();
    let name = String::from_utf8_lossy(word(0)).to_ascii_uppercase();
    let plain = |text: &str| {
        let mut out = Vec::new();
        resp::write_simple(&mut out, text);
        Ok(Request::Other(out))
    };
    let repeatable = match name.as_str() {
        "PING" if parts.len() <= 1 => return plain("PONG"),
        "PING" => {
            let mut out = Vec::new();
            resp::write_bulk(&mut out, word(1));
            return Ok(Request::Other(out));
        }
        "CLIENT" | "SELECT" => return plain("OK"),
        "SVC.QUERY" if parts.len() == 4 => true,
        "SVC.SUBMIT" if parts.len() == 5 => false,
        "SVC.QUERY" | "SVC.SUBMIT" => return Err(format!("{name} with {} arguments", parts.len() - 1)),
        _ => return Err("unknown command".into()),
    };
    let list = &parts[3];
    let (mut group, mut tenant, mut wait, mut tagged) = (None, None, None, false);
    let mut start = list.text.start;
    for item in word(3).split(|b| *b == b',') {
        let (at, split) = (start, item.iter().position(|b| *b == b'=').unwrap_or(item.len()));
        start += item.len() + 1;
        let value = item.get(split + 1..).unwrap_or_default();
        let text = String::from_utf8_lossy(value);
        match &item[..split] {
            b"c" => group = Some(names.groups.iter().position(|g| g.0 == text).ok_or("unknown class in c")?),
            b"t" if names.tenants.is_empty() => {}
            b"t" => {
                tenant = Some(names.tenants.iter().position(|t| *t == text).ok_or("unknown tenant in t")?)
            }
            b"d" => {
                let digits = value.iter().all(u8::is_ascii_digit);
                let ms = text.parse().ok().filter(|ms| digits && *ms <= LONGEST_WAIT_MS);
                wait = Some((ms.ok_or("d is not a wait in milliseconds")?, at + split + 1..at + item.len()));
            }
            b"k" if value.is_empty() => return Err("k is empty".into()),
            b"k" => tagged = true,
            _ => {}
        }
    }
    let group = group.ok_or("c is missing")?;
    let (ms, wait) = wait.ok_or("d is missing")?;
    let tenant = if names.tenants.is_empty() { 0 } else { tenant.ok_or("t is missing")? };
    let effect = names.groups[group].1;
    if repeatable != (effect == Effect::Repeatable) {
        return Err(format!("{name} does not serve the class in c"));
    } else if matches!(effect, Effect::Tagged { .. }) && !tagged {
        return Err("k is missing".into());
    }
    let (key, patience, list) = (key_number(word(1)), Span::millis(ms), list.clone());
    Ok(Request::Hit(Command { bytes: bytes.into(), list, wait, group, tenant, key, patience }))
}

enum Slot {
    /// With the cost that its hit was booked at, and its number once the core task has it.
    Open(usize, Option<u32>),
    Answered(usize, Vec<u8>),
}

/// One client connection. The core task answers into it; its own task reads.
pub struct Client {
    /// Until the connection is over: the descriptor must not wait for all that still know the client.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    slots: RefCell<VecDeque<Slot>>,
    /// Place of the first slot among all of this connection.
    first: Cell<u64>,
    out: RefCell<VecDeque<u8>>,
    /// Booked for answers in `out`.
    owed: Cell<usize>,
    /// Booked for what was read and is not a whole command yet.
    half: Cell<usize>,
    room: Rc<Room>,
    used: Cell<Instant>,
    /// A whole command came on it.
    asked: Cell<bool>,
    gone: Cell<bool>,
    /// Its descriptor is wanted for others: it is closed if it is idle still when its task gets to it.
    unwanted: Cell<bool>,
    /// It is to be closed as soon as all is answered.
    closing: Cell<bool>,
    signal: Signal,
}

/// What all hits in work may hold in memory together: their commands, and a value for each. Half-read commands
/// count too, but may take up only a part of it, so that they never keep hits out.
pub struct Room {
    held: Cell<usize>,
    half: Cell<usize>,
    most: usize,
}

/// Part of the room for half-read commands.
const HALVES: usize = 4;

impl Room {
    fn free(&self, cost: usize) {
        self.held.set(self.held.get().saturating_sub(cost));
    }
}

impl Client {
    pub fn gone(&self) -> bool {
        self.gone.get()
    }

    /// Notes which hit a place is.
    pub fn bind(&self, place: u64, hit: u32) {
        let at = place.wrapping_sub(self.first.get()) as usize;
        if let Some(Slot::Open(_, bound)) = self.slots.borrow_mut().get_mut(at) {
            *bound = Some(hit);
        }
    }

    /// Gives the answer to the command at `place`; it goes out once those before it have.
    pub fn answer(&self, place: u64, answer: Vec<u8>) {
        if self.gone.get() {
            return;
        }
        let full = self.slots.borrow().len() >= MOST_SLOTS;
        {
            let mut slots = self.slots.borrow_mut();
            let at = place.wrapping_sub(self.first.get()) as usize;
            let Some(slot) = slots.get_mut(at) else { return };
            let Slot::Open(cost, _) = *slot else { return };
            *slot = Slot::Answered(cost, answer);
            while let Some(Slot::Answered(cost, answer)) = slots.front() {
                self.out.borrow_mut().extend(answer);
                self.owed.set(self.owed.get() + cost);
                self.first.set(self.first.get() + 1);
                slots.pop_front();
            }
        }
        let full = full || self.out.borrow().len() >= MOST_UNSENT;
        // The connection's own task is woken only where it has something to do: each hit comes by here.
        if self.flush().is_err() || !self.out.borrow().is_empty() || full || self.closing.get() {
            self.signal.raise();
        }
    }

    /// Writes what can be written now.
    fn flush(&self) -> std::io::Result<()> {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return Ok(()) };
        let mut out = self.out.borrow_mut();
        // Looking whether there is something to write is no use of the connection.
        if out.is_empty() || !write_some(stream, &mut out, &mut 0)? {
            return Ok(());
        }
        self.room.free(self.owed.take());
        self.used.set(Instant::now());
        Ok(())
    }

    /// Books so many bytes of a half-read command.
    fn holds(&self, bytes: usize) {
        let before = self.half.replace(bytes);
        self.room.half.set(self.room.half.get() + bytes - before);
    }

    /// Commands that have come on it.
    fn commands(&self) -> u64 {
        self.first.get() + self.slots.borrow().len() as u64
    }

    /// All commands are answered and all answers written.
    fn done(&self) -> bool {
        self.slots.borrow().is_empty() && self.out.borrow().is_empty()
    }

    /// Closing now would lose nothing: nothing is in work, and nothing unread has come.
    fn idle(&self) -> bool {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref().filter(|_| self.done()) else { return false };
        quiet(stream)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let cost = |s: &Slot| match s {
            Slot::Open(cost, _) | Slot::Answered(cost, _) => *cost,
        };
        self.room.free(self.slots.borrow().iter().map(cost).sum::<usize>() + self.owed.get());
        self.holds(0);
    }
}

/// What all client connections share.
pub struct Clients {
    inbox: Rc<Inbox>,
    clock: Clock,
    names: Names,
    room: Rc<Room>,
    most: usize,
    /// Connections that asked, past which idle ones make room for others.
    crowd: usize,
    open: RefCell<Vec<Weak<Client>>>,
    count: Cell<usize>,
    scratch: RefCell<Vec<u8>>,
}

impl Clients {
    pub fn new(
        inbox: Rc<Inbox>, clock: Clock, names: Names, (most, crowd): (usize, usize), memory: usize,
    ) -> Rc<Self> {
        Rc::new(Clients {
            inbox,
            clock,
            names,
            room: Rc::new(Room { held: Cell::new(0), half: Cell::new(0), most: memory }),
            most,
            crowd,
            open: RefCell::default(),
            count: Cell::new(0),
            scratch: RefCell::new(vec![0; VALUE]),
        })
    }

    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// From now on connections are closed when they are idle.
    pub fn leave(&self) {
        for client in self.open.borrow().iter().filter_map(Weak::upgrade) {
            client.closing.set(true);
            client.signal.raise();
        }
    }

    /// Takes connections for as long as the future is polled.
    pub async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>, tasks: Rc<LocalExecutor<'static>>) {
        let mut short = false;
        loop {
            if self.count.get() >= self.most {
                self.close_longest_idle(AT_ONCE);
                Timer::after(AGAIN).await;
                continue;
            }
            let taken = listener.get_ref().accept();
            let taken = taken.and_then(|(stream, _)| stream.set_nonblocking(true).map(|()| stream));
            let stream = match taken.and_then(Async::new) {
                Ok(stream) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    listener.drained();
                    listener.readable().await;
                    continue;
                }
                Err(e) => {
                    if !std::mem::replace(&mut short, true) {
                        warn!("taking a connection failed, trying on: {e}");
                    }
                    self.close_longest_idle(AT_ONCE);
                    Timer::after(AGAIN).await;
                    continue;
                }
            };
            short = false;
            let client = Rc::new(Client {
                stream: RefCell::new(Some(Rc::new(stream))),
                slots: RefCell::default(),
                first: Cell::new(0),
                out: RefCell::default(),
                owed: Cell::new(0),
                half: Cell::new(0),
                room: self.room.clone(),
                used: Cell::new(Instant::now()),
                asked: Cell::new(false),
                gone: Cell::new(false),
                unwanted: Cell::new(false),
                closing: Cell::new(false),
                signal: Signal::default(),
            });
            self.count.set(self.count.get() + 1);
            self.open.borrow_mut().retain(|c| c.strong_count() > 0);
            let asked = |c: &Weak<Client>| c.upgrade().is_some_and(|c| c.asked.get() && !c.gone());
            let asked = self.open.borrow().iter().filter(|c| asked(c)).count();
            // Clients hold only so many: with all of those left idle, the next hit finds none.
            let excess = asked.saturating_sub(self.crowd).min(AT_ONCE);
            if excess > 0 {
                self.close_longest_idle(excess);
            }
            self.open.borrow_mut().push(Rc::downgrade(&client));
            tasks.spawn(self.clone().serve(client)).detach();
        }
    }

    /// Makes room for new connections: closes so many at most.
    fn close_longest_idle(&self, most: usize) {
        let open: Vec<_> = self.open.borrow().iter().filter_map(Weak::upgrade).collect();
        // A client whose fresh connection is closed opens the next one at once, for no gain.
        // Who asked more than once will ask again: closing that would only bring the next connection.
        let patience = |c: &Client| if c.commands() > 1 { SPARED } else { SPARED.mul_f64(PRESSED) };
        let unused = |c: &&Rc<Client>| c.used.get().elapsed() >= patience(c);
        let mut idle: Vec<_> = open.iter().filter(|c| !c.gone() && c.done()).filter(unused).collect();
        idle.sort_by_key(|c| c.used.get());
        for client in idle.iter().take(most).filter(|c| c.idle()) {
            client.unwanted.set(true);
            client.signal.raise();
        }
    }

    async fn serve(self: Rc<Self>, client: Rc<Client>) {
        let Some(stream) = client.stream.borrow().clone() else { return };
        if let Err(why) = self.read_commands(&client, &stream).await {
            debug!("connection of a client closed: {why}");
            // Unread bytes would turn the close into a reset, and the client might never read why.
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            let until = Instant::now() + LINGER;
            while turn(&stream, true, false, &client.signal, Some(until)).await != Turn::Due {
                match read_some(&stream, &mut self.scratch.borrow_mut()) {
                    Ok(Some([])) | Err(_) => break,
                    _ => {}
                }
                yield_now().await;
            }
        }
        client.gone.set(true);
        client.stream.take();
        drop(stream);
        let unanswered = |s: &Slot| match s {
            Slot::Open(_, hit) => *hit,
            Slot::Answered(..) => None,
        };
        let hits: Vec<u32> = client.slots.borrow().iter().filter_map(unanswered).collect();
        if !hits.is_empty() {
            self.inbox.outcome(Outcome::Left(hits));
        }
        self.count.set(self.count.get() - 1);
    }

    /// Reads until the connection ends; an error where its framing is lost and all else is answered.
    async fn read_commands(
        &self, client: &Rc<Client>, stream: &Async<TcpStream>,
    ) -> Result<(), &'static str> {
        let mut held = Vec::new();
        let mut scanner = Scanner::new(BOUNDS);
        let (mut lost, mut begun) = (None, Instant::now());
        loop {
            if lost.is_none() && !held.is_empty() {
                let before = client.commands();
                lost = self.take_whole(client, &mut scanner, &mut held).err();
                if client.commands() > before {
                    client.asked.set(true);
                    begun = Instant::now();
                } else if self.has_room(client) && begun.elapsed() >= HALF {
                    lost = lost.or(Some("command not ended in time"));
                }
                if let Some(why) = lost {
                    client.closing.set(true);
                    self.enter(client, Err(format!("protocol error: {why}")));
                    held = Vec::new();
                }
            }
            client.holds(held.len());
            if client.gone() || client.flush().is_err() {
                return Ok(());
            }
            if let (Some(why), true) = (lost, client.done()) {
                return Err(why);
            }
            let idle_until = if client.asked.get() { client.used.get() + SPARED } else { begun + HALF };
            let unwanted = client.unwanted.take() || client.closing.get() || idle_until <= Instant::now();
            if unwanted && held.is_empty() && client.idle() {
                return Ok(());
            }
            let halves = held.is_empty() || self.room.half.get() < self.room.most / HALVES;
            let room = lost.is_none() && halves && self.has_room(client);
            let due = match (lost, room) {
                (Some(_), _) => None,
                (None, false) => Some(Instant::now() + AGAIN),
                (None, true) if !held.is_empty() => Some(begun + HALF),
                (None, true) if client.done() => Some(idle_until),
                // The answer does not wake this task: it looks again for when the connection fell idle.
                (None, true) => Some(Instant::now() + SPARED / 4),
            };
            let write = !client.out.borrow().is_empty();
            if turn(stream, room, write, &client.signal, due).await == Turn::Readable {
                match read_some(stream, &mut self.scratch.borrow_mut()) {
                    Ok(Some([])) | Err(_) => return Ok(()),
                    Ok(Some(bytes)) => {
                        if held.is_empty() && client.asked.get() {
                            begun = Instant::now();
                        }
                        held.extend_from_slice(bytes);
                    }
                    Ok(None) => {}
                }
                // Who sends without end must not keep the others from their turn.
                yield_now().await;
            }
        }
    }

    fn has_room(&self, client: &Client) -> bool {
        self.room.held.get() + self.room.half.get() < self.room.most
            && client.slots.borrow().len() < MOST_SLOTS
            && client.out.borrow().len() < MOST_UNSENT
    }

    /// Takes the commands that are whole, for as long as there is room.
    fn take_whole(
        &self, client: &Rc<Client>, scanner: &mut Scanner, held: &mut Vec<u8>,
    ) -> Result<(), &'static str> {
        let mut start = 0;
        while start < held.len() && self.has_room(client) {
            let bytes = &held[start..];
            if scanner.fresh() && bytes[0] != b'*' {
                return Err("a command is an array of bulk strings");
            }
            let Some(length) = scanner.scan(bytes)? else { break };
            if scanner.parts.is_empty() || scanner.parts.iter().any(|p| p.kind != Kind::Bulk) {
                return Err("a command is an array of bulk strings");
            }
            self.enter(client, understand(&bytes[..length], &scanner.parts, &self.names));
            scanner.reset();
            start += length;
        }
        consume(held, start);
        Ok(())
    }

    /// Gives a command its place, and its answer if that is known.
    fn enter(&self, client: &Rc<Client>, request: Result<Request, String>) {
        let place = client.commands();
        let cost = match &request {
            Ok(Request::Hit(command)) => command.bytes.len() + VALUE,
            Ok(Request::Other(answer)) => answer.len(),
            Err(_) => 0,
        };
        self.room.held.set(self.room.held.get() + cost);
        client.slots.borrow_mut().push_back(Slot::Open(cost, None));
        match request {
            Ok(Request::Hit(command)) => {
                let client = client.clone();
                self.inbox.arrival(Arrival { client, place, command, came: self.clock.now() });
            }
            Ok(Request::Other(answer)) => client.answer(place, answer),
            Err(why) => {
                debug!("a client's command answered with an error: {why}");
                let mut answer = Vec::new();
                resp::write_error(&mut answer, &format!("ERR {why}"));
                client.answer(place, answer);
            }
        }
    }
}

/// The answer to a bounced hit; `retry_in` is zero where no wait is named.
pub fn bounced(retry_in: Span) -> Vec<u8> {
    let mut answer = Vec::new();
    match retry_in.as_nanos().div_ceil(1_000_000) {
        0 => resp::write_error(&mut answer, "BUSY"),
        ms => resp::write_error(&mut answer, &format!("BUSY {ms}")),
    }
    answer
}

/// The answer to an errored hit.
pub fn errored() -> Vec<u8> {
    let mut answer = Vec::new();
    resp::write_error(&mut answer, "ERR failed");
    answer
}
