//! The settings that a marshal gets at its start, one type for each part of the module. They are only
//! carried here; the decisions based on them are in `policy`.

use crate::host::NodeAttributes;
use crate::time::Span;

/// Which nodes together drop repeats of a tagged hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes, so that a bounce is safe even if a forward ran.
    All,
    /// Nodes of the same zone.
    Zone,
    /// Nodes of the same cell, whatever their zones.
    Cell,
}

impl DedupScope {
    /// Do nodes with these attributes drop each other's repeats?
    pub fn same_group(self, one: NodeAttributes, other: NodeAttributes) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => one.zone == other.zone,
            DedupScope::Cell => one.cell == other.cell,
        }
    }
}

/// Whether a hit may run more than once. Nodes drop repeats of a tagged hit for `dedup_window`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run any number of times.
    Repeatable,
    /// It may be sent again to nodes in the `scope` of every earlier forward that may have run, until
    /// `dedup_window` after that one was sent.
    Tagged { scope: DedupScope, dedup_window: Span },
    /// It must not run twice: it is sent again only if no earlier forward can have run.
    Mutating,
}

/// A class of hits with the same handling.
#[derive(Clone, Copy, Debug)]
pub struct PathGroup {
    pub effect: Effect,
    /// Answers after this time are late.
    pub target_latency: Span,
    /// The target latency grows by this many times the hit's own work.
    pub target_stretch: f64,
    /// How long clients wait for an answer.
    pub timeout: Span,
    /// Share of the benefit that an answer after the target latency still has.
    pub late_benefit: f64,
    /// Benefit of an answer in time; only its ratio to that of other path groups counts.
    pub benefit: f64,
}

/// How hits may be handled at this site.
#[derive(Clone, Copy, Debug)]
pub struct SiteLimits {
    /// Most forwards of one hit.
    pub max_forwards: usize,
    /// Hedged requests are permitted.
    pub hedging: bool,
    /// Nodes can be told to drop a forward.
    pub cancellation: bool,
    /// Longest retry-after that a bounced client obeys; zero where bounces carry none.
    pub max_retry_after: Span,
    /// Calls to the host take effect up to this much later.
    pub tick: Span,
}

/// Each tenant's share of the traffic, and the factor on the value of hits past it.
#[derive(Clone, Debug, Default)]
pub struct Tenancy {
    /// Share of the traffic, 0 to 1, by the tenant's index.
    pub shares: Vec<f64>,
    /// Factor on the value of a hit past its tenant's share.
    pub over_share_factor: f64,
}

/// How much of the traffic a build on trial may get.
#[derive(Clone, Debug, Default)]
pub struct ExposureLimits {
    /// Hits that it may get at once beyond its cap: the depth of the token buckets.
    pub allowance: f64,
    /// The cap is counted by path group, not over all of them.
    pub per_group: bool,
    /// In stages below this one only repeatable path groups are sent to it.
    pub repeatable_only_stages: u8,
    /// A key that it has answered must not return to an earlier build.
    pub sticky_keys: bool,
    /// Highest share of the traffic by stage.
    pub stage_caps: Vec<f64>,
}

/// What advances a stage: a clock that votes can hold, or `On` votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StageControl {
    #[default]
    Clock,
    Votes,
}

/// How marshals vote on a build.
#[derive(Clone, Copy, Debug, Default)]
pub struct VotingRules {
    /// This marshal's number, from zero.
    pub marshal_index: usize,
    /// Number of marshals, this one included.
    pub marshal_count: usize,
    pub control: StageControl,
    /// Marshals whose votes the strictest of the verdicts needs.
    pub votes_needed: usize,
    /// Marshals whose votes hold the clock.
    pub holds_needed: usize,
    /// How long a vote counts unless it is renewed.
    pub vote_lifetime: Span,
    /// How long a call to the platform may take.
    pub call_timeout: Span,
    /// Calls per second that the platform takes from all marshals together.
    pub calls_per_s: f64,
    /// Share of wrong answers that clients report; zero where they report none.
    pub reported_share: f64,
}

/// How nodes are listed, and what crossing zones costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeListSettings {
    /// This marshal's number, from zero.
    pub marshal_index: usize,
    /// The zone of this marshal.
    pub zone: u8,
    /// Cost of a forward to another zone, in target latencies.
    pub cross_zone_cost: f64,
    /// The list is sent only on request.
    pub on_request: bool,
    /// Interval within which the list must be requested.
    pub max_request_interval: Span,
    /// Time after a drain or removal counts as told until forwards to the node must have ended.
    pub drain_grace: Span,
    /// Nodes of the earlier build stay until the new one is released.
    pub parallel_layout: bool,
}

/// How a started node warms up, and when it is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmUp {
    /// Share of its capacity that a node has at its start; it rises linearly to 1.
    pub initial_share: f64,
    /// Time from a node's listed start until it has its full capacity.
    pub duration: Span,
    /// Multiple of its present capacity at which a cold node fails.
    pub overload_multiple: f64,
}
