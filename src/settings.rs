//! What a marshal is told at its start, a few figures for each part of the module. Only carried here:
//! what follows from them is decided in `policy`.

use crate::host::NodeAttributes;
use crate::time::Span;

/// The group of nodes that drops repeats of a tagged hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

impl DedupScope {
    /// Do the two places belong to one group?
    pub fn same_group(self, one: NodeAttributes, other: NodeAttributes) -> bool {
        match self {
            DedupScope::All => true,
            DedupScope::Zone => one.zone == other.zone,
            DedupScope::Cell => one.cell == other.cell,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    Tagged { scope: DedupScope, dedup_window: Span },
    Mutating,
}

#[derive(Clone, Copy, Debug)]
pub struct PathGroup {
    pub effect: Effect,
    pub target_latency: Span,
    /// The target latency grows by this many times the hit's own work.
    pub target_stretch: f64,
    pub timeout: Span,
    /// Share of the benefit of an answer after the target latency.
    pub late_benefit: f64,
    pub benefit: f64,
}

/// How a hit may be handled at this site.
#[derive(Clone, Copy, Debug)]
pub struct SiteLimits {
    /// Most forwards of one hit.
    pub max_forwards: usize,
    pub hedging: bool,
    pub cancellation: bool,
    /// Longest wait that a bounced client obeys; zero where it is not told any.
    pub max_retry_after: Span,
    pub tick: Span,
}

/// Each tenant's share, and the worth of what goes past it.
#[derive(Clone, Debug, Default)]
pub struct Tenancy {
    pub shares: Vec<f64>,
    pub over_share_factor: f64,
}

/// How much of the traffic a build on trial may get.
#[derive(Clone, Debug, Default)]
pub struct ExposureLimits {
    pub allowance: f64,
    pub per_group: bool,
    pub repeatable_only_stages: u8,
    pub sticky_keys: bool,
    /// Most share by stage.
    pub stage_caps: Vec<f64>,
}

/// What moves a stage on: a clock that votes can hold, or 'on' votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StageControl {
    #[default]
    Clock,
    Votes,
}

/// How marshals vote on a build.
#[derive(Clone, Copy, Debug, Default)]
pub struct VotingRules {
    pub marshal_index: usize,
    pub marshal_count: usize,
    pub control: StageControl,
    /// Marshals whose votes the strictest of the verdicts needs.
    pub votes_needed: usize,
    /// Marshals whose votes hold the clock.
    pub holds_needed: usize,
    pub vote_lifetime: Span,
    pub call_timeout: Span,
    pub calls_per_s: f64,
    /// Share of wrong answers that clients report; zero where they report none.
    pub reported_share: f64,
}

/// How nodes are told of, and what crossing zones costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeListSettings {
    /// This marshal's number.
    pub marshal_index: usize,
    pub zone: u8,
    pub cross_zone_cost: f64,
    /// The list answers only when asked.
    pub on_request: bool,
    pub max_request_interval: Span,
    /// Machines of the earlier build stay until the new one is released.
    pub parallel_layout: bool,
}

/// How a started node warms up, and when it falls over.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmUp {
    pub initial_share: f64,
    pub duration: Span,
    pub overload_multiple: f64,
}
