//! The lease on the node list: for how long the list held may be used while nothing confirms it, and when discovery is
//! called to renew the lease. No I/O; times are arguments.
//!
//! While a watch is open, the list is current: changes arrive as discovery learns them. Without a watch discovery may
//! hold changes that already count as told. The list may then be used for a limited time, counted from the last moment
//! at which discovery is known to have had nothing new. The end of a watch is such a moment, and so is the begin of a
//! call that failed because discovery was down. When the lease has expired, no forward may be sent until a list arrives
//! or a call shows that discovery is still down. A discovery that has sent nothing for so long that what it could have told
//! would count by then, although a call waits for its answer, is taken for hung: it can tell nothing to anyone, and the
//! waiting call gets its answer when it comes back. Where no watch fell silent before, the call more probably waits for its
//! turn at a crowded discovery, and this takes much longer.
//!
//! Calls are made on demand: a forward that is to be sent renews a lease that is about to expire. Without traffic, calls go
//! on at a lower rate. Calls that fail without showing anything are repeated with exponential backoff, since discovery
//! has more callers than it can answer then.

use crate::settings::NodeListSettings;
use crate::time::{Span, Time};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Longest time for which the process may be held up between reading its clock and writing a forward.
const MAX_STALL: Span = Span::millis(150);
/// Share of the grace for drains that is used where the grace is too short to cover a stall.
const SHORT_GRACE_SHARE: f64 = 0.4;
/// Shortest lease; the rules allow more than this much beside every grace.
const MIN_DURATION: Span = Span::millis(10);
/// Time after which a change counts as told that discovery could have told: where lists are requested, and after a watch
/// fell silent.
const MAX_NOTICE_DELAY: Span = Span::millis(6_000);
/// Shortest wait of a call for its answer until discovery may be taken for hung.
const MIN_HUNG_WAIT: Span = Span::millis(3_000);
/// Time without a sign of life until discovery may be taken for hung, if no watch fell silent before.
const MIN_HUNG_SILENCE_OF_CALLS: Span = Span::millis(20_000);
/// Time after a change of discovery's address until its changes count as told: 4 s after the signal, which is noticed
/// a little later.
const MOVE_ALLOWANCE: Span = Span::millis(3_800);
/// Shortest time between the begin of two calls.
const MIN_CALL_INTERVAL: Span = Span::millis(20);
/// A failure that took a longer share of the lease than this leaves too little of it: the interval between calls grows by
/// the first factor, as discovery works through more calls than it can. Other failures shrink it by the second.
const SLOW_FAILURE_SHARE: f64 = 0.4;
const INTERVAL_GROWTH: f64 = 1.5;
const INTERVAL_SHRINKAGE: f64 = 0.9;
/// Factors by which that interval varies.
const INTERVAL_JITTER: std::ops::Range<f64> = 0.8..1.2;
/// Remaining shares of a lease between which a forward renews it; drawn anew for each lease, so that the calls of many
/// marshals are spread.
const RENEWAL_SHARES: std::ops::Range<f64> = 0.1..0.4;
/// Share of the lease over which the first calls after the end of a watch are spread, and the longest such time.
const FIRST_CALL_SHARE: f64 = 0.5;
const MAX_FIRST_CALL_DELAY: Span = Span::millis(500);
/// Share of the lease between the begin of a watch and the call after its end.
const MIN_WATCH_SPACING_SHARE: f64 = 0.6;
/// A rejection that took longer may come from a discovery that is up and has too many callers.
const MAX_REJECTION_TIME: Span = Span::millis(250);
/// The same where lists are requested: the lease leaves time for another call after it.
const MAX_REJECTION_TIME_ON_REQUEST: Span = Span::millis(3_000);
/// Mean delay of a call that nothing demands while discovery is down: a time in which it is up is not to be missed, since
/// what it learns then counts also if it goes down again.
const OUTAGE_CALL_DELAY: Span = Span::millis(500);
/// Longest mean interval between calls that are demanded.
const MAX_CALL_INTERVAL: Span = Span::millis(1_000);
/// Mean delay of the first retry after a failure that shows nothing; it doubles with each up to `MAX_RETRY_DELAY`.
const INITIAL_RETRY_DELAY: Span = Span::millis(500);
const MAX_RETRY_DELAY: Span = Span::millis(2_000);
/// Largest mean delay, as a share of the interval within which the list must be requested.
const MAX_RETRY_INTERVAL_SHARE: f64 = 0.5;
/// Factors by which a retry delay varies.
const RETRY_JITTER: std::ops::Range<f64> = 0.5..1.5;
/// Share of the lease for which one attempt to connect to discovery may take, and its bounds: while attempts fail, each
/// has to renew the lease before it expires.
const CONNECT_ATTEMPT_SHARE: f64 = 0.4;
const MIN_CONNECT_ATTEMPT: Span = Span::millis(20);
const MAX_CONNECT_ATTEMPT: Span = Span::millis(250);

/// What the failure of a call to discovery shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListCallFailure {
    /// No connection came up: discovery could not be reached when the attempt began.
    Unreachable,
    /// The call was rejected or its connection reset: if that happened at once, discovery was down.
    Rejected,
    /// Discovery may be up and hold changes: the call got no answer in time or an unusable one, or this host lacked the
    /// resources for it.
    Inconclusive,
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// Its connection was closed or failed, or delivered something unusable.
    Closed,
    /// Nothing arrived on it for too long. If something arrives after all, `record_list` is to be called.
    Silent { last_heard_at: Time },
}

/// Lengths of leases, by the settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseTerms {
    /// From the moment at which a change counts as told until forwards by the former list must have ended.
    after_told: Span,
    /// From the last moment at which discovery had nothing new.
    duration: Span,
    /// From the last sign of life of a watch that fell silent.
    after_silence: Span,
    /// Longest time after which a rejection still shows that discovery is down.
    max_rejection_time: Span,
    /// Largest mean delay of a retry that nothing demands.
    max_retry_delay: Span,
}

impl LeaseTerms {
    pub fn new(settings: &NodeListSettings) -> Self {
        let grace = settings.drain_grace;
        let after_told = (grace - MAX_STALL).max(grace * SHORT_GRACE_SHARE).max(MIN_DURATION);
        let requested_delay = settings.max_request_interval.min(MAX_NOTICE_DELAY);
        let (notice_delay, silence_delay) = match settings.on_request {
            true => (requested_delay, requested_delay),
            false => (Span::ZERO, MAX_NOTICE_DELAY),
        };
        let max_retry_delay = (settings.max_request_interval * MAX_RETRY_INTERVAL_SHARE)
            .min(MAX_RETRY_DELAY)
            .max(INITIAL_RETRY_DELAY);
        let (duration, after_silence) = (notice_delay + after_told, silence_delay + after_told);
        let max_rejection_time =
            if settings.on_request { MAX_REJECTION_TIME_ON_REQUEST } else { MAX_REJECTION_TIME };
        LeaseTerms { after_told, duration, after_silence, max_rejection_time, max_retry_delay }
    }

    /// How long one attempt to connect to discovery may take before another one is made beside it.
    pub fn connect_attempt_timeout(&self) -> Span {
        (self.duration * CONNECT_ATTEMPT_SHARE).max(MIN_CONNECT_ATTEMPT).min(MAX_CONNECT_ATTEMPT)
    }
}

/// What is known of the list held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ListState {
    /// The host delivers changes by itself, and reports no ends of watches.
    #[default]
    Delivered,
    /// A watch is open.
    Watched,
    /// No watch is open.
    Unconfirmed { valid_until: Time },
}

/// The lease on the node list, and the calls that renew it.
#[derive(Clone, Debug, Default)]
pub struct ListLease {
    terms: LeaseTerms,
    state: ListState,
    call_in_flight: bool,
    /// Begin of the first call that waits for its answer.
    waiting_since: Option<Time>,
    /// When discovery last gave a sign of life; not kept up while a watch is open.
    last_heard_at: Time,
    /// A watch fell silent, and nothing was heard since.
    watch_fell_silent: bool,
    /// Mean time between the begin of two calls.
    call_interval: Span,
    /// When the last call began.
    last_call_at: Time,
    /// No call may begin earlier.
    next_call_at: Time,
    /// When a call begins that nothing demands.
    retry_at: Time,
    /// A forward renews a lease that expires within this time.
    renewal_margin: Span,
    /// Mean delay of the next retry that nothing demands.
    retry_delay: Span,
}

impl ListLease {
    /// The lease of a host that delivers changes by itself, until `start` is called.
    pub fn new(terms: LeaseTerms) -> Self {
        ListLease { terms, retry_delay: INITIAL_RETRY_DELAY, ..ListLease::default() }
    }

    /// From now on, changes arrive only by calls. Where they are pushed, the list held at the start counts for nothing:
    /// what discovery knows counts as told from the first moment.
    pub fn start(&mut self, now: Time) {
        let valid_for = self.terms.duration - self.terms.after_told;
        self.state = ListState::Unconfirmed { valid_until: now + valid_for };
        self.last_heard_at = now;
    }

    /// May forwards be sent by the list held?
    pub fn is_valid(&self, now: Time) -> bool {
        match self.state {
            ListState::Delivered | ListState::Watched => true,
            ListState::Unconfirmed { valid_until } => now < valid_until || self.is_discovery_hung(now),
        }
    }

    fn is_discovery_hung(&self, now: Time) -> bool {
        let min_silence = if self.watch_fell_silent { MAX_NOTICE_DELAY } else { MIN_HUNG_SILENCE_OF_CALLS };
        now >= self.last_heard_at + min_silence
            && self.waiting_since.is_some_and(|since| now >= since + MIN_HUNG_WAIT)
    }

    /// Should a call begin, as a forward is to be sent?
    pub fn is_renewal_due(&self, now: Time) -> bool {
        let ListState::Unconfirmed { valid_until } = self.state else { return false };
        self.may_call(now) && now + self.renewal_margin >= valid_until
    }

    /// Should a call begin that nothing demands, as its delay has passed?
    pub fn is_retry_due(&self, now: Time) -> bool {
        match self.state {
            ListState::Delivered => true,
            ListState::Watched => false,
            ListState::Unconfirmed { .. } => self.may_call(now) && now >= self.retry_at,
        }
    }

    fn may_call(&self, now: Time) -> bool {
        !self.call_in_flight && now >= self.next_call_at
    }

    /// A call begins.
    pub fn record_call(&mut self, now: Time) {
        self.call_in_flight = true;
        self.waiting_since.get_or_insert(now);
        self.last_call_at = now;
        self.next_call_at = now + MIN_CALL_INTERVAL;
    }

    /// A list arrived, or the word that nothing has changed: the call that brought it goes on as a watch.
    pub fn record_list(&mut self) {
        self.reset_retry_delay();
        self.call_in_flight = false;
        self.waiting_since = None;
        if self.state != ListState::Delivered {
            self.state = ListState::Watched;
        }
    }

    /// An attempt to connect to discovery has not come up in time. The call goes on.
    pub fn record_unreachable(&mut self, started_at: Time, rng: &mut Pcg64Mcg) {
        self.renew(started_at, rng);
    }

    /// The call has waited for its answer for long. It goes on waiting, and another one may be made beside it. Returns the
    /// delay until that one if nothing demands it.
    pub fn record_call_overdue(&mut self, now: Time, rng: &mut Pcg64Mcg) -> Span {
        self.call_in_flight = false;
        self.delay_next_call(now, rng)
    }

    /// The watch ended. Returns the delay until the first call that nothing demands.
    pub fn record_watch_end(&mut self, now: Time, end: WatchEnd, rng: &mut Pcg64Mcg) -> Span {
        let valid_until = match end {
            WatchEnd::Closed => now + self.terms.duration,
            WatchEnd::Silent { last_heard_at } => last_heard_at + self.terms.after_silence,
        };
        self.state = ListState::Unconfirmed { valid_until };
        (self.last_heard_at, self.watch_fell_silent) = match end {
            WatchEnd::Closed => (now, false),
            WatchEnd::Silent { last_heard_at } => (last_heard_at, true),
        };
        (self.call_in_flight, self.waiting_since) = (false, None);
        self.draw_renewal_margin(rng);
        let spread = (self.terms.duration * FIRST_CALL_SHARE).min(MAX_FIRST_CALL_DELAY);
        let delay = spread * rng.random_range(0.0..1.0);
        // The list that came on the watch counts for as long: a discovery that ends each watch at once is not flooded.
        let spacing = (self.terms.duration * MIN_WATCH_SPACING_SHARE).min(MAX_FIRST_CALL_DELAY);
        self.next_call_at = (self.last_call_at + spacing).max(now + delay);
        self.retry_at = self.next_call_at;
        self.retry_at - now
    }

    /// The call that began at `started_at` failed. Returns the delay until the next one that nothing demands.
    pub fn record_call_failure(
        &mut self, now: Time, started_at: Time, failure: ListCallFailure, rng: &mut Pcg64Mcg,
    ) -> Span {
        (self.call_in_flight, self.waiting_since) = (false, None);
        if failure == ListCallFailure::Rejected {
            (self.last_heard_at, self.watch_fell_silent) = (now, false);
        }
        let discovery_was_down = match failure {
            ListCallFailure::Unreachable => true,
            ListCallFailure::Rejected => now - started_at <= self.terms.max_rejection_time,
            ListCallFailure::Inconclusive => false,
        };
        if !discovery_was_down {
            return self.delay_next_call(now, rng);
        }
        self.reset_retry_delay();
        let delay = OUTAGE_CALL_DELAY * rng.random_range(RETRY_JITTER);
        self.retry_at = now + delay;
        self.renew(started_at, rng);
        self.adapt_call_interval(now - started_at);
        let interval = self.call_interval * rng.random_range(INTERVAL_JITTER);
        self.next_call_at = self.next_call_at.max(started_at + interval);
        delay
    }

    /// No further call begins, demanded or not, until the delay of a retry has passed.
    fn delay_next_call(&mut self, now: Time, rng: &mut Pcg64Mcg) -> Span {
        let delay = self.draw_retry_delay(rng);
        self.retry_at = now + delay;
        self.next_call_at = self.next_call_at.max(self.retry_at);
        delay
    }

    /// The address of discovery has changed; a call to the new one may begin at once. The list of a watch counts for a
    /// while longer.
    pub fn record_move(&mut self, now: Time) {
        if self.state == ListState::Watched {
            let valid_until = now + MOVE_ALLOWANCE + self.terms.after_told;
            self.state = ListState::Unconfirmed { valid_until };
        }
        (self.call_in_flight, self.waiting_since) = (false, None);
        // What is known of the former one says nothing of this one.
        (self.last_heard_at, self.watch_fell_silent) = (now, false);
        self.next_call_at = now;
    }

    /// The next retry is delayed as after the first failure.
    pub fn reset_retry_delay(&mut self) {
        self.retry_delay = INITIAL_RETRY_DELAY;
    }

    /// The delay until the next retry: exponential backoff with jitter.
    pub fn draw_retry_delay(&mut self, rng: &mut Pcg64Mcg) -> Span {
        let delay = self.retry_delay * rng.random_range(RETRY_JITTER);
        self.retry_delay = (self.retry_delay * 2.0).min(self.terms.max_retry_delay);
        delay
    }

    /// Shares discovery's capacity with the other callers, by how long a failure took.
    fn adapt_call_interval(&mut self, failure_time: Span) {
        let is_slow = failure_time > self.terms.duration * SLOW_FAILURE_SHARE;
        self.call_interval = if is_slow {
            (self.call_interval.max(self.terms.duration) * INTERVAL_GROWTH).min(MAX_CALL_INTERVAL)
        } else {
            (self.call_interval * INTERVAL_SHRINKAGE).max(MIN_CALL_INTERVAL)
        };
    }

    /// Discovery had nothing new at this time. The lease may also become shorter: that of a silent watch counts on
    /// discovery saying nothing to others either.
    fn renew(&mut self, known_at: Time, rng: &mut Pcg64Mcg) {
        if let ListState::Unconfirmed { .. } = self.state {
            self.state = ListState::Unconfirmed { valid_until: known_at + self.terms.duration };
            self.draw_renewal_margin(rng);
        }
    }

    fn draw_renewal_margin(&mut self, rng: &mut Pcg64Mcg) {
        self.renewal_margin = self.terms.duration * rng.random_range(RENEWAL_SHARES);
    }
}
