//! Clients: taking their connections, and reading their commands.

use crate::client::{Answer, Client, Crowd, line};
use crate::command::{self, BOUNDS, Command, Request, VALUE, understand};
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
use stonescale_site::Names;
use tracing::{debug, warn};

/// How soon accepting looks again after it was short of room or of descriptors.
const AGAIN: Duration = Duration::from_millis(10);
/// How often it is looked whether a level asks for something back: sooner than a client counts as stuck.
const EASE: Duration = Duration::from_millis(250);
/// Connections closed for new ones at one go.
const AT_ONCE: usize = 16;
/// Idle connections are closed after that: some clients ask once and keep their connection for good.
const SPARED: Span = Span::millis(2_000);
/// Of that, where there is no room for others: a client that is late itself still means to use its connection, but
/// were all spared for long, those who wait to be taken would give up first, and then be taken for nothing.
const PRESSED: f64 = 0.1;
/// For so long a connection may be used at least, where all are in use and others wait to be taken.
const TENURE: Span = Span::millis(1_000);
/// How long a client may take to its first whole command, and for each half-read one: 3 s are its due.
const HALF: Span = Span::millis(2_500);
/// How long a connection that lost its framing may take to read why.
const LINGER: Duration = Duration::from_secs(1);

/// What all client connections share.
pub struct Clients {
    inbox: Rc<Inbox>,
    names: Names,
    crowd: Rc<Crowd>,
    ledger: Ledger,
    most: usize,
    /// Connections that asked, past which idle ones make room for others.
    crowded: usize,
    count: Cell<usize>,
    scratch: RefCell<Vec<u8>>,
}

/// What is being read on one connection.
struct Reading {
    held: Buffer,
    scanner: Scanner,
    /// A command without room: what is left of it is read past, and then it is turned away at its place.
    passed: Option<Passed>,
    /// Why its framing is lost, if it is.
    lost: Option<&'static str>,
    begun: Instant,
}

struct Passed {
    left: usize,
    sequence: u64,
    answer: Vec<u8>,
}

impl Clients {
    pub fn new(
        inbox: Rc<Inbox>, crowd: Rc<Crowd>, names: Names, (most, crowded): (usize, usize),
    ) -> Rc<Self> {
        let (ledger, scratch) = (crowd.ledger.clone(), RefCell::new(vec![0; VALUE]));
        Rc::new(Clients { inbox, names, crowd, ledger, most, crowded, count: Cell::new(0), scratch })
    }

    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// From now on connections are closed when they are idle.
    pub fn leave(&self) {
        for client in self.crowd.all() {
            client.closing.set(true);
            client.signal.raise();
        }
    }

    /// Takes connections for as long as the future is polled.
    pub async fn accept(self: Rc<Self>, listener: Rc<Async<TcpListener>>, tasks: Rc<LocalExecutor<'static>>) {
        let (mut short, mut rotated) = (false, Instant::now());
        loop {
            if self.count.get() >= self.most
                || self.ledger.available(Purpose::Clients) < CLIENT_CONNECTION_BYTES
            {
                // Nobody idle: those that fill the connections must not keep all others out.
                if self.close_idle(AT_ONCE) == 0 && rotated.elapsed() >= AGAIN * AT_ONCE as u32 {
                    rotated = Instant::now();
                    self.crowd.rotate(TENURE, AT_ONCE);
                }
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
                    self.close_idle(AT_ONCE);
                    Timer::after(AGAIN).await;
                    continue;
                }
            };
            short = false;
            let Some(client) = self.crowd.join(stream) else { continue };
            self.count.set(self.count.get() + 1);
            let asked = self.crowd.all().iter().filter(|c| c.asked.get()).count();
            // Clients hold only so many: with all of those left idle, the next hit finds none.
            let excess = asked.saturating_sub(self.crowded).min(AT_ONCE);
            if excess > 0 {
                self.close_idle(excess);
            }
            tasks.spawn(self.clone().serve(client)).detach();
        }
    }

    fn close_idle(&self, most: usize) -> usize {
        self.crowd.close_idle((SPARED, SPARED * PRESSED), most)
    }

    /// Makes room as the table of purposes says, for as long as the future is polled.
    pub async fn ease(self: Rc<Self>) {
        loop {
            Timer::after(EASE).await;
            self.crowd.ease((SPARED, SPARED * PRESSED), AT_ONCE);
        }
    }

    async fn serve(self: Rc<Self>, client: Rc<Client>) {
        let Some(stream) = client.stream() else { return };
        if let Err(why) = self.read_commands(&client, &stream).await {
            debug!("connection of a client closed: {why}");
            // Unread bytes would turn the close into a reset, and the client might never read why.
            let _ = stream.get_ref().shutdown(Shutdown::Write);
            let until = Instant::now() + LINGER;
            while wait_for_wakeup(&stream, true, false, &client.signal, Some(until)).await
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
        crate::mutants::connection(stream.clone());
        let unanswered = client.leaves();
        drop(stream);
        if !unanswered.is_empty() {
            self.inbox.push_hit_event(HitEvent::ClientLeft(unanswered));
        }
        self.count.set(self.count.get() - 1);
    }

    /// Reads until the connection ends; an error where its framing is lost and all else is answered.
    async fn read_commands(
        &self, client: &Rc<Client>, stream: &Async<TcpStream>,
    ) -> Result<(), &'static str> {
        let clock = self.crowd.clock;
        let half = crate::clock::duration(HALF);
        let mut reading = Reading {
            held: Buffer::with_prepaid(&self.ledger, Purpose::PartialCommands),
            scanner: Scanner::new(BOUNDS),
            passed: None,
            lost: None,
            begun: Instant::now(),
        };
        loop {
            let under_way = !reading.held.is_empty() || reading.passed.is_some();
            if reading.lost.is_none() && under_way {
                let before = client.commands();
                reading.lost = self.take_whole(client, &mut reading).err();
                if client.commands() > before {
                    client.asked.set(true);
                    reading.begun = Instant::now();
                } else if client.may_ask() && reading.begun.elapsed() >= half {
                    reading.lost = reading.lost.or(Some("command not ended in time"));
                }
                if let Some(why) = reading.lost {
                    self.give_up_reading(client, &mut reading, why);
                }
            }
            if client.is_cut() || client.flush().is_err() {
                return Ok(());
            }
            if let (Some(why), true) = (reading.lost, client.done()) {
                return Err(why);
            }
            let under_way = !reading.held.is_empty() || reading.passed.is_some();
            let idle_until =
                if client.asked.get() { clock.instant(client.used() + SPARED) } else { reading.begun + half };
            let unwanted = client.unwanted.take() || client.closing.get() || idle_until <= Instant::now();
            if unwanted && !under_way && client.idle() {
                return Ok(());
            }
            let mut read = reading.lost.is_none() && client.may_ask();
            if let Err(why) = if read { self.makes_room(client, &mut reading) } else { Ok(()) } {
                (reading.lost, read) = (Some(why), false);
                self.give_up_reading(client, &mut reading, why);
            }
            let due = match (reading.lost, read) {
                (Some(_), _) => None,
                (None, true) if under_way => Some(reading.begun + half),
                (None, true) if client.done() => Some(idle_until),
                // The answer does not wake this task: it looks again for when the connection fell idle, or what
                // clients are owed is less.
                (None, _) => Some(Instant::now() + crate::clock::duration(SPARED * 0.25)),
            };
            if wait_for_wakeup(stream, read, client.owes(), &client.signal, due).await == Wakeup::Readable {
                let most = reading.passed.as_ref().map_or(reading.held.spare_capacity(), |p| p.left);
                match read_available(stream, &mut self.scratch.borrow_mut()[..most.min(VALUE)]) {
                    Ok(Some([])) | Err(_) => return Ok(()),
                    Ok(Some(bytes)) => {
                        if !under_way && client.asked.get() {
                            reading.begun = Instant::now();
                        }
                        reading.takes(bytes);
                    }
                    Ok(None) => {}
                }
                // Who sends without end must not keep the others from their turn.
                yield_now().await;
            }
        }
    }

    /// Sees to it that what is to be read next has room. A command that has none is read past and turned away: it
    /// never ran. An error says why the connection can't be read on.
    fn makes_room(&self, client: &Client, reading: &mut Reading) -> Result<(), &'static str> {
        let Reading { held, scanner, passed, .. } = reading;
        let wants = scanner.required_length();
        let more = match wants {
            None if held.spare_capacity() > 0 => 0,
            None => MIN_CAPACITY_BYTES,
            Some((end, _)) => end.saturating_sub(held.len()),
        };
        if passed.is_some() || held.reserve(more).is_ok() {
            return Ok(());
        }
        let Some((end, true)) = wants else { return Err("no room for a command of such a form") };
        let ask = command::read_list(held.as_slice(), &scanner.elements, &self.names);
        let answer = ask.map_or_else(|why| command::faulty(&why), |ask| self.bounced(ask.group));
        *passed = Some(Passed { left: end - held.len(), sequence: client.reserve_sequence(), answer });
        client.asked.set(true);
        let length = held.len();
        held.consume(length, 0);
        scanner.reset();
        Ok(())
    }

    fn bounced(&self, group: usize) -> Vec<u8> {
        command::bounced(retry_after(self.names.groups[group].target, self.names.retry_in))
    }

    /// Says why a connection is read no more; it is closed once that and all before it is answered.
    fn give_up_reading(&self, client: &Rc<Client>, reading: &mut Reading, why: &str) {
        client.closing.set(true);
        let sequence =
            reading.passed.take().map_or_else(|| client.reserve_sequence(), |passed| passed.sequence);
        self.faulty(client, sequence, &format!("protocol error: {why}"));
        let length = reading.held.len();
        reading.held.consume(length, 0);
    }

    fn faulty(&self, client: &Rc<Client>, sequence: u64, why: &str) {
        debug!("a client's command answered with an error: {why}");
        client.answer(sequence, line(&self.ledger, command::faulty(why)));
    }

    /// Takes the commands that are whole, for as long as more may be asked.
    fn take_whole(&self, client: &Rc<Client>, reading: &mut Reading) -> Result<(), &'static str> {
        if let Some(Passed { sequence, answer, .. }) = reading.passed.take_if(|p| p.left == 0) {
            client.answer(sequence, Answer::Line(answer));
        }
        let Reading { held, scanner, .. } = reading;
        while !held.is_empty() && client.may_ask() {
            let bytes = held.as_slice();
            if scanner.is_at_message_start() && bytes[0] != b'*' {
                return Err("a command is an array of bulk strings");
            }
            let Some(length) = scanner.scan(bytes)? else { break };
            if scanner.elements.is_empty()
                || scanner.elements.iter().any(|p| p.kind != ElementKind::BulkString)
            {
                return Err("a command is an array of bulk strings");
            }
            let request = understand(&bytes[..length], &scanner.elements, &self.names);
            scanner.reset();
            let sequence = client.reserve_sequence();
            match request {
                Ok(Request::Hit(ask)) => {
                    let group = ask.group;
                    let Ok(block) = held.take_block_with_extra(length, Purpose::in_flight(group), HIT_BYTES)
                    else {
                        held.consume(length, MIN_CAPACITY_BYTES);
                        client.answer(sequence, Answer::Line(self.bounced(group)));
                        continue;
                    };
                    let (command, received_at) = (Command { block, ask }, self.crowd.clock.now());
                    let client = client.clone();
                    self.inbox.push_hit(IncomingHit { client, sequence, command, received_at });
                }
                Ok(Request::Other(answer)) => {
                    held.consume(length, MIN_CAPACITY_BYTES);
                    client.answer(sequence, line(&self.ledger, answer));
                }
                Err(why) => {
                    held.consume(length, MIN_CAPACITY_BYTES);
                    self.faulty(client, sequence, &why);
                }
            }
        }
        Ok(())
    }
}

impl Reading {
    /// Takes in what was read: no more than there is room for, or than is read past.
    fn takes(&mut self, bytes: &[u8]) {
        match &mut self.passed {
            Some(passed) => passed.left -= bytes.len().min(passed.left),
            None if self.held.extend(bytes).is_err() => self.lost = Some("no room for what follows"),
            None => {}
        }
    }
}
