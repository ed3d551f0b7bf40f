//! Checks from outside the marshal that the service keeps its five rules. The checker records what clients sent and
//! received, what nodes received and executed, and what discovery and platform reported to the marshal. It does no I/O
//! and reads no clock; times are arguments.
//!
//! 1. Each hit gets exactly one final answer before the client's timeout, and nothing is sent for it afterwards.
//! 2. No hit has its effect twice.
//! 3. A node receives no new forward later than a grace period after it was reported draining or removed.
//! 4. No marshal overloads a cold node.
//! 5. Forwards to a build on trial stay within an allowance plus the build's cap (a share of the hits) times the number
//!    of hits received, counted over a sliding window.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use stonescale::settings::Effect;
use stonescale::time::{Span, Time};

/// Limits and tolerances of the rules, as in the site's settings and the protocol page.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time after a node is reported draining or removed during which it may still receive forwards.
    pub drain_grace: Span,
    /// Time after a lower cap is reported during which the marshal may still use the higher one.
    pub cap_grace: Span,
    /// Time after a client closed its connection during which forwards of its hits may still arrive.
    pub departure_grace: Span,
    /// Added to each time limit, for the delay between the marshal and the sockets at which the checker observes.
    pub socket_slack: Span,
    /// Time for which the marshal may be held up, which the operators add to the deadlines of answers, not to graces. Zero
    /// where nothing holds it up.
    pub standstill: Span,
    /// Length of the sliding window over which forwards to a build on trial are counted. Hits received before a cap
    /// rose count with the higher cap.
    pub cap_window: Span,
    /// Forwards allowed beyond the cap in each window.
    pub forward_allowance: f64,
    /// Factor by which the cap itself may be exceeded, 1 or more.
    pub cap_factor: f64,
    /// Parameters of rule 4.
    pub cold_start: ColdStart,
}

/// Warm-up of a node that starts cold, and when it counts as overloaded, as in the settings.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Share of its full capacity with which a node starts, 0 to 1.
    pub initial_share: f64,
    /// Time after the start of a node over which the share rises linearly to 1.
    pub ramp_duration: Span,
    /// A node is overloaded if it receives more than this multiple of its current capacity for `overload_duration`.
    pub overload_factor: f64,
    /// Time for which the excess must last, in consecutive counting intervals, to be a violation.
    pub overload_duration: Span,
}

impl ColdStart {
    /// Share of its full capacity that a node has at this age.
    fn capacity_share(&self, age: Span) -> f64 {
        (self.initial_share + (1.0 - self.initial_share) * age.ratio_to(self.ramp_duration)).min(1.0)
    }
}

/// Length of the intervals in which forwards to a cold node are counted and compared with its capacity.
const COUNT_INTERVAL: Span = Span::millis(100);

/// Forwards to a node that started cold.
#[derive(Clone, Copy)]
struct WarmingNode {
    started_at: Time,
    /// Capacity once warm, in commands per second.
    capacity: f64,
    /// Number of the current interval since the node's start, and the forwards in it.
    interval: u64,
    forwards: u32,
    /// Number of the first of the consecutive intervals with too many forwards, and whether the node was still cold in
    /// it.
    overloaded_since: Option<(u64, bool)>,
}

impl WarmingNode {
    /// Counts a forward. True if an overload that began while the node was cold has lasted for `overload_duration`, as
    /// found at the first forward after an interval.
    fn record_forward(&mut self, cold: &ColdStart, now: Time) -> bool {
        let interval = ((now - self.started_at).as_nanos()) / COUNT_INTERVAL.as_nanos();
        let mut overloaded = false;
        if interval != self.interval {
            let span_of = |interval_count: u64| COUNT_INTERVAL * interval_count as f64;
            let share = cold.capacity_share(span_of(self.interval));
            let above_limit = f64::from(self.forwards)
                > cold.overload_factor * share * self.capacity * COUNT_INTERVAL.seconds();
            let since = self.overloaded_since.unwrap_or((self.interval, share < 1.0));
            self.overloaded_since = above_limit.then_some(since);
            let sustained = |(from, was_cold): (u64, bool)| {
                was_cold && span_of(self.interval + 1 - from) >= cold.overload_duration
            };
            if self.overloaded_since.is_some_and(sustained) {
                (overloaded, self.overloaded_since) = (true, None);
            }
            if interval > self.interval + 1 {
                // There were intervals without any forward in between.
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
            departure_grace: Span::millis(100),
            socket_slack: Span::millis(50),
            standstill: Span::ZERO,
            cap_window: Span::millis(1_000),
            forward_allowance: 1.0 + 2.0,
            cap_factor: 1.04,
            cold_start: ColdStart {
                initial_share: 0.3,
                ramp_duration: Span::millis(1_000),
                overload_factor: 2.0,
                overload_duration: Span::millis(3_000),
            },
        }
    }
}

/// A broken rule, by its number.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Number of the rule in the list at the head of this module, 1 to 5.
    pub rule: u8,
    /// When the checker found it.
    pub at: Time,
    /// What was observed, as one line.
    pub message: String,
}

/// Final outcome of a hit, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered with its own value.
    Delivered,
    /// Refused with `-BUSY`; the client may try again.
    Bounced,
    /// Answered with an error, or with anything else that is not a value.
    Errored,
    /// Delivered with the value of another hit.
    WrongValue,
}

/// A hit as its client sent it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Index of the path group.
    pub group: usize,
    /// Whether the hit may run more than once.
    pub effect: Effect,
    /// Key by which nodes drop repeats; only hits of a tagged path group have one.
    pub idempotency_key: Option<String>,
    /// Time that the client waits for an answer.
    pub client_timeout: Span,
}

/// Record of a hit.
struct Hit {
    request: Request,
    sent_at: Time,
    /// Outcome and time of the latest answer.
    answer: Option<(Outcome, Time)>,
    /// When the client closed its connection or stopped waiting.
    abandoned_at: Option<Time>,
    /// Forwards that a node received whole, and those of them that it rejected without executing.
    forwards: u32,
    rejected: u32,
    executions: u32,
}

impl Hit {
    /// Whether a node received a forward of the hit and did not reject it.
    fn may_have_run(&self) -> bool {
        self.forwards > self.rejected
    }
}

/// A node as discovery reported it last.
#[derive(Clone, Copy)]
struct ListedNode {
    build: u16,
    /// When the node was first reported draining or removed.
    leaving_since: Option<Time>,
}

/// Cap of a build, a share of the hits: the current one with the time of its report, and the previous one, which the
/// marshal may still use.
#[derive(Clone, Copy)]
struct BuildCap {
    current: f64,
    reported_at: Time,
    previous: f64,
}

/// Time that hits are kept after they were sent, so that late answers and forwards are still checked.
const HIT_RETENTION: Span = Span::millis(15_000);
/// Violations kept with their messages; further ones are only counted.
const MAX_VIOLATION_TEXTS: usize = 100;

/// Record of one marshal's traffic, and the violations found in it.
pub struct Checker {
    bounds: Bounds,
    hits: HashMap<String, Hit>,
    /// Hit ids in the order in which they were sent, for pruning.
    sent_order: VecDeque<(Time, String)>,
    nodes: HashMap<String, ListedNode>,
    warming_nodes: HashMap<String, WarmingNode>,
    caps: BTreeMap<u16, BuildCap>,
    /// Number of the newest build, and whether it is on trial.
    newest_build: Option<(u16, bool)>,
    /// Cap of a build that has not been reported yet.
    initial_cap: f64,
    /// Times of the hits received, and of the forwards to each build on trial, within the last window.
    recent_hits: VecDeque<Time>,
    recent_forwards: BTreeMap<u16, VecDeque<Time>>,
    /// When the command with each idempotency key was executed.
    executed_keys: HashMap<String, Time>,
    /// The first violations, up to `MAX_VIOLATION_TEXTS`.
    pub violations: Vec<Violation>,
    /// Number of all violations, also of those that `violations` has no room for.
    pub violation_count: u64,
    /// Totals since the start; hits that are no longer kept stay counted.
    pub totals: Totals,
}

/// Numbers of hits, by outcome, and of forwards and executions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Hits recorded as sent; a retry by the client counts as another hit.
    pub sent: u64,
    /// Answers with the hit's own value; an answer with the value of another hit counts under no outcome.
    pub delivered: u64,
    pub bounced: u64,
    pub errored: u64,
    /// Commands that nodes received whole, also those of hits that are not recorded.
    pub forwards: u64,
    /// Commands that nodes executed; repeats that they dropped do not count.
    pub executions: u64,
    /// Hits that had no answer when the client stopped waiting.
    pub unanswered: u64,
}

impl Checker {
    /// An empty record; `initial_cap` applies to builds that have not been reported yet.
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
            answer: None,
            abandoned_at: None,
            forwards: 0,
            rejected: 0,
            executions: 0,
        };
        self.hits.insert(id.to_owned(), hit);
        self.sent_order.push_back((now, id.to_owned()));
        self.hit_received(now);
        self.prune_hits(now);
    }

    /// The marshal received a whole hit, possibly one that is not recorded here: a cap is a share of all hits.
    pub fn hit_received(&mut self, now: Time) {
        self.recent_hits.push_back(now);
        while self.recent_hits.front().is_some_and(|at| now - *at > self.bounds.cap_window) {
            self.recent_hits.pop_front();
        }
    }

    /// Drops hits older than `HIT_RETENTION`; while there are very many, also younger ones that have ended.
    fn prune_hits(&mut self, now: Time) {
        while let Some((at, id)) = self.sent_order.front() {
            let done = self.hits.get(id).is_none_or(|h| h.answer.is_some() || h.abandoned_at.is_some());
            if now - *at < HIT_RETENTION && (!done || self.sent_order.len() < 100_000) {
                break;
            }
            if let Some((_, id)) = self.sent_order.pop_front() {
                self.hits.remove(&id);
            }
        }
    }

    /// A client received a whole answer.
    pub fn hit_answered(&mut self, id: &str, outcome: Outcome, now: Time) {
        let Some(hit) = self.hits.get_mut(id) else { return };
        let previous_answer = hit.answer.replace((outcome, now));
        let deadline = hit.request.client_timeout + self.bounds.socket_slack + self.bounds.standstill;
        let (late, may_have_run) = (now - hit.sent_at > deadline, hit.may_have_run());
        let (effect, latency) = (hit.request.effect, now - hit.sent_at);
        match outcome {
            Outcome::Delivered => self.totals.delivered += 1,
            Outcome::Bounced => self.totals.bounced += 1,
            Outcome::Errored => self.totals.errored += 1,
            Outcome::WrongValue => {
                let age_seconds = latency.seconds();
                self.record_violation(
                    1,
                    now,
                    format!(
                        "hit {id}, sent {age_seconds:.3} s ago, was answered with the value of another hit"
                    ),
                );
            }
        }
        if previous_answer.is_some() {
            self.record_violation(1, now, format!("hit {id} was answered twice"));
        }
        if late {
            self.record_violation(
                1,
                now,
                format!("hit {id} was answered {:.3} s after it was sent", latency.seconds()),
            );
        }
        if outcome == Outcome::Bounced && may_have_run && effect == Effect::Mutating {
            self.record_violation(
                2,
                now,
                format!("mutating hit {id} was bounced although a forward of it may have been executed"),
            );
        }
    }

    /// The client stopped waiting, or its connection ended without an answer. `answer_due` is false if the marshal was
    /// not obliged to answer.
    pub fn client_left(&mut self, id: &str, answer_due: bool, now: Time) {
        let Some(hit) = self.hits.get_mut(id).filter(|h| h.answer.is_none() && h.abandoned_at.is_none())
        else {
            return;
        };
        hit.abandoned_at = Some(now);
        // A client that first waited for a connection may give up before the marshal's deadline of the hit.
        let slack = self.bounds.socket_slack + self.bounds.standstill;
        if answer_due && now - hit.sent_at > hit.request.client_timeout + slack {
            self.totals.unanswered += 1;
            self.record_violation(1, now, format!("hit {id} was never answered"));
        }
    }

    /// A node received a whole command.
    pub fn forward_received(&mut self, node: &str, id: &str, now: Time) {
        self.totals.forwards += 1;
        let slack = self.bounds.socket_slack;
        if let Some(hit) = self.hits.get_mut(id) {
            let may_have_run = hit.may_have_run();
            hit.forwards += 1;
            let (effect, sent_at, client_timeout) =
                (hit.request.effect, hit.sent_at, hit.request.client_timeout);
            let after_answer = hit.answer.is_some_and(|(_, at)| now - at > slack);
            let left_ago = hit.abandoned_at.map_or(Span::ZERO, |at| now - at);
            if left_ago > self.bounds.departure_grace + slack {
                self.record_violation(
                    1,
                    now,
                    format!("hit {id} was sent to {node} {:.3} s after its client left", left_ago.seconds()),
                );
            }
            if after_answer {
                self.record_violation(1, now, format!("hit {id} was sent to {node} after it was answered"));
            }
            if now - sent_at > client_timeout + slack {
                self.record_violation(
                    1,
                    now,
                    format!("hit {id} was sent to {node} after its client timeout"),
                );
            }
            if may_have_run && effect == Effect::Mutating {
                self.record_violation(
                    2,
                    now,
                    format!(
                        "mutating hit {id} was sent to {node} after a forward that may have been executed"
                    ),
                );
            }
        }
        let cold = self.bounds.cold_start;
        if self.warming_nodes.get_mut(node).is_some_and(|warming| warming.record_forward(&cold, now)) {
            let duration = cold.overload_duration.seconds();
            self.record_violation(
                4,
                now,
                format!("{node} was overloaded for {duration:.1} s, beginning while it was cold"),
            );
        }
        let Some(listed) = self.nodes.get(node).copied() else { return };
        let grace = self.bounds.drain_grace + self.bounds.socket_slack;
        if let Some(leaving_since) = listed.leaving_since.filter(|leaving_since| now - *leaving_since > grace)
        {
            let elapsed_seconds = (now - leaving_since).seconds();
            self.record_violation(
                3,
                now,
                format!(
                    "{node} was sent hit {id} {elapsed_seconds:.3} s after the node was reported draining or removed"
                ),
            );
        }
        let Some(cap) = self.trial_cap(listed.build, now) else { return };
        let Bounds { cap_window, forward_allowance, cap_factor, .. } = self.bounds;
        let forwards = self.recent_forwards.entry(listed.build).or_default();
        forwards.push_back(now);
        while forwards.front().is_some_and(|at| now - *at > cap_window) {
            forwards.pop_front();
        }
        let forward_count = forwards.len();
        let recent_hits = self.recent_hits.iter().filter(|at| now - **at <= cap_window).count();
        if forward_count as f64 > forward_allowance + cap * cap_factor * recent_hits as f64 {
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

    /// A node rejected a command without executing it.
    pub fn forward_rejected(&mut self, id: &str) {
        if let Some(hit) = self.hits.get_mut(id) {
            hit.rejected += 1;
        }
    }

    /// Whether a command with this idempotency key was executed within the last `dedup_window`; if not, the key is
    /// recorded as executed now.
    pub fn check_and_record_key(&mut self, idempotency_key: &str, dedup_window: Span, now: Time) -> bool {
        if self.executed_keys.len() > 10_000 {
            self.executed_keys.retain(|_, at| now - *at < dedup_window);
        }
        match self.executed_keys.get(idempotency_key) {
            Some(at) if now - *at < dedup_window => true,
            _ => {
                self.executed_keys.insert(idempotency_key.to_owned(), now);
                false
            }
        }
    }

    /// A node executed a command that was not dropped as a repeat.
    pub fn command_executed(&mut self, node: &str, id: &str, now: Time) {
        self.totals.executions += 1;
        let Some(hit) = self.hits.get_mut(id) else { return };
        hit.executions += 1;
        if hit.executions > 1 && hit.request.effect != Effect::Repeatable {
            self.record_violation(2, now, format!("hit {id} was executed again, on {node}"));
        }
    }

    /// Discovery reported a node to the marshal; `leaving` is true if it is draining or removed.
    pub fn node_reported(&mut self, node: &str, build: u16, leaving: bool, now: Time) {
        let reported_before = self.nodes.get(node).and_then(|listed| listed.leaving_since);
        let leaving_since = leaving.then(|| reported_before.unwrap_or(now));
        self.nodes.insert(node.to_owned(), ListedNode { build, leaving_since });
    }

    /// A cold node starts; `capacity` is its capacity once warm, in commands per second.
    pub fn node_started(&mut self, node: &str, capacity: f64, now: Time) {
        // Nodes whose warm-up ended long ago need no check any more.
        let ColdStart { ramp_duration, overload_duration, .. } = self.bounds.cold_start;
        self.warming_nodes
            .retain(|_, warming| now - warming.started_at <= ramp_duration + overload_duration * 2.0);
        let warming =
            WarmingNode { started_at: now, capacity, interval: 0, forwards: 0, overloaded_since: None };
        self.warming_nodes.insert(node.to_owned(), warming);
    }

    /// The marshal is held up for up to this long now and then.
    pub fn set_standstill(&mut self, standstill: Span) {
        self.bounds.standstill = standstill;
    }

    /// Changes the time after a drain's report during which the node may still receive forwards.
    pub fn set_drain_grace(&mut self, grace: Span) {
        self.bounds.drain_grace = grace;
    }

    /// The platform reported the state of the newest build to the marshal; `cap` is a share of the hits.
    pub fn build_reported(&mut self, build: u16, on_trial: bool, cap: f64, now: Time) {
        self.newest_build = Some((build, on_trial));
        let initial = BuildCap { current: cap, reported_at: now, previous: cap };
        let cap_entry = self.caps.entry(build).or_insert(initial);
        if cap_entry.current != cap {
            // The marshal may still act on a higher cap that was reported shortly before.
            let within_grace = now - cap_entry.reported_at <= self.bounds.cap_grace;
            *cap_entry = BuildCap {
                current: cap,
                reported_at: now,
                previous: if within_grace {
                    cap_entry.previous.max(cap_entry.current)
                } else {
                    cap_entry.current
                },
            };
        }
        self.recent_forwards.retain(|listed_build, _| *listed_build >= build);
    }

    /// Cap that applies to a build on trial, as a share of the hits; none for other builds.
    fn trial_cap(&self, build: u16, now: Time) -> Option<f64> {
        let (newest, on_trial) = self.newest_build?;
        if build > newest {
            return Some(self.initial_cap);
        }
        let cap = self.caps.get(&build).filter(|_| build == newest && on_trial)?;
        let grace = self.bounds.cap_grace + self.bounds.socket_slack * 3.0;
        Some(if now - cap.reported_at <= grace { cap.current.max(cap.previous) } else { cap.current })
    }
}

/// A checker shared by the stand-ins and the load generators.
#[derive(Clone)]
pub struct SharedChecker(Arc<Mutex<Checker>>);

impl SharedChecker {
    pub fn new(checker: Checker) -> Self {
        SharedChecker(Arc::new(Mutex::new(checker)))
    }

    /// Locks the checker, also after a thread panicked while it held the lock.
    pub fn lock(&self) -> MutexGuard<'_, Checker> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The first ten violations, one a line; empty if there are none.
    pub fn violation_report(&self) -> String {
        let checker = self.lock();
        let lines = checker
            .violations
            .iter()
            .take(10)
            .map(|violation| format!("rule {}: {}\n", violation.rule, violation.message));
        lines.collect()
    }
}

impl Default for SharedChecker {
    fn default() -> Self {
        SharedChecker::new(Checker::new(Bounds::default(), 0.1))
    }
}
