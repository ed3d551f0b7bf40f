//! Where a forward to a node goes: on a connection that is free, on a new one, or into the queue of forwards that wait
//! for a connection to that node.

use crate::exchange::ForwardKey;
use std::collections::VecDeque;
use stonescale::time::{Span, Time};

/// Most connections to one node that are being established at a time.
const MAX_CONNECTING: usize = 4;
/// Time after which a connection that is still being established holds up no further one.
const CONNECT_PATIENCE: Span = Span::millis(20);
/// Most forwards that wait for a connection to one node.
pub const MAX_WAITING_FORWARDS: usize = 1_024;

/// The connections to one node at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeConnections {
    /// Whether one of them may carry a forward now.
    pub has_reusable: bool,
    /// When the first of those that rest may carry one.
    pub next_reusable_at: Option<Time>,
    /// Connections being established.
    pub connecting: usize,
    /// When the newest of them was begun.
    pub newest_connecting_at: Time,
}

/// The room for connections to all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolRoom {
    /// A further connection may be opened.
    Free,
    /// None, but a connection to another node carries nothing and can make room.
    Replaceable,
    Full,
}

/// What to do with the first of the forwards that wait for a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it on a connection that may carry it.
    Reuse,
    /// Open a connection; the forward waits until it is established or another one is free.
    Open,
    /// Close an idle connection to another node, and open one.
    Replace,
    /// Wait; without an event, until this time.
    Wait { until: Option<Time> },
}

/// Decides at `now` about a node for which `waiting` forwards wait, at least one.
///
/// A connection to a node is opened while no other one is being established, as a burst of new connections costs the
/// node more than a short wait; one that takes long holds up nothing.
pub fn place(connections: NodeConnections, room: PoolRoom, waiting: usize, now: Time) -> Placement {
    if connections.has_reusable {
        return Placement::Reuse;
    }
    let enough_connecting = connections.connecting >= waiting.min(MAX_CONNECTING);
    let patience_ends = connections.newest_connecting_at + CONNECT_PATIENCE;
    let is_held_up = connections.connecting > 0 && now < patience_ends;
    if enough_connecting {
        return Placement::Wait { until: connections.next_reusable_at };
    }
    if is_held_up {
        let until = connections.next_reusable_at.map_or(patience_ends, |at| at.min(patience_ends));
        return Placement::Wait { until: Some(until) };
    }
    match room {
        PoolRoom::Free => Placement::Open,
        PoolRoom::Replaceable => Placement::Replace,
        PoolRoom::Full => Placement::Wait { until: connections.next_reusable_at },
    }
}

/// A forward that waits for a connection to its node; nothing of it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingForward {
    pub key: ForwardKey,
    /// End of the time for which its reply is awaited.
    pub deadline: Time,
}

/// The queue of one node is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// The forwards that wait for a connection to one node, oldest first.
#[derive(Debug, Default)]
pub struct WaitingForwards {
    queue: VecDeque<WaitingForward>,
}

impl WaitingForwards {
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds a forward behind the others.
    pub fn push(&mut self, forward: WaitingForward) -> Result<(), QueueFull> {
        if self.queue.len() >= MAX_WAITING_FORWARDS {
            return Err(QueueFull);
        }
        self.queue.push_back(forward);
        Ok(())
    }

    /// Takes the oldest forward.
    pub fn pop(&mut self) -> Option<WaitingForward> {
        self.queue.pop_front()
    }

    /// Removes a forward; false if it does not wait here.
    pub fn remove(&mut self, key: ForwardKey) -> bool {
        let position = self.queue.iter().position(|forward| forward.key == key);
        position.and_then(|index| self.queue.remove(index)).is_some()
    }

    /// Takes all forwards.
    pub fn take_all(&mut self) -> impl Iterator<Item = ForwardKey> + use<> {
        std::mem::take(&mut self.queue).into_iter().map(|forward| forward.key)
    }
}
