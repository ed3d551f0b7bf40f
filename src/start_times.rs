//! When the processes of nodes started, in the host's time. Lists give the wall clock's time, which may be stepped, while
//! warm-ups are spans of real time.

use crate::state::EPOCH;
use crate::time::Time;

/// A listed start, and the time of the host that it stands for.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    listed: Time,
    host_time: Time,
}

/// The starts of all nodes, by the node's number.
#[derive(Debug, Default)]
pub struct StartTimes(Vec<Option<KnownStart>>);

impl StartTimes {
    /// The host's time at which a node's process started that is listed with this start. `now` is the host's time, which
    /// was the wall clock's at the host's start and runs on steadily; `wall_now` is the wall clock's.
    ///
    /// If the wall clock was stepped, one of the two gives the wrong age, and nothing tells which. The lower age is taken:
    /// a node that is taken for colder than it is gets less for the length of a warm-up, and is never overloaded. The
    /// same listed start always stands for the same time.
    pub fn host_time(&mut self, node: usize, listed: Time, now: Time, wall_now: Time) -> Time {
        if listed == EPOCH {
            return EPOCH; // long ago
        }
        if self.0.len() <= node {
            self.0.resize(node + 1, None);
        }
        let known = &mut self.0[node];
        if let Some(known) = known.filter(|known| known.listed == listed) {
            return known.host_time;
        }
        let age = (now - listed).min(wall_now - listed);
        let host_time = now - age;
        *known = Some(KnownStart { listed, host_time });
        host_time
    }

    /// The number is given to another node.
    pub fn forget(&mut self, node: usize) {
        if let Some(known) = self.0.get_mut(node) {
            *known = None;
        }
    }
}
