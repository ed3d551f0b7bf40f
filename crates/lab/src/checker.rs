//! The five rules, checked from outside by books of their own: what clients sent and were told, what nodes were sent
//! and ran, what the marshal was told of nodes and builds. No I/O, no clock but the times handed in.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use stonescale::terms::Effect;
use stonescale::time::{Span, Time};

/// Bounds of the rules, as the settings and the protocol page state them; each limit on sockets is 50 ms longer.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time after which a drain binds.
    pub drain_grace: Span,
    /// Time after which a lower cap binds.
    pub cap_grace: Span,
    pub socket_slack: Span,
    /// Over each window of this length, exposure is counted. Hits that were taken before a cap rose count with the
    /// higher one.
    pub window: Span,
    /// Forwards over the cap that pass, and the part of the cap that passes besides.
    pub allowance: f64,
    pub cap_factor: f64,
    pub cold_start: ColdStart,
}

/// When a cold node falls over, as the settings state it.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Part of its capacity that it starts with, and the time in which it rises evenly to the whole.
    pub initial_share: f64,
    pub ramp: Span,
    /// Sent so many times what it can do at the moment, for so long, it falls over.
    pub overload_factor: f64,
    pub overload_duration: Span,
}

impl ColdStart {
    /// Part of its capacity that a node has, so long after its start.
    fn capacity_share(&self, age: Span) -> f64 {
        (self.initial_share + (1.0 - self.initial_share) * age.over(self.ramp)).min(1.0)
    }
}

/// Forwards to a node are counted in steps of this length, to be held against what it can do.
const COUNT_INTERVAL: Span = Span::millis(100);

/// What a node that started cold was sent.
#[derive(Clone, Copy)]
struct WarmingNode {
    started: Time,
    /// Commands a second that it can do when it is warm.
    capacity: f64,
    /// The present step since its start, and forwards in it.
    interval: u64,
    forwards: u32,
    /// Since when each step was too much, and whether it was cold then.
    overloaded_since: Option<(u64, bool)>,
}

impl WarmingNode {
    /// Takes in a forward; true where it completes a push over a cold node.
    fn record_forward(&mut self, cold: &ColdStart, now: Time) -> bool {
        let interval = ((now - self.started).as_nanos()) / COUNT_INTERVAL.as_nanos();
        let mut overloaded = false;
        if interval != self.interval {
            let at = |interval: u64| COUNT_INTERVAL * interval as f64;
            let share = cold.capacity_share(at(self.interval));
            let above_limit = f64::from(self.forwards)
                > cold.overload_factor * share * self.capacity * COUNT_INTERVAL.seconds();
            let since = self.overloaded_since.unwrap_or((self.interval, share < 1.0));
            self.overloaded_since = above_limit.then_some(since);
            let sustained = |(from, was_cold): (u64, bool)| {
                was_cold && at(self.interval + 1 - from) >= cold.overload_duration
            };
            if self.overloaded_since.is_some_and(sustained) {
                (overloaded, self.overloaded_since) = (true, None);
            }
            if interval > self.interval + 1 {
                // Steps without any forward lie between.
                self.overloaded_since = None;
            }
            (self.interval, self.forwards) = (interval, 0);
        }
        self.forwards += 1;
        overloaded
    }
}

impl Default for Bounds {
    fn default() -> Self {
        let (drain_grace, cap_grace) = (Span::millis(1_000), Span::millis(1_000));
        Bounds {
            drain_grace,
            cap_grace,
            socket_slack: Span::millis(50),
            window: Span::millis(1_000),
            allowance: 1.0 + 2.0,
            cap_factor: 1.04,
            cold_start: ColdStart {
                initial_share: 0.3,
                ramp: Span::millis(1_000),
                overload_factor: 2.0,
                overload_duration: Span::millis(3_000),
            },
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub at: Time,
    pub message: String,
}

/// How a hit ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    Delivered,
    Bounced,
    Errored,
    /// A value that was made for another hit.
    WrongValue,
}

/// What a client asked for.
#[derive(Clone, Debug)]
pub struct Request {
    pub group: usize,
    pub effect: Effect,
    pub idempotency_key: Option<String>,
    /// For how long the client waits.
    pub client_timeout: Span,
}

struct Hit {
    request: Request,
    sent_at: Time,
    ended: Option<(Outcome, Time)>,
    /// The client closed its connection, or stopped waiting.
    abandoned: bool,
    /// Forwards that came whole to a node, and those of them that were turned away unseen.
    forwards: u32,
    rejected: u32,
    executions: u32,
}

impl Hit {
    fn may_have_run(&self) -> bool {
        self.forwards > self.rejected
    }
}

#[derive(Clone, Copy)]
struct ListedNode {
    build: u16,
    /// Since when it was told to drain, or that it is gone.
    leaving_since: Option<Time>,
}

/// A build's cap as told: the one in force, and a higher one that may still be acted on.
#[derive(Clone, Copy)]
struct BuildCap {
    current: f64,
    since: Time,
    previous: f64,
}

/// Hits that ended are kept for so long, for what may still come of them.
const HIT_RETENTION: Span = Span::millis(15_000);
/// Broken rules kept with their texts; all are counted.
const MAX_VIOLATION_TEXTS: usize = 100;

/// The books of one marshal.
pub struct Checker {
    bounds: Bounds,
    hits: HashMap<String, Hit>,
    /// Ids in the order they were sent, to be forgotten.
    sent_order: VecDeque<(Time, String)>,
    nodes: HashMap<String, ListedNode>,
    warming_nodes: HashMap<String, WarmingNode>,
    caps: BTreeMap<u16, BuildCap>,
    newest_build: Option<(u16, bool)>,
    initial_cap: f64,
    /// When hits were taken lately, and when forwards went to each build on trial.
    recent_hits: VecDeque<Time>,
    recent_forwards: BTreeMap<u16, VecDeque<Time>>,
    executed_keys: HashMap<String, Time>,
    pub violations: Vec<Violation>,
    pub violation_count: u64,
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
    pub executions: u64,
    /// No answer came by the time the client stopped waiting.
    pub unanswered: u64,
}

impl Checker {
    pub fn new(bounds: Bounds, initial_cap: f64) -> Self {
        Checker {
            bounds,
            hits: HashMap::new(),
            sent_order: VecDeque::new(),
            nodes: HashMap::new(),
            warming_nodes: HashMap::new(),
            caps: BTreeMap::new(),
            newest_build: None,
            initial_cap,
            recent_hits: VecDeque::new(),
            recent_forwards: BTreeMap::new(),
            executed_keys: HashMap::new(),
            violations: Vec::new(),
            violation_count: 0,
            totals: Totals::default(),
        }
    }

    fn record_violation(&mut self, rule: u8, at: Time, message: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATION_TEXTS {
            self.violations.push(Violation { rule, at, message });
        }
    }

    /// A client has written the last byte of a hit.
    pub fn hit_sent(&mut self, id: &str, request: Request, now: Time) {
        self.totals.sent += 1;
        let hit = Hit {
            request,
            sent_at: now,
            ended: None,
            abandoned: false,
            forwards: 0,
            rejected: 0,
            executions: 0,
        };
        self.hits.insert(id.to_owned(), hit);
        self.sent_order.push_back((now, id.to_owned()));
        self.hit_received(now);
        self.prune_hits(now);
    }

    /// A hit has come whole, also one of a client that is not in the books: caps are shares of all.
    pub fn hit_received(&mut self, now: Time) {
        self.recent_hits.push_back(now);
        while self.recent_hits.front().is_some_and(|at| now - *at > self.bounds.window) {
            self.recent_hits.pop_front();
        }
    }

    fn prune_hits(&mut self, now: Time) {
        while let Some((at, id)) = self.sent_order.front() {
            let done = self.hits.get(id).is_none_or(|h| h.ended.is_some() || h.abandoned);
            if now - *at < HIT_RETENTION && (!done || self.sent_order.len() < 100_000) {
                break;
            }
            if let Some((_, id)) = self.sent_order.pop_front() {
                self.hits.remove(&id);
            }
        }
    }

    /// An answer has come whole.
    pub fn hit_answered(&mut self, id: &str, outcome: Outcome, now: Time) {
        let Some(hit) = self.hits.get_mut(id) else { return };
        let before = hit.ended.replace((outcome, now));
        let deadline = hit.request.client_timeout + self.bounds.socket_slack;
        let (late, ran) = (now - hit.sent_at > deadline, hit.may_have_run());
        let (effect, took) = (hit.request.effect, now - hit.sent_at);
        match outcome {
            Outcome::Delivered => self.totals.delivered += 1,
            Outcome::Bounced => self.totals.bounced += 1,
            Outcome::Errored => self.totals.errored += 1,
            Outcome::WrongValue => {
                let sent = took.seconds();
                self.record_violation(
                    1,
                    now,
                    format!("hit {id}, sent {sent:.3} s ago, was answered with the value of another hit"),
                );
            }
        }
        if before.is_some() {
            self.record_violation(1, now, format!("hit {id} was answered twice"));
        }
        if late {
            self.record_violation(
                1,
                now,
                format!("hit {id} was answered {:.3} s after it was sent", took.seconds()),
            );
        }
        if outcome == Outcome::Bounced && ran && effect == Effect::Mutating {
            self.record_violation(
                2,
                now,
                format!("mutating hit {id} was bounced although a forward of it may have been executed"),
            );
        }
    }

    /// The client stopped waiting, or its connection ended without an answer. `owed` where the marshal was to answer.
    pub fn client_left(&mut self, id: &str, answer_due: bool, now: Time) {
        let Some(hit) = self.hits.get_mut(id).filter(|h| h.ended.is_none() && !h.abandoned) else { return };
        hit.abandoned = true;
        // A client that waited for a connection first may give up before the marshal's time is over.
        if answer_due && now - hit.sent_at > hit.request.client_timeout + self.bounds.socket_slack {
            self.totals.unanswered += 1;
            self.record_violation(1, now, format!("hit {id} was never answered"));
        }
    }

    /// A command has come whole to a node.
    pub fn forward_received(&mut self, node: &str, id: &str, now: Time) {
        self.totals.forwards += 1;
        let slack = self.bounds.socket_slack;
        if let Some(hit) = self.hits.get_mut(id) {
            let may_have_run = hit.may_have_run();
            hit.forwards += 1;
            let (effect, sent, client_timeout) =
                (hit.request.effect, hit.sent_at, hit.request.client_timeout);
            let after_answer = hit.ended.is_some_and(|(_, at)| now - at > slack);
            if after_answer {
                self.record_violation(1, now, format!("hit {id} was sent to {node} after it was answered"));
            }
            if now - sent > client_timeout + slack {
                self.record_violation(
                    1,
                    now,
                    format!("hit {id} was sent to {node} after its client timeout"),
                );
            }
            if may_have_run && effect == Effect::Mutating {
                self.record_violation(2, now, format!("mutating hit {id} was sent to {node} although an earlier forward may have been executed"));
            }
        }
        let cold = self.bounds.cold_start;
        if self.warming_nodes.get_mut(node).is_some_and(|warming| warming.record_forward(&cold, now)) {
            let lasts = cold.overload_duration.seconds();
            self.record_violation(
                4,
                now,
                format!("{node} was overloaded for {lasts:.1} s, beginning while it was cold"),
            );
        }
        let Some(listed) = self.nodes.get(node).copied() else { return };
        let grace = self.bounds.drain_grace + self.bounds.socket_slack;
        if let Some(leaving_since) = listed.leaving_since.filter(|leaving_since| now - *leaving_since > grace)
        {
            let late = (now - leaving_since).seconds();
            self.record_violation(
                3,
                now,
                format!(
                    "{node} was sent hit {id} {late:.3} s after the node was reported draining or removed"
                ),
            );
        }
        let Some(cap) = self.trial_cap(listed.build, now) else { return };
        let Bounds { window, allowance, cap_factor, .. } = self.bounds;
        let forwards = self.recent_forwards.entry(listed.build).or_default();
        forwards.push_back(now);
        while forwards.front().is_some_and(|at| now - *at > window) {
            forwards.pop_front();
        }
        let forward_count = forwards.len();
        let recent_hits = self.recent_hits.iter().filter(|at| now - **at <= window).count();
        if forward_count as f64 > allowance + cap * cap_factor * recent_hits as f64 {
            let build = listed.build;
            self.record_violation(
                5,
                now,
                format!(
                    "build {build} received {forward_count} forwards of {recent_hits} hits at a cap of {cap}"
                ),
            );
        }
    }

    /// A node turned a command away unseen.
    pub fn forward_rejected(&mut self, id: &str) {
        if let Some(hit) = self.hits.get_mut(id) {
            hit.rejected += 1;
        }
    }

    /// Is this mark known as one that ran within `memory`? If not, it is from now on.
    pub fn is_repeat(&mut self, idempotency_key: &str, memory: Span, now: Time) -> bool {
        if self.executed_keys.len() > 10_000 {
            self.executed_keys.retain(|_, at| now - *at < memory);
        }
        match self.executed_keys.get(idempotency_key) {
            Some(at) if now - *at < memory => true,
            _ => {
                self.executed_keys.insert(idempotency_key.to_owned(), now);
                false
            }
        }
    }

    /// A command's work was done, and it was not dropped as a repeat.
    pub fn command_executed(&mut self, node: &str, id: &str, now: Time) {
        self.totals.executions += 1;
        let Some(hit) = self.hits.get_mut(id) else { return };
        hit.executions += 1;
        if hit.executions > 1 && hit.request.effect != Effect::Repeatable {
            self.record_violation(2, now, format!("hit {id} was executed again, on {node}"));
        }
    }

    /// The marshal was told of a node.
    pub fn node_reported(&mut self, node: &str, build: u16, leaving: bool, now: Time) {
        let before = self.nodes.get(node).and_then(|l| l.leaving_since);
        let leaving_since = leaving.then(|| before.unwrap_or(now));
        self.nodes.insert(node.to_owned(), ListedNode { build, leaving_since });
    }

    /// A node starts now, cold; warm, it can do so many commands a second.
    pub fn node_started(&mut self, node: &str, capacity: f64, now: Time) {
        // Those that are warm for long are not looked at any more.
        let ColdStart { ramp, overload_duration, .. } = self.bounds.cold_start;
        self.warming_nodes.retain(|_, warming| now - warming.started <= ramp + overload_duration * 2.0);
        let warming =
            WarmingNode { started: now, capacity, interval: 0, forwards: 0, overloaded_since: None };
        self.warming_nodes.insert(node.to_owned(), warming);
    }

    /// The marshal was told where the newest build stands.
    pub fn build_reported(&mut self, build: u16, on_trial: bool, cap: f64, now: Time) {
        self.newest_build = Some((build, on_trial));
        let first = BuildCap { current: cap, since: now, previous: cap };
        let at = self.caps.entry(build).or_insert(first);
        if at.current != cap {
            // A higher cap that was told just before may still be acted on.
            let recent = now - at.since <= self.bounds.cap_grace;
            *at = BuildCap {
                current: cap,
                since: now,
                previous: if recent { at.previous.max(at.current) } else { at.current },
            };
        }
        self.recent_forwards.retain(|of, _| *of >= build);
    }

    /// The cap of a build on trial; none for builds that are not.
    fn trial_cap(&self, build: u16, now: Time) -> Option<f64> {
        let (newest, on_trial) = self.newest_build?;
        if build > newest {
            return Some(self.initial_cap);
        }
        let cap = self.caps.get(&build).filter(|_| build == newest && on_trial)?;
        let grace = self.bounds.cap_grace + self.bounds.socket_slack * 3.0;
        Some(if now - cap.since <= grace { cap.current.max(cap.previous) } else { cap.current })
    }
}

/// The checker, as the stand-ins and the load share it.
#[derive(Clone)]
pub struct SharedChecker(Arc<Mutex<Checker>>);

impl SharedChecker {
    pub fn new(checker: Checker) -> Self {
        SharedChecker(Arc::new(Mutex::new(checker)))
    }

    pub fn lock(&self) -> MutexGuard<'_, Checker> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The broken rules so far, as one text; empty where none broke.
    pub fn violation_report(&self) -> String {
        let checker = self.lock();
        let lines = checker.violations.iter().take(10).map(|v| format!("rule {}: {}\n", v.rule, v.message));
        lines.collect()
    }
}

impl Default for SharedChecker {
    fn default() -> Self {
        SharedChecker::new(Checker::new(Bounds::default(), 0.1))
    }
}
