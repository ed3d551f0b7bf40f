//! The interface between the decisions and whatever carries them: what the module calls (`Host`) and
//! the few words that both sides share. No decision is made here.

use crate::time::Span;

/// Why a hit was given up, for those who look for the cause of a bounce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// No node was open to it for as long as it may be held.
    NoRoom,
    /// It would not have been answered in time.
    TooLate,
    /// A forward failed, and there was nowhere lawful to send it again.
    NoSecond,
    /// Its time ran out.
    TimeUp,
}

/// Everything the module can ask for. Hit and node ids are handed back as they came in.
pub trait Host {
    fn forward(&mut self, hit: u32, node: u64, timeout: Span);
    fn bounce(&mut self, hit: u32, retry_after: Span);
    fn error(&mut self, hit: u32);
    /// Says why the bounce or the error that follows was decided.
    fn report_give_up(&mut self, _hit: u32, _reason: GiveUpReason) {}
    fn cancel(&mut self, hit: u32, hop: u8);
    fn vote(&mut self, build: u16, stage: u8, verdict: Verdict);
    fn watch(&mut self, on: bool);
    fn fetch(&mut self);
    fn set_timer(&mut self, delay: Span, token: u64);
    fn log(&mut self, text: &str);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verdict {
    #[default]
    None,
    On,
    Hold,
    Back,
}

/// Where a node stands and what it is, as indices; its weight is a number to set against other nodes'.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeAttributes {
    pub zone: u8,
    pub kind: u16,
    pub cell: u16,
    pub weight: f32,
}

/// How a forward ended. `Rejected`, `Unreached` and `Unsent` prove that it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    Ok,
    Error,
    Rejected,
    TimedOut,
    Unreached,
    Reset,
    Cancelled,
    Unsent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Gone,
    Ready,
    Draining,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Delta,
    Full,
    Cached,
}

/// Where a build stands with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BuildStatus {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

impl BuildStatus {
    /// On trial or released: neither taken off nor on its way.
    pub fn is_active(self) -> bool {
        matches!(self, BuildStatus::OnTrial | BuildStatus::Released)
    }
}
