//! Calls of many marshals to one discovery that goes down and comes back, in virtual time: ways to decide when to call, and
//! whether to go on by the list held, side by side. Discovery works through calls in turn, and rejects one that would wait
//! for too long; a rejection because it is down takes a turn too.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use stonescale::list_lease::{LeaseTerms, ListCallFailure, ListLease, WatchEnd};
use stonescale::settings::NodeListSettings;
use stonescale::time::{Span, Time};

/// Time of a call on the network, there and back.
const ROUND_TRIP: Span = Span::millis(1);
/// What the rules allow on sockets beside the grace.
const SOCKET_SLACK: Span = Span::millis(50);
/// Time for which a hit is held that can't be forwarded.
const HOLD: Span = Span::millis(40);
/// Span after the return in which calls are counted.
const CALLS_AFTER_SPAN: Span = Span::millis(2_000);
/// The run ends this long after discovery is back, or once all marshals have the list.
const MAX_RETURN: Span = Span::millis(60_000);
/// Delays of the backoff: the first one, and half the interval for asking.
const FIRST_BACKOFF: Span = Span::millis(500);
const MAX_BACKOFF: Span = Span::millis(5_000);
/// Share of the grace between the calls of the ways with a fixed interval.
const INTERVAL_SHARE: f64 = 0.25;

/// How a marshal decides when to call, and whether to forward by the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Calls with exponential backoff, forwards go on.
    Backoff,
    /// A call each quarter of the grace, forwards go on.
    Interval,
    /// A call each quarter of the grace, forwards need a lease.
    IntervalWithLease,
    /// A call when a forward needs to renew the lease.
    LeaseOnDemand,
}

impl Way {
    pub const ALL: [Way; 4] = [Way::Backoff, Way::Interval, Way::IntervalWithLease, Way::LeaseOnDemand];

    fn needs_lease(self) -> bool {
        matches!(self, Way::IntervalWithLease | Way::LeaseOnDemand)
    }
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub marshals: usize,
    /// Of each marshal.
    pub hits_per_second: f64,
    /// Time after a drain counts as told until forwards to the node must have ended.
    pub grace: Span,
    /// How long discovery is down.
    pub outage: Span,
    /// Calls that discovery can work on in a second.
    pub calls_per_second: f64,
    /// A call that would wait for longer is rejected after this time.
    pub max_wait: Span,
    pub seed: u64,
}

/// What was seen in one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Calls of one marshal in a second while discovery was down.
    pub calls_while_down: f64,
    /// Calls of all marshals in the two seconds after the return.
    pub calls_after: usize,
    /// Time after the return until the last marshal had the list; `None` if it had none when the run ended.
    pub all_listed_after: Option<Span>,
    /// Hits forwarded by the old list later than the grace after the return.
    pub late_forwards: usize,
    /// Share of the hits that were refused while discovery was down.
    pub refused_while_down: f64,
    /// Hits refused after the return, in seconds of the traffic of all marshals.
    pub refused_after_seconds: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Hit {
        marshal: usize,
    },
    /// A held hit is refused, unless it was forwarded meanwhile.
    HoldEnds {
        marshal: usize,
    },
    Timer {
        marshal: usize,
    },
    CallEnds {
        marshal: usize,
        started_at: Time,
        listed: bool,
    },
}

struct Marshal {
    lease: ListLease,
    listed: bool,
    call_in_flight: bool,
    backoff: Span,
    /// Hits that are held, by the end of their hold.
    held: Vec<Time>,
}

/// When discovery will have worked through the calls that wait.
struct TurnQueue {
    service_time: Span,
    max_wait: Span,
    free_at: Time,
}

impl TurnQueue {
    /// When a call that arrives now is answered, and whether it had its turn.
    fn accept(&mut self, now: Time) -> (Time, bool) {
        let done = self.free_at.max(now) + self.service_time;
        if done - now > self.max_wait {
            return (now + self.max_wait, false);
        }
        self.free_at = done;
        (done, true)
    }
}

struct Run {
    scenario: Scenario,
    way: Way,
    marshals: Vec<Marshal>,
    discovery: TurnQueue,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    back_at: Time,
    rng: Pcg64Mcg,
    calls_down: usize,
    hits_down: usize,
    refused_down: usize,
    refused_after: usize,
    figures: Figures,
}

/// Plays the scenario: discovery goes down at the beginning, and a node drains as it comes back.
pub fn play(scenario: Scenario, way: Way) -> Figures {
    let start = Time::at(1_000_000_000);
    let settings = NodeListSettings {
        drain_grace: scenario.grace,
        max_request_interval: MAX_BACKOFF * 2.0,
        ..NodeListSettings::default()
    };
    let new_marshal = || Marshal {
        lease: ListLease::new(LeaseTerms::new(&settings)),
        listed: false,
        call_in_flight: false,
        backoff: FIRST_BACKOFF,
        held: Vec::new(),
    };
    let mut run = Run {
        scenario,
        way,
        marshals: (0..scenario.marshals).map(|_| new_marshal()).collect(),
        discovery: TurnQueue {
            service_time: Span::from_seconds(1.0 / scenario.calls_per_second),
            max_wait: scenario.max_wait,
            free_at: start,
        },
        events: BinaryHeap::new(),
        sequence: 0,
        back_at: start + scenario.outage,
        rng: Pcg64Mcg::seed_from_u64(scenario.seed),
        calls_down: 0,
        hits_down: 0,
        refused_down: 0,
        refused_after: 0,
        figures: Figures::default(),
    };
    for marshal in 0..scenario.marshals {
        run.end_watch(marshal, start);
        run.schedule_hit(marshal, start);
    }
    run.play();
    run.figures()
}

impl Run {
    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_hit(&mut self, marshal: usize, now: Time) {
        let Ok(interarrival) = Exp::new(self.scenario.hits_per_second) else { return };
        let wait = Span::from_seconds(interarrival.sample(&mut self.rng));
        self.schedule(now + wait, Event::Hit { marshal });
    }

    fn end_watch(&mut self, marshal: usize, now: Time) {
        let lease = &mut self.marshals[marshal].lease;
        lease.start(now);
        let lease_delay = lease.record_watch_end(now, WatchEnd::Closed, &mut self.rng);
        let delay = if self.way == Way::LeaseOnDemand { lease_delay } else { self.draw_delay(marshal) };
        self.schedule(now + delay, Event::Timer { marshal });
    }

    /// The delay until the next call of a way that calls by a timer alone.
    fn draw_delay(&mut self, marshal: usize) -> Span {
        let jitter = self.rng.random_range(0.5..1.5);
        match self.way {
            Way::Backoff => {
                let backoff = &mut self.marshals[marshal].backoff;
                let delay = *backoff * jitter;
                *backoff = (*backoff * 2.0).min(MAX_BACKOFF);
                delay
            }
            _ => self.scenario.grace * INTERVAL_SHARE * jitter,
        }
    }

    fn play(&mut self) {
        let end = self.back_at + MAX_RETURN;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > end || self.marshals.iter().all(|marshal| marshal.listed) {
                break;
            }
            match event {
                Event::Hit { marshal } => {
                    self.handle_hit(marshal, now);
                    self.schedule_hit(marshal, now);
                }
                Event::HoldEnds { marshal } => {
                    let held = &mut self.marshals[marshal].held;
                    let before = held.len();
                    held.retain(|hold_ends| *hold_ends > now);
                    let refused = before - held.len();
                    self.count_refused(refused, now);
                }
                Event::Timer { marshal } => self.handle_timer(marshal, now),
                Event::CallEnds { marshal, started_at, listed } => {
                    self.handle_call_end(marshal, started_at, listed, now)
                }
            }
        }
    }

    fn handle_hit(&mut self, marshal: usize, now: Time) {
        self.hits_down += usize::from(now < self.back_at);
        if self.way == Way::LeaseOnDemand && self.marshals[marshal].lease.is_renewal_due(now) {
            self.call(marshal, now);
        }
        if self.way.needs_lease() && !self.marshals[marshal].lease.is_valid(now) {
            self.marshals[marshal].held.push(now + HOLD);
            return self.schedule(now + HOLD, Event::HoldEnds { marshal });
        }
        self.count_forwards(marshal, 1, now);
    }

    fn handle_timer(&mut self, marshal: usize, now: Time) {
        let state = &self.marshals[marshal];
        let is_due = match self.way {
            Way::LeaseOnDemand => state.lease.is_retry_due(now),
            _ => !state.listed && !state.call_in_flight,
        };
        if is_due {
            self.call(marshal, now);
        }
    }

    fn call(&mut self, marshal: usize, now: Time) {
        let is_down = now < self.back_at;
        self.calls_down += usize::from(is_down);
        self.figures.calls_after += usize::from(!is_down && now - self.back_at <= CALLS_AFTER_SPAN);
        let state = &mut self.marshals[marshal];
        state.lease.record_call(now);
        state.call_in_flight = true;
        let (done, had_turn) = self.discovery.accept(now);
        let listed = had_turn && done >= self.back_at;
        self.schedule(done + ROUND_TRIP, Event::CallEnds { marshal, started_at: now, listed });
    }

    fn handle_call_end(&mut self, marshal: usize, started_at: Time, listed: bool, now: Time) {
        let state = &mut self.marshals[marshal];
        state.call_in_flight = false;
        if listed {
            state.listed = true;
            state.lease.record_list();
            self.figures.all_listed_after = Some(now - self.back_at);
        } else {
            let lease_delay =
                state.lease.record_call_failure(now, started_at, ListCallFailure::Rejected, &mut self.rng);
            let delay = if self.way == Way::LeaseOnDemand { lease_delay } else { self.draw_delay(marshal) };
            self.schedule(now + delay, Event::Timer { marshal });
        }
        if self.marshals[marshal].lease.is_valid(now) {
            let released = std::mem::take(&mut self.marshals[marshal].held).len();
            self.count_forwards(marshal, released, now);
        }
    }

    fn count_forwards(&mut self, marshal: usize, count: usize, now: Time) {
        let is_late = now > self.back_at + self.scenario.grace + SOCKET_SLACK;
        if is_late && !self.marshals[marshal].listed {
            self.figures.late_forwards += count;
        }
    }

    fn count_refused(&mut self, count: usize, now: Time) {
        if now < self.back_at {
            self.refused_down += count;
        } else {
            self.refused_after += count;
        }
    }

    fn figures(mut self) -> Figures {
        let down_seconds = self.scenario.outage.seconds() * self.scenario.marshals as f64;
        self.figures.calls_while_down = self.calls_down as f64 / down_seconds;
        self.figures.refused_while_down = self.refused_down as f64 / (self.hits_down as f64).max(1.0);
        let traffic = self.scenario.hits_per_second * self.scenario.marshals as f64;
        self.figures.refused_after_seconds = self.refused_after as f64 / traffic;
        if !self.marshals.iter().all(|marshal| marshal.listed) {
            self.figures.all_listed_after = None;
        }
        self.figures
    }
}

/// The figures of all ways for each number of marshals, as a table in Markdown.
pub fn table(scenario: Scenario, marshal_counts: &[usize]) -> String {
    let mut text = String::from(
        "| marshals | way | calls a marshal and s, down | calls in the 2 s after | last has the list after | late forwards | refused, down | refused after, s of all traffic |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for &marshals in marshal_counts {
        for way in Way::ALL {
            let figures = play(Scenario { marshals, ..scenario }, way);
            let listed = figures.all_listed_after;
            let listed = listed.map_or("not in 60 s".into(), |span| format!("{:.2} s", span.seconds()));
            text += &format!(
                "| {marshals} | {way:?} | {:.1} | {} | {listed} | {} | {:.1} % | {:.2} |\n",
                figures.calls_while_down,
                figures.calls_after,
                figures.late_forwards,
                figures.refused_while_down * 100.0,
                figures.refused_after_seconds,
            );
        }
    }
    text
}
