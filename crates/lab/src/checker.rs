//! The five rules, checked from outside by books of their own: what clients sent and were told, what nodes were sent
//! and ran, what the marshal was told of nodes and builds. No I/O, no clock but the times handed in.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use stonescale::settings::Effect;
use stonescale::time::{Span, Time};

/// Bounds of the rules, as the settings and the protocol page state them; each limit on sockets is 50 ms longer.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time after which a drain binds.
    pub drain_grace: Span,
    /// Time after which a lower cap binds.
    pub cap_grace: Span,
    pub sockets: Span,
    /// Over each window of this length, exposure is counted. Hits that were taken before a cap rose count with the
    /// higher one.
    pub window: Span,
    /// Forwards over the cap that pass, and the part of the cap that passes besides.
    pub allowance: f64,
    pub over_cap: f64,
    pub cold: Cold,
}

/// When a cold node falls over, as the settings state it.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Part of its capacity that it starts with, and the time in which it rises evenly to the whole.
    pub from: f64,
    pub span: Span,
    /// Sent so many times what it can do at the moment, for so long, it falls over.
    pub multiple: f64,
    pub lasts: Span,
}

impl Cold {
    /// Part of its capacity that a node has, so long after its start.
    fn ramp(&self, age: Span) -> f64 {
        (self.from + (1.0 - self.from) * age.ratio_to(self.span)).min(1.0)
    }
}

/// Forwards to a node are counted in steps of this length, to be held against what it can do.
const STEP: Span = Span::millis(100);

/// What a node that started cold was sent.
#[derive(Clone, Copy)]
struct Warming {
    started: Time,
    /// Commands a second that it can do when it is warm.
    capacity: f64,
    /// The present step since its start, and forwards in it.
    step: u64,
    count: u32,
    /// Since when each step was too much, and whether it was cold then.
    over: Option<(u64, bool)>,
}

impl Warming {
    /// Takes in a forward; true where it completes a push over a cold node.
    fn takes(&mut self, cold: &Cold, now: Time) -> bool {
        let step = ((now - self.started).as_nanos()) / STEP.as_nanos();
        let mut pushed = false;
        if step != self.step {
            let at = |step: u64| STEP * step as f64;
            let ramp = cold.ramp(at(self.step));
            let much = f64::from(self.count) > cold.multiple * ramp * self.capacity * STEP.seconds();
            let since = self.over.unwrap_or((self.step, ramp < 1.0));
            self.over = much.then_some(since);
            let long = |(from, was_cold): (u64, bool)| was_cold && at(self.step + 1 - from) >= cold.lasts;
            if self.over.is_some_and(long) {
                (pushed, self.over) = (true, None);
            }
            if step > self.step + 1 {
                // Steps without any forward lie between.
                self.over = None;
            }
            (self.step, self.count) = (step, 0);
        }
        self.count += 1;
        pushed
    }
}

impl Default for Bounds {
    fn default() -> Self {
        let (drain_grace, cap_grace) = (Span::millis(1_000), Span::millis(1_000));
        Bounds {
            drain_grace,
            cap_grace,
            sockets: Span::millis(50),
            window: Span::millis(1_000),
            allowance: 1.0 + 2.0,
            over_cap: 1.04,
            cold: Cold { from: 0.3, span: Span::millis(1_000), multiple: 2.0, lasts: Span::millis(3_000) },
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub at: Time,
    pub what: String,
}

/// How a hit ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    Delivered,
    Bounced,
    Errored,
    /// A value that was made for another hit.
    Wrong,
}

/// What a client asked for.
#[derive(Clone, Debug)]
pub struct Asked {
    pub group: usize,
    pub effect: Effect,
    pub mark: Option<String>,
    /// For how long the client waits.
    pub patience: Span,
}

struct Hit {
    asked: Asked,
    sent: Time,
    ended: Option<(Outcome, Time)>,
    /// The client closed its connection, or stopped waiting.
    left: bool,
    /// Forwards that came whole to a node, and those of them that were turned away unseen.
    forwards: u32,
    refused: u32,
    runs: u32,
}

impl Hit {
    fn may_have_run(&self) -> bool {
        self.forwards > self.refused
    }
}

#[derive(Clone, Copy)]
struct Listed {
    build: u16,
    /// Since when it was told to drain, or that it is gone.
    leaving: Option<Time>,
}

/// A build's cap as told: the one in force, and a higher one that may still be acted on.
#[derive(Clone, Copy)]
struct Cap {
    now: f64,
    since: Time,
    before: f64,
}

/// Hits that ended are kept for so long, for what may still come of them.
const KEPT: Span = Span::millis(15_000);
/// Broken rules kept with their texts; all are counted.
const MOST_TEXTS: usize = 100;

/// The books of one marshal.
pub struct Checker {
    bounds: Bounds,
    hits: HashMap<String, Hit>,
    /// Ids in the order they were sent, to be forgotten.
    order: VecDeque<(Time, String)>,
    nodes: HashMap<String, Listed>,
    warming: HashMap<String, Warming>,
    caps: BTreeMap<u16, Cap>,
    newest: Option<(u16, bool)>,
    first_cap: f64,
    /// When hits were taken lately, and when forwards went to each build on trial.
    taken: VecDeque<Time>,
    exposed: BTreeMap<u16, VecDeque<Time>>,
    marks: HashMap<String, Time>,
    pub violations: Vec<Violation>,
    pub broken: u64,
    pub totals: Totals,
}

/// Sums over all hits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub sent: u64,
    pub delivered: u64,
    pub bounced: u64,
    pub errored: u64,
    pub forwards: u64,
    pub runs: u64,
    /// No answer came by the time the client stopped waiting.
    pub unanswered: u64,
}

impl Checker {
    pub fn new(bounds: Bounds, first_cap: f64) -> Self {
        Checker {
            bounds,
            hits: HashMap::new(),
            order: VecDeque::new(),
            nodes: HashMap::new(),
            warming: HashMap::new(),
            caps: BTreeMap::new(),
            newest: None,
            first_cap,
            taken: VecDeque::new(),
            exposed: BTreeMap::new(),
            marks: HashMap::new(),
            violations: Vec::new(),
            broken: 0,
            totals: Totals::default(),
        }
    }

    fn breaks(&mut self, rule: u8, at: Time, what: String) {
        self.broken += 1;
        if self.violations.len() < MOST_TEXTS {
            self.violations.push(Violation { rule, at, what });
        }
    }

    /// A client has written the last byte of a hit.
    pub fn sent(&mut self, id: &str, asked: Asked, now: Time) {
        self.totals.sent += 1;
        let hit = Hit { asked, sent: now, ended: None, left: false, forwards: 0, refused: 0, runs: 0 };
        self.hits.insert(id.to_owned(), hit);
        self.order.push_back((now, id.to_owned()));
        self.taken(now);
        self.forget(now);
    }

    /// A hit has come whole, also one of a client that is not in the books: caps are shares of all.
    pub fn taken(&mut self, now: Time) {
        self.taken.push_back(now);
        while self.taken.front().is_some_and(|at| now - *at > self.bounds.window) {
            self.taken.pop_front();
        }
    }

    fn forget(&mut self, now: Time) {
        while let Some((at, id)) = self.order.front() {
            let done = self.hits.get(id).is_none_or(|h| h.ended.is_some() || h.left);
            if now - *at < KEPT && (!done || self.order.len() < 100_000) {
                break;
            }
            if let Some((_, id)) = self.order.pop_front() {
                self.hits.remove(&id);
            }
        }
    }

    /// An answer has come whole.
    pub fn answered(&mut self, id: &str, outcome: Outcome, now: Time) {
        let Some(hit) = self.hits.get_mut(id) else { return };
        let before = hit.ended.replace((outcome, now));
        let due = hit.asked.patience + self.bounds.sockets;
        let (late, ran) = (now - hit.sent > due, hit.may_have_run());
        let (effect, took) = (hit.asked.effect, now - hit.sent);
        match outcome {
            Outcome::Delivered => self.totals.delivered += 1,
            Outcome::Bounced => self.totals.bounced += 1,
            Outcome::Errored => self.totals.errored += 1,
            Outcome::Wrong => {
                let sent = took.seconds();
                self.breaks(1, now, format!("hit {id}, sent {sent:.3} s ago, got a value made for another"));
            }
        }
        if before.is_some() {
            self.breaks(1, now, format!("hit {id} was answered twice"));
        }
        if late {
            self.breaks(1, now, format!("hit {id} was answered {:.3} s after it was sent", took.seconds()));
        }
        if outcome == Outcome::Bounced && ran && effect == Effect::Mutating {
            self.breaks(2, now, format!("hit {id} was bounced, and a forward of it may have run"));
        }
    }

    /// The client stopped waiting, or its connection ended without an answer. `owed` where the marshal was to answer.
    pub fn left(&mut self, id: &str, owed: bool, now: Time) {
        let Some(hit) = self.hits.get_mut(id).filter(|h| h.ended.is_none() && !h.left) else { return };
        hit.left = true;
        // A client that waited for a connection first may give up before the marshal's time is over.
        if owed && now - hit.sent > hit.asked.patience + self.bounds.sockets {
            self.totals.unanswered += 1;
            self.breaks(1, now, format!("hit {id} was never answered"));
        }
    }

    /// A command has come whole to a node.
    pub fn forwarded(&mut self, node: &str, id: &str, now: Time) {
        self.totals.forwards += 1;
        let slack = self.bounds.sockets;
        if let Some(hit) = self.hits.get_mut(id) {
            let again = hit.may_have_run();
            hit.forwards += 1;
            let (effect, sent, patience) = (hit.asked.effect, hit.sent, hit.asked.patience);
            let after = hit.ended.is_some_and(|(_, at)| now - at > slack);
            if after {
                self.breaks(1, now, format!("hit {id} was sent to {node} after its answer"));
            }
            if now - sent > patience + slack {
                self.breaks(1, now, format!("hit {id} was sent to {node} after its client timeout"));
            }
            if again && effect == Effect::Mutating {
                self.breaks(2, now, format!("mutating hit {id} was sent to {node}, and may have run before"));
            }
        }
        let cold = self.bounds.cold;
        if self.warming.get_mut(node).is_some_and(|warming| warming.takes(&cold, now)) {
            let lasts = cold.lasts.seconds();
            self.breaks(4, now, format!("{node} was sent too much for {lasts:.1} s since it was cold"));
        }
        let Some(listed) = self.nodes.get(node).copied() else { return };
        let grace = self.bounds.drain_grace + self.bounds.sockets;
        if let Some(told) = listed.leaving.filter(|told| now - *told > grace) {
            let late = (now - told).seconds();
            self.breaks(3, now, format!("{node} was sent hit {id} {late:.3} s after it was told to drain"));
        }
        let Some(cap) = self.cap(listed.build, now) else { return };
        let Bounds { window, allowance, over_cap, .. } = self.bounds;
        let exposed = self.exposed.entry(listed.build).or_default();
        exposed.push_back(now);
        while exposed.front().is_some_and(|at| now - *at > window) {
            exposed.pop_front();
        }
        let got = exposed.len();
        let taken = self.taken.iter().filter(|at| now - **at <= window).count();
        if got as f64 > allowance + cap * over_cap * taken as f64 {
            let build = listed.build;
            self.breaks(
                5,
                now,
                format!("build {build} got {got} forwards of {taken} hits at a cap of {cap}"),
            );
        }
    }

    /// A node turned a command away unseen.
    pub fn refused(&mut self, id: &str) {
        if let Some(hit) = self.hits.get_mut(id) {
            hit.refused += 1;
        }
    }

    /// Is this mark known as one that ran within `memory`? If not, it is from now on.
    pub fn repeats(&mut self, mark: &str, memory: Span, now: Time) -> bool {
        if self.marks.len() > 10_000 {
            self.marks.retain(|_, at| now - *at < memory);
        }
        match self.marks.get(mark) {
            Some(at) if now - *at < memory => true,
            _ => {
                self.marks.insert(mark.to_owned(), now);
                false
            }
        }
    }

    /// A command's work was done, and it was not dropped as a repeat.
    pub fn ran(&mut self, node: &str, id: &str, now: Time) {
        self.totals.runs += 1;
        let Some(hit) = self.hits.get_mut(id) else { return };
        hit.runs += 1;
        if hit.runs > 1 && hit.asked.effect != Effect::Repeatable {
            self.breaks(2, now, format!("hit {id} ran again, on {node}"));
        }
    }

    /// The marshal was told of a node.
    pub fn listed(&mut self, node: &str, build: u16, leaving: bool, now: Time) {
        let before = self.nodes.get(node).and_then(|l| l.leaving);
        let leaving = leaving.then(|| before.unwrap_or(now));
        self.nodes.insert(node.to_owned(), Listed { build, leaving });
    }

    /// A node starts now, cold; warm, it can do so many commands a second.
    pub fn starts(&mut self, node: &str, capacity: f64, now: Time) {
        // Those that are warm for long are not looked at any more.
        let Cold { span, lasts, .. } = self.bounds.cold;
        self.warming.retain(|_, warming| now - warming.started <= span + lasts * 2.0);
        let warming = Warming { started: now, capacity, step: 0, count: 0, over: None };
        self.warming.insert(node.to_owned(), warming);
    }

    /// The marshal was told where the newest build stands.
    pub fn staged(&mut self, build: u16, on_trial: bool, cap: f64, now: Time) {
        self.newest = Some((build, on_trial));
        let fresh = Cap { now: cap, since: now, before: cap };
        let at = self.caps.entry(build).or_insert(fresh);
        if at.now != cap {
            // A higher cap that was told just before may still be acted on.
            let recent = now - at.since <= self.bounds.cap_grace;
            *at = Cap { now: cap, since: now, before: if recent { at.before.max(at.now) } else { at.now } };
        }
        self.exposed.retain(|of, _| *of >= build);
    }

    /// The cap of a build on trial; none for builds that are not.
    fn cap(&self, build: u16, now: Time) -> Option<f64> {
        let (newest, on_trial) = self.newest?;
        if build > newest {
            return Some(self.first_cap);
        }
        let cap = self.caps.get(&build).filter(|_| build == newest && on_trial)?;
        let grace = self.bounds.cap_grace + self.bounds.sockets * 3.0;
        Some(if now - cap.since <= grace { cap.now.max(cap.before) } else { cap.now })
    }
}

/// The checker, as the stand-ins and the load share it.
#[derive(Clone)]
pub struct Books(Arc<Mutex<Checker>>);

impl Books {
    pub fn new(checker: Checker) -> Self {
        Books(Arc::new(Mutex::new(checker)))
    }

    pub fn lock(&self) -> MutexGuard<'_, Checker> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The broken rules so far, as one text; empty where none broke.
    pub fn verdict(&self) -> String {
        let checker = self.lock();
        let lines = checker.violations.iter().take(10).map(|v| format!("rule {}: {}\n", v.rule, v.what));
        lines.collect()
    }
}

impl Default for Books {
    fn default() -> Self {
        Books::new(Checker::new(Bounds::default(), 0.1))
    }
}
