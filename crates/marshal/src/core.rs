//! The core task: it alone owns the decision module, its timers and the hits' numbers. Socket tasks reach it
//! through the inbox only; what the module calls for is carried out here.

use crate::client::{Answer, Client};
use crate::clock::Clock;
use crate::command::{self, Command};
use crate::discovery::Discovery;
use crate::endings::EndReason;
use crate::inbox::{ControlEvent, HitEvent, Inbox, IncomingHit, NodeEntry, StageReport};
use crate::nodes::{Link, Nodes};
use crate::platform::Platform;
use crate::reactor;
use futures_lite::future::{or, yield_now};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use stonescale::host::{ForwardOutcome, GiveUpReason, Host, ListUpdate, Verdict};
use stonescale::policy::Marshal;
use stonescale::state::Timer;
use stonescale::time::{Span, Time};
use stonescale_budget::buffer::Block;
use stonescale_budget::plan::NODE_RECORD_BYTES;
use stonescale_budget::purpose::ReclaimAction;
use stonescale_budget::{Charge, Ledger, Purpose};
use stonescale_store::{Slots, TimerHandle, TimerWheel};
use tracing::{debug, info, trace, warn};

/// How often idle connections are looked at.
const SWEEP: Span = Span::millis(500);
/// Arrivals taken in one batch: then news and outcomes have their turn again.
const BATCH: usize = 64;

/// What comes due.
#[derive(Clone, Copy)]
enum Due {
    Token(u64),
    Forward(u32, u8),
    Sweep,
}

/// A hit that is not done with: its answer, or the end of a forward, is still to come.
struct Open {
    client: Rc<Client>,
    sequence: u64,
    command: Command,
    answered: bool,
    forwards: Vec<Forward>,
    /// Its timers in the module: a client may wait for minutes and be answered at once, and they must not stand on.
    ends: Option<TimerHandle>,
    copy: Option<TimerHandle>,
}

struct Forward {
    sent: Time,
    /// The connection, until its end was told; none where there was none to be had.
    link: Option<Rc<Link>>,
    told: bool,
    /// When it has been waited for long enough.
    limit: Option<TimerHandle>,
}

/// What the module's calls act on.
pub struct Doors {
    clock: Clock,
    now: Time,
    due: TimerWheel<Due>,
    hits: Slots<Open>,
    taken: u64,
    ledger: Ledger,
    /// Numbers of nodes by their listed ids, and numbers that are free again.
    ids: HashMap<String, (usize, Charge)>,
    /// For the present list, room was made for nodes already.
    swept: bool,
    free: Vec<usize>,
    inbox: Rc<Inbox>,
    nodes: Nodes,
    discovery: Discovery,
    platform: Rc<Platform>,
}

impl Doors {
    pub fn new(
        clock: Clock, ledger: Ledger, inbox: Rc<Inbox>, nodes: Nodes, discovery: Discovery,
        platform: Rc<Platform>,
    ) -> Self {
        let (now, ids, free) = (clock.now(), HashMap::new(), Vec::new());
        Doors {
            clock,
            now,
            due: TimerWheel::new(now),
            hits: Slots::default(),
            taken: 0,
            ledger,
            ids,
            swept: false,
            free,
            inbox,
            nodes,
            discovery,
            platform,
        }
    }

    /// A node's small number, by its listed id; none for a new one without room for its records.
    fn number(&mut self, id: String) -> Option<usize> {
        if let Some((number, _)) = self.ids.get(&id) {
            return Some(*number);
        }
        let charge = self.ledger.charge(Purpose::Nodes, NODE_RECORD_BYTES).or_else(|_| {
            // Those that are gone make room before their time; once a list, as that looks at them all.
            if !std::mem::replace(&mut self.swept, true) {
                self.forget(true);
            }
            self.ledger.charge(Purpose::Nodes, NODE_RECORD_BYTES)
        });
        let charge = charge.ok()?;
        let next = self.ids.len() + self.free.len();
        let number = self.free.pop().unwrap_or(next);
        self.ids.insert(id, (number, charge));
        Some(number)
    }

    /// Looks after idle connections, and forgets nodes that are gone for long (or at all, where room is `short`).
    fn forget(&mut self, short: bool) {
        let over = self.nodes.sweep(short);
        if short {
            self.ledger.record_reclaimed(Purpose::Nodes, over.len() * NODE_RECORD_BYTES);
        }
        if !over.is_empty() {
            let gone: HashSet<usize> = over.iter().copied().collect();
            self.ids.retain(|_, (number, _)| !gone.contains(number));
            self.free.extend(&over);
        }
    }

    /// Answers a hit, once.
    fn answer(&mut self, hit: u32, line: impl FnOnce() -> Vec<u8>) {
        if let Some(open) = self.hits.get_mut(hit).filter(|open| !open.answered) {
            open.answered = true;
            open.client.answer(open.sequence, Answer::Line(line()));
            self.release(hit);
        }
    }

    /// Forgets a hit that is answered, with the ends of all its forwards told.
    fn release(&mut self, hit: u32) {
        if self.hits.get(hit).is_some_and(|open| open.answered && open.forwards.iter().all(|f| f.told)) {
            let timers = self.hits.remove(hit).map(|open| [open.ends, open.copy]);
            for set in timers.into_iter().flatten().flatten() {
                self.due.cancel(set);
            }
        }
    }

    fn give_up(&self, hit: u32, hop: u8, reason: EndReason) {
        let forward = self.hits.get(hit).and_then(|open| open.forwards.get(usize::from(hop)));
        if let Some(Forward { link: Some(link), told: false, .. }) = forward {
            self.nodes.give_up(link, hit, hop, reason);
        }
    }
}

impl Host for Doors {
    fn forward(&mut self, hit: u32, node: u64, timeout: Span) {
        let Some(open) = self.hits.get_mut(hit) else { return };
        let hop = open.forwards.len() as u8;
        let link = match open.answered {
            true => Err(EndReason::NoSuchNode),
            false => self.nodes.forward(node as usize, hit, hop, &open.command, timeout),
        };
        match link {
            Ok(link) => {
                trace!("hit {} forward {hop} to {}", open.command.id(), self.nodes.addr(node as usize));
                let limit = Some(self.due.schedule(self.now + timeout, Due::Forward(hit, hop)));
                open.forwards.push(Forward { sent: self.now, link: Some(link), told: false, limit });
            }
            Err(reason) => {
                open.forwards.push(Forward { sent: self.now, link: None, told: false, limit: None });
                debug!("a forward could not be sent: {reason:?}");
                self.inbox.push_forward_end(hit, hop, reason, false);
            }
        }
    }

    fn bounce(&mut self, hit: u32, retry_in: Span) {
        self.answer(hit, || command::bounced(retry_in));
    }

    fn report_give_up(&mut self, hit: u32, why: GiveUpReason) {
        if let Some(open) = self.hits.get(hit) {
            trace!("hit {} given up: {why:?}, {} forwards", open.command.id(), open.forwards.len());
        }
    }

    fn error(&mut self, hit: u32) {
        self.answer(hit, command::errored);
    }

    fn cancel(&mut self, hit: u32, hop: u8) {
        self.give_up(hit, hop, EndReason::CalledOff);
    }

    fn vote(&mut self, build: u16, stage: u8, verdict: Verdict) {
        debug!("vote on build {build}, stage {stage}: {verdict:?}");
        self.platform.vote(build, stage, verdict);
    }

    fn watch(&mut self, on: bool) {
        self.discovery.watch(on);
    }

    fn fetch(&mut self) {
        self.discovery.fetch();
    }

    fn set_timer(&mut self, wait: Span, token: u64) {
        let set = self.due.schedule(self.now + wait, Due::Token(token));
        match Timer::from(token) {
            Timer::Deadline(hit) => self.hits.get_mut(hit).map(|open| open.ends = Some(set)),
            // One that stood for an earlier forward comes due by itself, and finds that ended.
            Timer::Hedge(hit, _) => self.hits.get_mut(hit).map(|open| open.copy = Some(set)),
            Timer::Evaluate | Timer::RequestList => None,
        };
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}

pub struct Core {
    marshal: Marshal,
    doors: Doors,
}

impl Core {
    pub fn new(marshal: Marshal, mut doors: Doors) -> Self {
        doors.due.schedule(doors.now, Due::Sweep);
        Core { marshal, doors }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let inbox = self.doors.inbox.clone();
        loop {
            if inbox.is_empty() {
                let due = self.doors.due.next_wakeup().map(|at| self.doors.clock.instant(at));
                let due = async {
                    match due {
                        Some(at) => reactor::Timer::at(at).await,
                        None => std::future::pending().await,
                    }
                };
                or(inbox.signal.wait(), due).await;
            } else {
                // Let the socket tasks bring what has come meanwhile.
                yield_now().await;
            }
            self.batch(&inbox);
        }
    }

    /// News first, so that drains and caps bind at once; then answers, then what is due, then new hits.
    fn batch(&mut self, inbox: &Inbox) {
        while let Some(news) = self.tick(&inbox.control_events) {
            self.news(news);
        }
        while let Some(outcome) = self.tick(&inbox.hit_events) {
            match outcome {
                HitEvent::ForwardEnded { hit, hop, reason, sent, value } => {
                    self.ended(hit, hop, reason, sent, value)
                }
                HitEvent::ClientLeft(hits) => hits.into_iter().for_each(|hit| self.left(hit)),
            }
        }
        let now = self.doors.clock.now();
        self.doors.now = now;
        while let Some((_, due)) = self.doors.due.pop(now) {
            match due {
                Due::Token(token) => self.marshal.on_timer(&mut self.doors, now, token),
                Due::Forward(hit, hop) => self.doors.give_up(hit, hop, EndReason::WaitedOut),
                Due::Sweep => {
                    let short =
                        self.doors.ledger.reclaim_action(Purpose::Nodes) == ReclaimAction::DropRemovedNodes;
                    self.doors.forget(short);
                    debug!(
                        "{} hits open, {} taken so far, {} node connections",
                        self.doors.hits.len(),
                        self.doors.taken,
                        self.doors.nodes.open()
                    );
                    self.doors.due.schedule(now + SWEEP, Due::Sweep);
                }
            }
        }
        for _ in 0..BATCH {
            let Some(arrival) = self.tick(&inbox.incoming_hits) else { break };
            self.arrived(arrival);
        }
    }

    /// The next of a lane, with the clock read.
    fn tick<T>(&mut self, lane: &std::cell::RefCell<std::collections::VecDeque<T>>) -> Option<T> {
        let next = lane.borrow_mut().pop_front()?;
        self.doors.now = self.doors.clock.now();
        Some(next)
    }

    fn news(&mut self, news: ControlEvent) {
        let now = self.doors.now;
        match news {
            ControlEvent::NodeList(how, entries, _charge) => self.listed(how, entries),
            ControlEvent::ListFailed => self.marshal.on_list_failed(&mut self.doors, now),
            ControlEvent::Stage(stage, vote) => self.staged(stage, vote),
            ControlEvent::WrongAnswerReport { node, group, age } => match self.doors.ids.get(&node) {
                Some((at, _)) => self.marshal.on_wrong_answer_report(now, *at as u64, group, age),
                None => warn!("a complaint about an unknown node is skipped"),
            },
            ControlEvent::AddressesChanged(discovery, platform) => {
                discovery.into_iter().for_each(|addr| self.doors.discovery.at(addr));
                platform.into_iter().for_each(|addr| self.doors.platform.at(addr));
            }
            ControlEvent::PlatformCounts(build, group, n, failed) => {
                self.marshal.on_platform_counts(now, (build, group), (n, failed))
            }
        }
    }

    pub fn listed(&mut self, how: ListUpdate, entries: Vec<NodeEntry>) {
        debug!("list: {how:?}, {} entries", entries.len());
        let now = self.doors.now;
        let (mut named, mut left_out) = (HashSet::new(), 0);
        self.doors.swept = false;
        self.marshal.on_list_begin(now, how);
        for (id, addr, attributes, readiness, build, started) in entries {
            let Some(at) = self.doors.number(id) else {
                // One that is not known gets no forwards: nothing is missed with it.
                left_out += 1;
                continue;
            };
            named.insert(at);
            self.doors.nodes.listed(at, addr, readiness, started);
            self.marshal.on_list_entry(at as u64, attributes, readiness, build, started);
        }
        if left_out > 0 {
            warn!("{left_out} nodes of the list are left out: there is no room for their records");
        }
        if how != ListUpdate::Delta {
            self.doors.nodes.keep_only(&named);
        }
        self.marshal.on_list_end(&mut self.doors);
    }

    pub fn staged(&mut self, (build, stage, standing, cap, age): StageReport, vote: Option<ForwardOutcome>) {
        debug!("platform: build {build}, stage {stage}, {standing:?}, cap {cap}, vote {vote:?}");
        let now = self.doors.now;
        self.marshal.on_stage(&mut self.doors, now, (build, stage), standing, cap, age, vote);
    }

    fn arrived(&mut self, IncomingHit { client, sequence, command, received_at }: IncomingHit) {
        if client.gone.get() {
            return;
        }
        #[cfg(feature = "mutants")]
        crate::mutants::hit();
        let now = self.doors.now;
        self.doors.taken += 1;
        let (group, tenant, key) = (command.ask.group, command.ask.tenant, command.ask.key);
        // The client's wait runs since it sent the hit, not since the hit left this program's queues.
        let patience = command.ask.patience - (now - received_at);
        trace!(
            "hit {} taken: group {group}, tenant {tenant}, waits {} ms",
            command.id(),
            patience.as_nanos() / 1_000_000
        );
        let forwards = Vec::new();
        let (bound, answered, ends, copy) = (client.clone(), false, None, None);
        let hit = self.doors.hits.insert(Open { client, sequence, command, answered, forwards, ends, copy });
        bound.bind(sequence, hit);
        self.marshal.on_hit(&mut self.doors, now, hit, (group, tenant), key, patience, None);
    }

    fn ended(&mut self, hit: u32, hop: u8, reason: EndReason, sent: bool, value: Option<Block>) {
        let now = self.doors.now;
        let Some(open) = self.doors.hits.get_mut(hit) else { return };
        let Some(forward) = open.forwards.get_mut(usize::from(hop)).filter(|f| !f.told) else { return };
        (forward.link, forward.told) = (None, true);
        if let Some(limit) = forward.limit.take() {
            self.doors.due.cancel(limit);
        }
        let (fate, latency) = (reason.outcome(sent), now - forward.sent);
        trace!(
            "hit {} forward {hop}: {reason:?} after {} ms",
            open.command.id(),
            latency.as_nanos() / 1_000_000
        );
        if let (Some(value), false) = (value, open.answered) {
            open.answered = true;
            open.client.answer(open.sequence, Answer::Value(value));
        }
        let last = open.answered;
        self.marshal.on_forward_completed(&mut self.doors, now, (hit, hop), fate, last, latency);
        self.doors.release(hit);
    }

    fn left(&mut self, hit: u32) {
        let now = self.doors.now;
        if let Some(open) = self.doors.hits.get_mut(hit) {
            open.answered = true;
            trace!("hit {}: its client left", open.command.id());
            self.marshal.on_client_left(&mut self.doors, now, hit);
            self.doors.release(hit);
        }
    }
}
