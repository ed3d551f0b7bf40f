//! What a marshal is told at its start, a few figures for each part of the module. Only carried here:
//! what follows from them is decided in `policy`.

use crate::host::Place;
use crate::time::Span;

/// The group of nodes that drops repeats of a tagged hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

impl Scope {
    /// Do the two places belong to one group?
    pub fn joins(self, one: Place, other: Place) -> bool {
        match self {
            Scope::All => true,
            Scope::Zone => one.zone == other.zone,
            Scope::Cell => one.cell == other.cell,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    Tagged { scope: Scope, memory: Span },
    Mutating,
}

#[derive(Clone, Copy, Debug)]
pub struct PathGroup {
    pub effect: Effect,
    pub target: Span,
    /// The target latency grows by this many times the hit's own work.
    pub stretch: f64,
    pub timeout: Span,
    /// Share of the benefit of an answer after the target latency.
    pub late_benefit: f64,
    pub benefit: f64,
}

/// How a hit may be handled at this site.
#[derive(Clone, Copy, Debug)]
pub struct Handling {
    /// Most forwards of one hit.
    pub forwards: usize,
    pub second_copies: bool,
    pub cancelling: bool,
    /// Longest wait that a bounced client obeys; zero where it is not told any.
    pub retry_in: Span,
    pub tick: Span,
}

/// Each tenant's share, and the worth of what goes past it.
#[derive(Clone, Debug, Default)]
pub struct Tenancy {
    pub shares: Vec<f64>,
    pub over_share: f64,
}

/// How much of the traffic a build on trial may get.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    pub allowance: f64,
    pub by_group: bool,
    pub closed_stages: u8,
    pub no_return: bool,
    /// Most share by stage.
    pub caps: Vec<f64>,
}

/// What moves a stage on: a clock that votes can hold, or 'on' votes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Control {
    #[default]
    Clock,
    Votes,
}

/// How marshals vote on a build.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ballot {
    pub me: usize,
    pub marshals: usize,
    pub control: Control,
    /// Marshals whose votes the strictest of the verdicts needs.
    pub needed: usize,
    /// Marshals whose votes hold the clock.
    pub holds: usize,
    pub stands: Span,
    pub call_timeout: Span,
    pub calls_per_s: f64,
    /// Share of wrong answers that clients report; zero where they report none.
    pub reported: f64,
}

/// How nodes are told of, and what crossing zones costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listed {
    /// This marshal's number.
    pub me: usize,
    pub zone: u8,
    pub crossing: f64,
    /// The list answers only when asked.
    pub asked: bool,
    pub ask_within: Span,
    /// Machines of the earlier build stay until the new one is released.
    pub beside: bool,
}

/// How a started node warms up, and when it falls over.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmUp {
    pub from: f64,
    pub span: Span,
    pub multiple: f64,
}
