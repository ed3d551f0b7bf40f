//! The interface between the decisions and the program around them: the calls that the module makes (`Host`)
//! and the types that both sides share. No decision is made here.

use crate::time::Span;

/// Why a hit was given up; for traces of a bounce or an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// No node accepted it for as long as it may be held.
    NoRoom,
    /// It would not have been answered in time.
    TooLate,
    /// A forward failed, and no retry was permitted or possible.
    NoSecond,
    /// Its deadline passed.
    TimeUp,
    /// The lease on the node list had expired for as long as it may be held.
    ListUnconfirmed,
}

/// Everything that the module asks of its host. Ids of hits and nodes are those that the host passed in; a
/// `hop` is the number of a hit's forward, from zero.
pub trait Host {
    /// Sends a hit to a node; the forward is to end within `timeout`.
    fn forward(&mut self, hit: u32, node: u64, timeout: Span);
    /// Answers a hit with a bounce: a retry is harmless, and may be sent after `retry_after`.
    fn bounce(&mut self, hit: u32, retry_after: Span);
    /// Answers a hit with an error: it may have taken effect, so a retry is not safe.
    fn error(&mut self, hit: u32);
    /// Gives the reason of the bounce or the error that follows.
    fn report_give_up(&mut self, _hit: u32, _reason: GiveUpReason) {}
    /// Cancels a forward that is in flight.
    fn cancel(&mut self, hit: u32, hop: u8);
    /// Casts or replaces the vote on a build; `Verdict::None` withdraws it.
    fn vote(&mut self, build: u16, stage: u8, verdict: Verdict);
    /// Subscribes to the node list, or ends the subscription.
    fn watch(&mut self, on: bool);
    /// Sets a timer: `Marshal::on_timer` is to be called with `token` after `delay`.
    fn set_timer(&mut self, delay: Span, token: u64);
    /// Writes a message to the log; the module logs why it votes a build back.
    fn log(&mut self, text: &str);
}

/// A vote on the build on trial: advance it, hold the clock, or send it back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verdict {
    /// No vote; cast, it withdraws an earlier one.
    #[default]
    None,
    /// Advance the build to its next stage; cast where votes advance the stages.
    On,
    /// Hold the clock; cast where a clock advances the stages.
    Hold,
    /// Return to the earlier build.
    Back,
}

/// What a node is and where it runs, as indices; `weight` compares its capacity with that of other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeAttributes {
    /// 255 for a zone that the settings don't name.
    pub zone: u8,
    /// Kind of machine; all kinds that the settings don't name share one index.
    pub kind: u16,
    /// Nodes of one cell drop each other's repeats of a tagged hit where `DedupScope::Cell` applies.
    pub cell: u16,
    /// 1 for a node that is listed without one.
    pub weight: f32,
}

/// How a forward ended. `Rejected`, `Unreached` and `Unsent` prove that it never ran. Also tells how the call
/// that cast a vote ended: after `TimedOut` the vote may stand, after all others but `Ok` it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The node answered with a value.
    Ok,
    /// The node answered that it failed; the hit may have taken effect.
    Error,
    /// The node refused the hit without running it.
    Rejected,
    /// Sent in full, but not answered within the timeout.
    TimedOut,
    /// Not sent in full, since the connection failed or the time was up.
    Unreached,
    /// Sent in full, but the connection ended without a valid answer.
    Reset,
    /// Cancelled by the marshal after it was sent in full.
    Cancelled,
    /// Dropped before it was sent: cancelled, its node left the list, or there was no room for a connection.
    Unsent,
}

impl ForwardOutcome {
    /// Whether the hit is known not to have run by this forward.
    pub fn proves_never_run(self) -> bool {
        matches!(self, ForwardOutcome::Rejected | ForwardOutcome::Unreached | ForwardOutcome::Unsent)
    }
}

/// Whether a listed node takes forwards: none once it is gone, no new ones while it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Listed as removed, or left out of a full list.
    Gone,
    Ready,
    Draining,
}

/// What a node list contains: changes only, all nodes, or all nodes from a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// A node without an entry stays as it is.
    Delta,
    /// A node without an entry is gone.
    Full,
    /// Applied like `Full`; the nodes that are known at startup are passed this way.
    Cached,
}

/// Where a build stands with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BuildStatus {
    /// Its traffic is limited to the cap of its stage.
    OnTrial,
    /// The return to the earlier build is under way.
    GoingBack,
    /// Its traffic is no longer limited.
    Released,
    /// The return to the earlier build is complete.
    Withdrawn,
}

impl BuildStatus {
    /// On trial or released: neither withdrawn nor going back.
    pub fn is_active(self) -> bool {
        matches!(self, BuildStatus::OnTrial | BuildStatus::Released)
    }
}
