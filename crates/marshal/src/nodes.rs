//! Nodes: connections to them, and the forwards that these carry. A connection carries one forward where
//! another connection is to be had, since answers on a connection come in order; several where not.

use crate::clock::{Clock, duration};
use crate::command::{Command, VALUE};
use crate::endings::EndReason;
use crate::inbox::{HitEvent, Inbox};
use crate::reactor::Async;
use crate::turn::{
    Signal, Wakeup, connect, is_open_without_input, read_available, try_write_vectored, wait_for_wakeup,
    write_available,
};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::Readiness;
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::MIN_CAPACITY_BYTES;
use stonescale_budget::plan::NODE_CONNECTION_BYTES;
use stonescale_budget::purpose::ReclaimAction;
use stonescale_budget::{BudgetExceeded, Buffer, Charge, Ledger, Purpose};
use stonescale_formats::resp::{ElementKind, MessageLimits, Scanner};
use tracing::{debug, info, warn};

const BOUNDS: MessageLimits = MessageLimits {
    max_elements: 8,
    max_bulk_bytes: VALUE,
    max_line_bytes: 1024,
    max_message_bytes: VALUE + 4 * 1024,
};
/// Of the time in which a node closes an idle connection: by then the marshal has closed it itself.
const RETIRE: f64 = 0.6;
/// Of that, where node connections run short of memory: one that was used so lately is likely used again.
const PRESSED: f64 = 0.1;
/// A second copy or noise may follow an answer right behind. It must have come to be seen, or it would be taken
/// for the answer to the next hit: so long a connection rests, and then it is looked at.
const REST: Span = Span::millis(5);
/// One part in so many of what may be queued to all nodes that one may have queued.
const NODE_PART: usize = 4;
/// How soon a connection looks again whether there is room for the answer that comes on it.
const AGAIN: Duration = Duration::from_millis(10);

struct Flight {
    hit: u32,
    hop: u8,
    /// Bytes written on the connection once this forward's last one is.
    whole_at: u64,
    /// Its end has been told; its answer, should one come, is read past.
    told: bool,
}

/// One connection to a node.
pub struct Link {
    opened: Time,
    /// Until the connection is over: the descriptor must not wait for all that still know the link.
    stream: RefCell<Option<Rc<Async<TcpStream>>>>,
    flights: RefCell<VecDeque<Flight>>,
    out: RefCell<Buffer>,
    queued: Cell<u64>,
    written: Cell<u64>,
    /// It takes no further forwards.
    retired: Cell<bool>,
    /// How it is to end, once that is asked for.
    end: Cell<Option<EndReason>>,
    used: Cell<Time>,
    signal: Signal,
    _record: Charge,
}

impl Link {
    fn idle(&self) -> bool {
        self.flights.borrow().is_empty()
    }

    fn rested(&self, now: Time) -> bool {
        self.idle() && now - self.used.get() >= REST
    }

    fn finish(&self, reason: EndReason) {
        self.retired.set(true);
        if self.end.get().is_none() {
            self.end.set(Some(reason));
        }
        self.signal.raise();
    }

    /// The forward's last byte has been written.
    fn sent(&self, flight: &Flight) -> bool {
        self.written.get() >= flight.whole_at
    }

    /// Nothing has come on it that nobody waits for, and the node has not ended it.
    fn sound(&self) -> bool {
        self.stream.borrow().as_ref().is_none_or(|stream| is_open_without_input(stream))
    }

    /// Puts a forward on the connection: writes what it takes now, and queues the rest if there is room. Where it went
    /// out in part only, the connection ends.
    fn queue(&self, hit: u32, hop: u8, command: &Command, wait: Span) -> Result<(), EndReason> {
        let mut out = self.out.borrow_mut();
        command.pieces(wait, |pieces| {
            let length: usize = pieces.iter().map(|p| p.len()).sum();
            let stream = self.stream.borrow();
            let wrote = match stream.as_ref().filter(|_| out.is_empty()) {
                Some(stream) => try_write_vectored(stream, pieces).map_err(|_| EndReason::Broken),
                None => Ok(0),
            };
            let wrote = wrote.inspect_err(|reason| self.finish(*reason))?;
            self.written.set(self.written.get() + wrote as u64);
            let put = |out: &mut Buffer| {
                out.reserve(length - wrote)?;
                let mut done = wrote;
                for piece in pieces {
                    let passed = done.min(piece.len());
                    done -= passed;
                    out.extend(&piece[passed..])?;
                }
                Ok(())
            };
            put(&mut out).map_err(|_: BudgetExceeded| {
                if wrote > 0 {
                    self.finish(EndReason::NoSocket);
                }
                EndReason::NoSocket
            })?;
            self.queued.set(self.queued.get() + length as u64);
            Ok(())
        })?;
        let whole_at = self.queued.get();
        self.flights.borrow_mut().push_back(Flight { hit, hop, whole_at, told: false });
        if !out.is_empty() {
            self.signal.raise();
        }
        Ok(())
    }

    /// Writes what can be written now.
    fn flush(&self) -> Result<(), EndReason> {
        let stream = self.stream.borrow();
        let Some(stream) = stream.as_ref() else { return Ok(()) };
        let mut out = self.out.borrow_mut();
        let mut written = self.written.get();
        let wrote = write_available(stream, &mut out, &mut written);
        self.written.set(written);
        wrote.map(|_| ()).map_err(|_| EndReason::Broken)
    }
}

struct Stand {
    addr: SocketAddr,
    /// When it was listed as gone, if it was.
    gone: Option<Time>,
    links: Vec<Rc<Link>>,
}

pub struct Nodes {
    stands: Vec<Option<Stand>>,
    inbox: Rc<Inbox>,
    tasks: Rc<LocalExecutor<'static>>,
    clock: Clock,
    up_within: Span,
    idle: Span,
    multiplex: usize,
    most: usize,
    ledger: Ledger,
    open: Rc<Cell<usize>>,
    scratch: Rc<RefCell<Vec<u8>>>,
}

impl Nodes {
    pub fn new(
        inbox: Rc<Inbox>, tasks: Rc<LocalExecutor<'static>>, clock: Clock,
        (up_within, idle, multiplex): (Span, Span, usize), most: usize, ledger: Ledger,
    ) -> Self {
        let scratch = Rc::new(RefCell::new(vec![0; VALUE]));
        let (stands, open) = (Vec::new(), Rc::default());
        Nodes { stands, inbox, tasks, clock, up_within, idle, multiplex, most, ledger, open, scratch }
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Takes an entry of the list: what it says of a node ends connections that lead elsewhere now.
    pub fn listed(&mut self, node: usize, addr: SocketAddr, readiness: Readiness, started: Time) {
        if self.stands.len() <= node {
            self.stands.resize_with(node + 1, || None);
        }
        let links = self.stands[node].take().map_or(Vec::new(), |was| {
            if was.addr != addr {
                was.links.iter().for_each(|l| Self::leave(l, EndReason::Withdrawn));
                Vec::new()
            } else {
                was.links
            }
        });
        for link in &links {
            if readiness != Readiness::Ready {
                Self::leave(link, EndReason::Withdrawn);
            } else if link.opened < started {
                // The process that it leads to is gone, even if its machine said nothing.
                link.finish(EndReason::Restarted);
            }
        }
        let gone = (readiness == Readiness::Gone).then(|| self.clock.now());
        self.stands[node] = Some(Stand { addr, gone, links });
    }

    /// Lets what was written be answered; nothing else goes out on it.
    fn leave(link: &Link, reason: EndReason) {
        link.retired.set(true);
        if link.written.get() == 0 || link.idle() {
            link.finish(reason);
        }
    }

    /// A full list that left these nodes out: they are gone.
    pub fn keep_only(&mut self, named: &HashSet<usize>) {
        for (at, stand) in self.stands.iter_mut().enumerate() {
            if let Some(stand) = stand.as_mut().filter(|_| !named.contains(&at)) {
                stand.gone = stand.gone.or(Some(self.clock.now()));
                stand.links.iter().for_each(|l| Self::leave(l, EndReason::Withdrawn));
            }
        }
    }

    /// Where a node listens, as listed.
    pub fn addr(&self, node: usize) -> SocketAddr {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        self.stands.get(node).and_then(Option::as_ref).map_or(nowhere, |s| s.addr)
    }

    /// Sends a hit's command to a node, stating `wait`.
    pub fn forward(
        &mut self, node: usize, hit: u32, hop: u8, command: &Command, wait: Span,
    ) -> Result<Rc<Link>, EndReason> {
        let now = self.clock.now();
        let stand = self.stands.get_mut(node).and_then(Option::as_mut).ok_or(EndReason::NoSuchNode)?;
        let addr = stand.addr;
        stand.links.retain(|l| !l.retired.get());
        // The one used last is the least likely to be closed by the node at this moment.
        while let Some(link) =
            stand.links.iter().filter(|l| l.rested(now) && !l.retired.get()).max_by_key(|l| l.used.get())
        {
            let link = link.clone();
            if link.sound() {
                link.used.set(now);
                link.queue(hit, hop, command, wait)?;
                return Ok(link);
            }
            link.finish(EndReason::Closed);
        }
        // A storm of new connections costs node and marshal more than waiting behind another forward: one at a
        // time comes up to a node.
        let coming = stand.links.iter().any(|l| !l.retired.get() && l.stream.borrow().is_none());
        if coming || self.open.get() >= self.most {
            let shared = stand.links.iter().filter(|l| !l.retired.get() && !l.idle());
            let shared = shared.filter(|l| l.flights.borrow().len() < self.multiplex);
            if let Some(link) = shared.min_by_key(|l| l.flights.borrow().len()).cloned() {
                // What one node does not read must not take the room of what goes to the others.
                let queued: usize = stand.links.iter().map(|l| l.out.borrow().charged_bytes()).sum();
                if queued > self.ledger.cap(Purpose::NodeConnections) / NODE_PART {
                    return Err(EndReason::NoSocket);
                }
                link.queue(hit, hop, command, wait)?;
                return Ok(link);
            }
            // This node has none to share: another's idle one goes for it.
            let all = self.stands.iter().flatten().flat_map(|s| &s.links);
            let idle = all.filter(|l| l.idle() && !l.retired.get()).min_by_key(|l| l.used.get());
            idle.ok_or(EndReason::NoSocket)?.finish(EndReason::Idle);
        }
        let record = self
            .ledger
            .charge(Purpose::NodeConnections, NODE_CONNECTION_BYTES)
            .map_err(|_| EndReason::NoSocket)?;
        let link = Rc::new(Link {
            opened: now,
            stream: RefCell::default(),
            flights: RefCell::default(),
            out: RefCell::new(Buffer::new(&self.ledger, Purpose::NodeConnections)),
            queued: Cell::new(0),
            written: Cell::new(0),
            retired: Cell::new(false),
            end: Cell::new(None),
            used: Cell::new(now),
            signal: Signal::default(),
            _record: record,
        });
        link.queue(hit, hop, command, wait)?;
        let stand = self.stands.get_mut(node).and_then(Option::as_mut).ok_or(EndReason::NoSuchNode)?;
        stand.links.push(link.clone());
        self.open.set(self.open.get() + 1);
        let carrier = Carrier {
            link: link.clone(),
            inbox: self.inbox.clone(),
            clock: self.clock,
            ledger: self.ledger.clone(),
            open: self.open.clone(),
            scratch: self.scratch.clone(),
            part_within: duration(self.up_within),
        };
        self.tasks.spawn(carrier.run(addr, self.up_within)).detach();
        Ok(link)
    }

    /// Stops waiting for a forward. Its connection is closed, unless others' forwards are on it too.
    pub fn give_up(&self, link: &Link, hit: u32, hop: u8, reason: EndReason) {
        let mut flights = link.flights.borrow_mut();
        let Some(flight) = flights.iter_mut().find(|f| (f.hit, f.hop) == (hit, hop) && !f.told) else {
            return;
        };
        flight.told = true;
        let sent = link.sent(flight);
        let alone = flights.iter().all(|f| f.told);
        drop(flights);
        link.retired.set(true);
        if alone {
            link.finish(reason);
        }
        self.inbox.push_forward_end(hit, hop, reason, sent);
    }

    /// Closes what has stood idle for long; the node would, and a hit might be lost on the way. Forgets nodes
    /// that are gone for as long, or at all where room is `short`, and returns their numbers.
    pub fn sweep(&mut self, short: bool) -> Vec<usize> {
        let now = self.clock.now();
        let pressed = self.ledger.reclaim_action(Purpose::NodeConnections) == ReclaimAction::CloseIdle;
        let rest = self.idle * RETIRE * if pressed { PRESSED } else { 1.0 };
        for stand in self.stands.iter_mut().flatten() {
            stand.links.retain(|l| !l.retired.get());
            for link in stand.links.iter().filter(|l| l.idle() && now - l.used.get() >= rest) {
                if pressed {
                    self.ledger.record_reclaimed(Purpose::NodeConnections, NODE_CONNECTION_BYTES);
                }
                link.finish(EndReason::Idle);
            }
        }
        let patience = if short { Span::ZERO } else { self.idle };
        let over = |s: &Stand| s.links.is_empty() && s.gone.is_some_and(|at| now - at >= patience);
        let over = |(at, stand): (usize, &mut Option<Stand>)| stand.take_if(|stand| over(stand)).map(|_| at);
        self.stands.iter_mut().enumerate().filter_map(over).collect()
    }
}

/// Whether an error line has one of the protocol's forms: `ERR failed`, `BUSY` or `BUSY MS`, each with a load report
/// behind it or none, or `SYNTAX`. A line that lost its end runs on into the next answer; taken for an error, it would hide
/// that one, and all answers behind it would go to the wrong hits. May hurt where nodes word their errors in other ways:
/// each costs a connection, and counts as one that broke.
fn known(line: &[u8]) -> bool {
    let mut words = line.split(|b| *b == b' ');
    let head = match words.next() {
        Some(b"ERR") => words.next() == Some(b"failed"),
        Some(b"BUSY") => true,
        Some(b"SYNTAX") => return true,
        _ => false,
    };
    // `inflight=7,queue=2,util=0.61`, or a number.
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"._-".contains(b);
    let item = |item: &[u8]| {
        let mut sides = item.split(|b| *b == b'=');
        sides.clone().count() <= 2 && sides.all(|side| !side.is_empty() && side.iter().all(plain))
    };
    let figures = |word: &[u8]| word.contains(&b'=') || word.iter().all(u8::is_ascii_digit);
    head && words.all(|word| figures(word) && word.split(|b| *b == b',').all(item))
}

/// The task of one connection.
struct Carrier {
    link: Rc<Link>,
    inbox: Rc<Inbox>,
    clock: Clock,
    ledger: Ledger,
    open: Rc<Cell<usize>>,
    scratch: Rc<RefCell<Vec<u8>>>,
    /// Within this the rest of an answer comes: as long as a connection may take to come up.
    part_within: Duration,
}

impl Carrier {
    async fn run(self, addr: SocketAddr, up_within: Span) {
        let reason = match self.come_up(addr, up_within).await {
            Ok(()) => self.carry().await,
            Err(reason) => reason,
        };
        self.link.finish(reason);
        self.link.stream.take();
        self.open.set(self.open.get() - 1);
        let flights = std::mem::take(&mut *self.link.flights.borrow_mut());
        if !flights.is_empty() {
            debug!("connection to {addr} ended with {} forwards: {reason:?}", flights.len());
        }
        for flight in flights.into_iter().filter(|f| !f.told) {
            let sent = self.link.sent(&flight);
            self.inbox.push_forward_end(flight.hit, flight.hop, reason, sent);
        }
    }

    async fn come_up(&self, addr: SocketAddr, up_within: Span) -> Result<(), EndReason> {
        let asked = async {
            loop {
                self.link.signal.wait().await;
                if let Some(reason) = self.link.end.get() {
                    return Err(reason);
                }
            }
        };
        let up = async {
            let stream = connect(addr, duration(up_within)).await;
            stream.map_err(|e| {
                info!("connection to {addr} did not come up: {e}");
                EndReason::from_connect_error(&e)
            })
        };
        let stream = futures_lite::future::or(asked, up).await?;
        *self.link.stream.borrow_mut() = Some(Rc::new(stream));
        Ok(())
    }

    async fn carry(&self) -> EndReason {
        let link = &self.link;
        let Some(stream) = link.stream.borrow().clone() else { return EndReason::Broken };
        let mut held = Buffer::with_prepaid(&self.ledger, Purpose::NodeAnswers);
        let mut scanner = Scanner::new(BOUNDS);
        // When the answer began that is not whole yet.
        let mut begun = None;
        loop {
            if let Some(reason) = link.end.get() {
                return reason;
            }
            if let Err(reason) = link.flush() {
                return reason;
            }
            let more = match scanner.required_length() {
                None if held.spare_capacity() > 0 => 0,
                None => MIN_CAPACITY_BYTES,
                Some((end, _)) => end.saturating_sub(held.len()),
            };
            // Without room the answer stays where it is, until there is some or its time is over.
            let room = held.reserve(more).is_ok();
            let write = !link.out.borrow().is_empty();
            let over = begun.map(|at| at + self.part_within);
            let again = (!room).then(|| Instant::now() + AGAIN);
            let due = over.into_iter().chain(again).min();
            match wait_for_wakeup(&stream, room, write, &link.signal, due).await {
                Wakeup::Readable => {}
                // A length that doesn't fit, or a line without an end: the rest will never come.
                Wakeup::DeadlineReached if over.is_some_and(|at| at <= Instant::now()) => {
                    return EndReason::Garbled;
                }
                _ => continue,
            }
            {
                let mut scratch = self.scratch.borrow_mut();
                let most = held.spare_capacity().min(VALUE);
                match read_available(&stream, &mut scratch[..most]) {
                    Ok(Some([])) => return EndReason::Closed,
                    // There is room for all that was read.
                    Ok(Some(bytes)) if held.extend(bytes).is_err() => return EndReason::Garbled,
                    Ok(Some(_)) => {}
                    Ok(None) => continue,
                    Err(_) => return EndReason::Broken,
                }
            }
            if let Err(why) = self.take_answers(&mut scanner, &mut held) {
                warn!("a node's answer was no answer: {why}");
                return EndReason::Garbled;
            }
            begun = (!held.is_empty()).then(|| begun.unwrap_or_else(Instant::now));
            if link.retired.get() && link.idle() {
                return EndReason::Idle;
            }
        }
    }

    fn take_answers(&self, scanner: &mut Scanner, held: &mut Buffer) -> Result<(), &'static str> {
        while !held.is_empty() {
            let bytes = held.as_slice();
            let Some(length) = scanner.scan(bytes)? else { return Ok(()) };
            let first = scanner.elements.first().ok_or("empty array")?;
            let reason = match (scanner.is_array, first.kind) {
                // Load report and null that may follow are read past.
                (true, ElementKind::BulkString) => EndReason::Served,
                (false, ElementKind::Error) if !known(&bytes[first.payload.clone()]) => {
                    return Err("an error of no known form");
                }
                (false, ElementKind::Error) if bytes[first.payload.clone()].starts_with(b"BUSY") => {
                    EndReason::SaidBusy
                }
                (false, ElementKind::Error) => EndReason::SaidFailed,
                _ => return Err("neither a value nor an error"),
            };
            if reason == EndReason::SaidFailed && bytes[first.payload.clone()].starts_with(b"SYNTAX") {
                warn!("a node found a forward malformed");
            }
            let place = first.encoded.clone();
            let mut flights = self.link.flights.borrow_mut();
            let flight = flights.pop_front_if(|f| self.link.sent(f)).ok_or("no forward was out")?;
            drop(flights);
            let wanted = !flight.told && reason == EndReason::Served;
            let value = wanted.then(|| held.take_block(length, Purpose::NodeAnswers));
            if !matches!(value, Some(Ok(_))) {
                held.consume(length, MIN_CAPACITY_BYTES);
            }
            if !flight.told {
                let (hit, hop, sent) = (flight.hit, flight.hop, true);
                let (reason, value) = match value {
                    None => (reason, None),
                    Some(Ok(mut block)) => {
                        block.narrow(place);
                        (reason, Some(block))
                    }
                    // It ran, and there is no room for what it said.
                    Some(Err(_)) => (EndReason::Garbled, None),
                };
                self.inbox.push_hit_event(HitEvent::ForwardEnded { hit, hop, reason, sent, value });
            }
            self.link.used.set(self.clock.now());
            scanner.reset();
        }
        Ok(())
    }
}
