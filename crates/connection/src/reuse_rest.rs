//! How long a connection to a node rests after a reply before it carries the next forward.
//!
//! Nodes may send a second copy of a reply, or noise, some time after it and while nothing else waits on the connection.
//! What comes while the connection rests ends it; what came after the rest would be taken for the next reply. The rest
//! is therefore longer than the latest such input of which a marshal has learnt.

use stonescale::time::{Span, Time};

/// The rest while no late input has been seen.
pub const MIN_REST: Span = Span::millis(15);
/// Longest rest: with longer ones, hardly any connection of a busy marshal would be used again.
pub const MAX_REST: Span = Span::millis(250);
/// The rest as a multiple of the latest input seen, as the next may come later still.
const LATENESS_FACTOR: f64 = 3.0;
/// Input that comes later after a reply than this has nothing to do with it.
const MAX_LATENESS: Span = Span::millis(1_000);
/// Time for which late input is taken into account.
const MEMORY: Span = Span::millis(600_000);

/// The rest of all connections of one marshal.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReuseRest {
    learnt: Span,
    learnt_until: Time,
}

impl ReuseRest {
    /// The rest that applies at `now`.
    pub fn current(&self, now: Time) -> Span {
        if now < self.learnt_until { self.learnt.max(MIN_REST) } else { MIN_REST }
    }

    /// Records at `now` that input which no forward had asked for came `lateness` after a reply.
    pub fn record_late_input(&mut self, lateness: Span, now: Time) {
        if lateness > MAX_LATENESS {
            return;
        }
        let rest = (lateness * LATENESS_FACTOR).min(MAX_REST);
        self.learnt = if now < self.learnt_until { self.learnt.max(rest) } else { rest };
        self.learnt_until = now + MEMORY;
    }
}
