//! The module's state by lifetime: of a forward, a hit, a node, the instance. Plain data; the decisions based
//! on it are in `policy`.

use crate::answered_keys::AnsweredKeys;
use crate::host::{BuildStatus, ForwardOutcome, NodeAttributes, Readiness, Verdict};
use crate::index::{IdIndex, hash_pair};
use crate::list_lease::ListLease;
use crate::load_shedding::LoadShedder;
use crate::outcomes::OutcomeLog;
use crate::settings::{
    ExposureLimits, NodeListSettings, PathGroup, SiteLimits, Tenancy, VotingRules, WarmUp,
};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};
use std::ops::{Index, IndexMut};

/// State of a hit; the last four are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HitState {
    /// No forward in flight; held for room.
    Waiting,
    /// At least one forward in flight.
    Forwarded,
    /// Answered with a node's value.
    Delivered,
    /// Answered with a bounce: a retry by the client is harmless.
    Bounced,
    /// Answered with an error: it may have taken effect, so a retry is not safe.
    Errored,
    /// The client left, or was answered by other means.
    Closed,
}

impl HitState {
    /// The hit is answered or its client is gone: it is not forwarded again.
    pub fn is_final(self) -> bool {
        !matches!(self, HitState::Waiting | HitState::Forwarded)
    }
}

/// Time zero. As the listed start of a node it says that the node started long ago.
pub const EPOCH: Time = Time::at(0);

/// A point in time that is never reached.
pub const NEVER: Time = Time::at(u64::MAX);

/// What a timer is for, encoded as the token that the host hands back when it fires.
pub enum Timer {
    /// The next evaluation interval.
    Evaluate,
    /// Retry after a failed request for the node list.
    RequestList,
    /// Deadline of a hit, by its id.
    Deadline(u32),
    /// Hedged request for a hit, by its id and the hop that it is sent beside. Where hedging is not
    /// permitted, the hop is cancelled instead, if nodes allow that, so that a retry can follow.
    Hedge(u32, u8),
}

impl Timer {
    /// The token for `Host::set_timer`: the kind of timer in the bits from 48 up, the hop in those from 32,
    /// and the hit's id in the lowest 32.
    pub fn token(self) -> u64 {
        match self {
            Timer::Evaluate => 0,
            Timer::RequestList => 1 << 48,
            Timer::Deadline(id) => 2 << 48 | u64::from(id),
            Timer::Hedge(id, hop) => 3 << 48 | u64::from(hop) << 32 | u64::from(id),
        }
    }
}

impl From<u64> for Timer {
    fn from(token: u64) -> Self {
        match token >> 48 {
            0 => Timer::Evaluate,
            1 => Timer::RequestList,
            2 => Timer::Deadline(token as u32),
            _ => Timer::Hedge(token as u32, (token >> 32) as u8),
        }
    }
}

/// Why a hit is forwarded: for the first time, as a retry after a failure, or as a hedged request because the
/// first forward takes long.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ForwardReason {
    /// Costs nothing of the retry budget.
    First,
    /// Costs 1 of the retry budget.
    Retry,
    /// Costs 1 to 5 of the retry budget: the less, the higher the share of lost answers.
    Hedge,
}

/// One attempt to have a hit answered by a node.
#[derive(Clone, Copy)]
pub struct Forward {
    /// Index of the node in `Nodes::rows`.
    pub node: usize,
    /// The node's attributes when the forward was sent.
    pub attributes: NodeAttributes,
    /// The node's build when the forward was sent.
    pub build: u16,
    pub sent_at: Time,
    /// This marshal's open forwards at the node when this one was sent.
    pub node_load: f64,
    /// Sent to test a node in spite of its error score.
    pub probe: bool,
    /// `None` while it is in flight.
    pub outcome: Option<ForwardOutcome>,
}

impl Forward {
    /// Its outcome proves that it had no effect; false while it is in flight.
    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(ForwardOutcome::proves_never_run)
    }
}

/// One request of a client.
pub struct Hit {
    pub id: u32,
    /// Index of its path group.
    pub group: usize,
    /// Key of the object that it concerns; zero for none.
    pub key: u64,
    pub received_at: Time,
    /// When the final answer is due at the latest.
    pub deadline: Time,
    /// Expected work in seconds.
    pub work_seconds: f64,
    /// Value for load shedding, 0 to 1.
    pub value: f64,
    /// Random point from 0 to 1 on the ring of the nodes' traffic shares: decides which nodes accept the hit,
    /// where not all do.
    pub ring_point: f64,
    pub state: HitState,
    /// In the order of sending; a forward's index is its `hop` in calls to the host.
    pub forwards: Vec<Forward>,
}

impl Hit {
    /// A hit that waits for its first forward.
    pub fn new(
        id: u32, group: usize, key: u64, received_at: Time, deadline: Time, work_seconds: f64, value: f64,
        ring_point: f64,
    ) -> Self {
        let (state, forwards) = (HitState::Waiting, Vec::new());
        Hit { id, group, key, received_at, deadline, work_seconds, value, ring_point, state, forwards }
    }

    /// At least one forward has not ended yet.
    pub fn in_flight(&self) -> bool {
        self.forwards.iter().any(|f| f.outcome.is_none())
    }
}

/// What is known of one node, and this marshal's estimates of it.
pub struct Node {
    pub id: u64,
    pub attributes: NodeAttributes,
    pub readiness: Readiness,
    pub build: u16,
    /// Listed start; `EPOCH` for long ago.
    pub started_at: Time,
    /// This marshal's forwards to it that have not ended yet.
    pub open_forwards: u32,
    /// Exponentially weighted moving average of answer time over expected work.
    pub latency_ratio: f64,
    /// Exponentially weighted moving average of the open forwards that the node had when it got a forward.
    pub usual_load: f64,
    /// When `latency_ratio` and `usual_load` were last updated.
    pub latency_updated_at: Time,
    /// Recent failures, 0 to 1, as of `error_score_updated_at`; decays with time.
    pub error_score: f64,
    /// When an outcome last updated `error_score`.
    pub error_score_updated_at: Time,
    /// Sending time of the first forward since the node was last heard, or the time when it was heard if
    /// other forwards were open then; `None` if neither applies.
    pub unanswered_since: Option<Time>,
    /// Forwards sent since the node was last heard.
    pub sent_since_heard: u32,
    /// Sending time of the newest forward that it answered.
    pub answered_sent_at: Time,
    /// Time after which a missing answer counts as silence; `NEVER` while too few forwards were sent.
    pub silence_deadline: Time,
    /// When it was last probed in spite of its error score.
    pub probed_at: Time,
    /// Its fair share of this marshal's hits, 0 to 1.
    pub traffic_share: f64,
    /// Where its share starts on the ring of all shares.
    pub ring_start: f64,
}

impl Node {
    /// Forwards are open, and nothing was heard by the deadline.
    pub fn is_silent(&self, now: Time) -> bool {
        self.unanswered_since.is_some() && now > self.silence_deadline
    }

    /// The open forward waits in the node's queue: the node is not silent, and has not answered a later
    /// forward.
    pub fn is_queued(&self, forward: &Forward, now: Time) -> bool {
        !self.is_silent(now) && self.answered_sent_at <= forward.sent_at
    }

    /// Records a forward to the node; returns how many were open before.
    pub fn record_sent(&mut self, now: Time) -> f64 {
        let load = f64::from(self.open_forwards);
        (self.open_forwards, self.sent_since_heard) = (self.open_forwards + 1, self.sent_since_heard + 1);
        self.unanswered_since = self.unanswered_since.or(Some(now));
        load
    }

    /// Records the end of a forward, and whether it was an answer of the node. Returns false if the process
    /// that the forward went to is gone.
    pub fn record_end(&mut self, now: Time, forward: &Forward, answered: bool) -> bool {
        self.open_forwards = self.open_forwards.saturating_sub(1);
        if forward.sent_at < self.started_at || forward.build != self.build {
            return false;
        }
        if answered {
            (self.unanswered_since, self.sent_since_heard, self.silence_deadline) =
                ((self.open_forwards > 0).then_some(now), 0, NEVER);
            self.answered_sent_at = self.answered_sent_at.max(forward.sent_at);
        }
        true
    }

    /// Time since its listed start; the longest span if that is `EPOCH`.
    pub fn age(&self, at: Time) -> Span {
        if self.started_at == EPOCH { Span::nanos(u64::MAX) } else { at - self.started_at }
    }

    /// A newly listed node without any forward yet.
    pub fn new(
        id: u64, attributes: NodeAttributes, readiness: Readiness, build: u16, started_at: Time,
    ) -> Self {
        let (error_score_updated_at, probed_at, answered_sent_at) =
            (Time::default(), Time::default(), Time::default());
        let (latency_ratio, usual_load, traffic_share, ring_start) = (1.0, 0.0, 0.0, 0.0);
        let (open_forwards, error_score, unanswered_since, sent_since_heard, silence_deadline) =
            (0, 0.0, None, 0, NEVER);
        Node {
            id,
            attributes,
            readiness,
            build,
            started_at,
            open_forwards,
            latency_ratio,
            usual_load,
            latency_updated_at: probed_at,
            error_score,
            error_score_updated_at,
            unanswered_since,
            sent_since_heard,
            answered_sent_at,
            silence_deadline,
            probed_at,
            traffic_share,
            ring_start,
        }
    }
}

/// The nodes that lists have named, by their index.
#[derive(Default)]
pub struct Nodes {
    /// Nodes by index. The row of a forgotten node stays until its index is assigned to another one.
    pub rows: Vec<Node>,
    /// The row of each node by its id.
    pub index: IdIndex<u64>,
    /// Which rows the full list that is being received has named.
    named: Option<Vec<bool>>,
}

impl Nodes {
    /// The nodes that take new forwards, of all builds.
    pub fn ready(&self) -> impl Iterator<Item = &Node> {
        self.rows.iter().filter(|n| n.readiness == Readiness::Ready)
    }

    /// The indices of ready nodes by build and zone, ranked by a hash of the node's id and the marshal's
    /// index.
    pub fn ranked(&self, marshal_index: usize) -> BTreeMap<(u16, u8), Vec<usize>> {
        let mut ranked: BTreeMap<(u16, u8), Vec<usize>> = BTreeMap::new();
        for (at, node) in self.rows.iter().enumerate().filter(|(_, n)| n.readiness == Readiness::Ready) {
            ranked.entry((node.build, node.attributes.zone)).or_default().push(at);
        }
        ranked
            .values_mut()
            .for_each(|v| v.sort_by_key(|at| hash_pair(self.rows[*at].id, marshal_index as u64)));
        ranked
    }

    /// Begins a list; a full one replaces all earlier entries.
    pub fn begin_list(&mut self, full: bool) {
        self.named = full.then(|| vec![false; self.rows.len()]);
    }

    /// Records one entry of a list. A new process under a known id, or a node that returns, starts with fresh
    /// state, except for its open forwards.
    pub fn update_entry(&mut self, fresh: Node) {
        let at = self.index.insert(fresh.id);
        if let Some(named) = &mut self.named {
            named.resize(named.len().max(at + 1), false);
            named[at] = true;
        }
        match self.rows.get_mut(at) {
            None => self.rows.push(fresh),
            Some(node)
                if node.readiness == Readiness::Gone
                    || (node.started_at, node.build) != (fresh.started_at, fresh.build) =>
            {
                *node = Node { open_forwards: node.open_forwards, ..fresh };
            }
            Some(node) => (node.readiness, node.attributes) = (fresh.readiness, fresh.attributes),
        }
    }

    /// Ends a list; nodes that a full one left out are gone. Gone nodes are forgotten once their forwards
    /// ended.
    pub fn end_list(&mut self) {
        for (at, named) in self.named.take().into_iter().flatten().enumerate() {
            if !named {
                self.rows[at].readiness = Readiness::Gone;
            }
        }
        for (at, node) in self.rows.iter().enumerate() {
            if node.readiness == Readiness::Gone
                && node.open_forwards == 0
                && self.index.get(node.id) == Some(at)
            {
                self.index.remove(node.id);
            }
        }
    }
}

/// The hits that are not released yet, by their slot.
#[derive(Default)]
pub struct Hits {
    rows: Vec<Hit>,
    slots: IdIndex<u32>,
}

impl Hits {
    /// Stores a hit and returns its slot, which is its own until `release` frees it.
    pub fn insert(&mut self, hit: Hit) -> usize {
        let slot = self.slots.insert(hit.id);
        if slot < self.rows.len() {
            self.rows[slot] = hit;
        } else {
            self.rows.push(hit);
        }
        slot
    }

    /// The slot of a hit by its id; `None` once it is released.
    pub fn slot_of(&self, id: u32) -> Option<usize> {
        self.slots.get(id)
    }

    /// The forwards in flight for hits that are not answered yet.
    pub fn open_forwards(&self) -> impl Iterator<Item = &Forward> {
        let open_hits = self.rows.iter().filter(|hit| !hit.state.is_final());
        open_hits.flat_map(|hit| &hit.forwards).filter(|f| f.outcome.is_none())
    }

    /// The slots of those hits that still wait, the highest value first, in random order among equals.
    pub fn waiting_by_value(&self, ids: Vec<u32>) -> Vec<usize> {
        let waits = |slot: &usize| self.rows[*slot].state == HitState::Waiting;
        let mut slots: Vec<_> = ids.into_iter().filter_map(|id| self.slot_of(id)).filter(waits).collect();
        let rank = |slot: usize| (self.rows[slot].value, self.rows[slot].ring_point);
        slots.sort_by(|a, b| rank(*b).partial_cmp(&rank(*a)).unwrap_or(std::cmp::Ordering::Equal));
        slots
    }

    /// Frees the slot of a hit in a final state once all its forwards ended.
    pub fn release(&mut self, slot: usize) {
        if self.rows[slot].state.is_final() && !self.rows[slot].in_flight() {
            self.slots.remove(self.rows[slot].id);
        }
    }
}

impl Index<usize> for Hits {
    type Output = Hit;
    fn index(&self, slot: usize) -> &Hit {
        &self.rows[slot]
    }
}

impl IndexMut<usize> for Hits {
    fn index_mut(&mut self, slot: usize) -> &mut Hit {
        &mut self.rows[slot]
    }
}

// ---- State of the instance ----

/// What is needed to handle hits: path groups, the value of hits, the budget for retries.
pub struct HitHandling {
    /// Path groups by index, as in `Hit::group`.
    pub groups: Vec<PathGroup>,
    pub tenancy: Tenancy,
    pub limits: SiteLimits,
    /// Usual answer times by path group, and which hits are shed.
    pub shedder: LoadShedder,
    /// Token buckets by tenant: hits that the tenant may still send within its share.
    pub tenant_credits: Vec<f64>,
    /// Retries that may be sent now; a hedged request costs as much as one to five of them.
    pub retry_budget: f64,
    /// Mean expected work of a hit, in seconds.
    pub mean_work_seconds: f64,
}

/// How many hits each build on trial may still get.
#[derive(Default)]
pub struct Exposure {
    pub limits: ExposureLimits,
    /// Varies the initial level of the buckets between marshals.
    pub salt: u64,
    /// Tokens by build and path group.
    pub buckets: BTreeMap<(u16, usize), f64>,
    /// Kept where keys may not return.
    pub answered_keys: AnsweredKeys,
}

/// What is recorded of the newest build; it is reset for the next one.
#[derive(Default)]
pub struct BuildRecord {
    /// It was announced as on trial: there is an earlier build to go back to.
    pub seen_on_trial: bool,
    /// How many marshals have a lower hash for this stage; the lowest ones vote.
    pub voter_rank: usize,
    /// Outcomes in this stage.
    pub stage_outcomes: f64,
    /// Good minus bad outcomes over all stages.
    pub net_good_outcomes: f64,
    /// Log odds that it answers wrongly.
    pub wrong_answer_log_odds: f64,
    /// By evaluation interval: the build's share of the answers, the fleet's latency ratio, and the work per
    /// node.
    pub slowdown_history: VecDeque<(f64, f64, f64)>,
    /// Intervals in a row in which the fleet was slow.
    pub slow_intervals: u32,
    /// Until when this marshal wants the build to go back.
    pub vote_back_until: Time,
}

/// The release gate: what is known of the newest build, the outcomes of each build, and the marshal's vote.
#[derive(Default)]
pub struct ReleaseGate {
    pub voting: VotingRules,
    /// The cap of stage 0, for builds not announced yet.
    pub first_stage_cap: f64,
    /// The newest build as announced by the platform: build, stage, status, cap, and when the stage began.
    pub announced: Option<(u16, u8, BuildStatus, f64, Time)>,
    /// Outcomes of this marshal's forwards, by node.
    pub own_counts: OutcomeLog,
    /// Recent answers of warm nodes, and forwards to them that ended late without one: when, latency ratio,
    /// and build.
    pub recent_answers: VecDeque<(Time, f64, u16)>,
    /// Outcomes that the platform counted over all marshals.
    pub platform_counts: OutcomeLog,
    /// Expected share of bad outcomes by path group, from earlier builds.
    pub expected_bad_shares: Vec<f64>,
    /// Moving average of the share of hits that were shed.
    pub shed_share: f64,
    /// What is recorded of the announced build.
    pub record: BuildRecord,
    /// The vote that may stand: build, stage, verdict.
    pub last_vote: (u16, u8, Verdict),
    /// When it was cast. If the call times out, this is set to a vote's lifetime ago, so that the vote is
    /// cast again.
    pub vote_cast_at: Time,
    /// Its reply is still to come.
    pub vote_pending: bool,
}

impl ReleaseGate {
    /// Latency ratio at the 1/`divisor` quantile of the recent answers, fastest first.
    pub fn latency_ratio_quantile(&self, divisor: usize) -> f64 {
        let mut ratios: Vec<f64> = self.recent_answers.iter().map(|a| a.1).collect();
        ratios.sort_by(f64::total_cmp);
        ratios[ratios.len() / divisor]
    }
}

/// The nodes as last listed, the subset in use, and the traffic rates that decide on the subset and on what
/// cold nodes may get.
#[derive(Default)]
pub struct Fleet {
    pub list_settings: NodeListSettings,
    pub warm_up: WarmUp,
    pub nodes: Nodes,
    /// Whether the list may still be used, and when discovery is called.
    pub list_lease: ListLease,
    /// Share of answers that are lost: later forwards to the same node are answered first.
    pub lost_answer_share: f64,
    /// Usual latency ratio of a node, by its kind.
    pub kind_latency_ratios: Vec<f64>,
    /// The nodes in use, as indices into `Nodes::rows`.
    pub subset: Vec<usize>,
    /// How many nodes of one build and zone the subset may have.
    pub subset_width: usize,
    /// Hits received in this evaluation interval.
    pub interval_hits: f64,
    /// Number of evaluation intervals that have ended.
    pub intervals: f64,
    /// Moving average of hits per second.
    pub hit_rate: f64,
    /// Hits per second in the long run.
    pub long_run_hit_rate: f64,
}

impl Fleet {
    /// Usual latency ratio of a kind; 1 until known: an answer takes the expected work.
    pub fn kind_latency_ratio(&mut self, kind: u16) -> f64 {
        let kind = usize::from(kind);
        self.kind_latency_ratios.resize(self.kind_latency_ratios.len().max(kind + 1), 1.0);
        self.kind_latency_ratios[kind]
    }

    /// Adds an interval's hits to the rates: a plain mean at first, then moving averages by `weight` and, in
    /// the long run, `long_run_weight`.
    pub fn update_rates(&mut self, seconds: f64, weight: f64, long_run_weight: f64) {
        self.intervals += 1.0;
        self.long_run_hit_rate += long_run_weight.max(1.0 / self.intervals)
            * (self.interval_hits / seconds - self.long_run_hit_rate);
        self.hit_rate += weight.max(1.0 / self.intervals) * (self.interval_hits / seconds - self.hit_rate);
        self.interval_hits = 0.0;
    }
}
