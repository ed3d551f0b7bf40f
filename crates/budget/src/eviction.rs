//! Selection of the client connections to close when memory is needed. An accepted hit is always answered: a
//! connection with hits in flight is closed only after they are answered, or when its client reads none of its
//! replies.

use stonescale::time::{Span, Time};

/// The state of a client connection that the selection depends on.
#[derive(Clone, Copy, Debug)]
pub struct ClientState {
    /// Reply bytes that its socket has not accepted.
    pub offered_bytes: usize,
    /// Bytes of replies that wait for earlier ones: the client has not been offered them.
    pub waiting_bytes: usize,
    /// When it last accepted reply bytes or was last offered a reply.
    pub last_activity: Time,
    /// When the connection was accepted.
    pub accepted_at: Time,
    /// Number of commands received on it.
    pub commands: u64,
    /// A hit was accepted on it.
    pub has_sent_hit: bool,
    /// Since when a command has been received in part, if one has.
    pub receiving_since: Option<Time>,
    /// It has commands that are not answered, or replies that wait for earlier ones.
    pub has_pending_hits: bool,
    /// It is being closed already.
    pub closing: bool,
}

impl ClientState {
    fn inactive_for(&self, now: Time) -> Span {
        now - self.last_activity
    }

    /// It has no pending hit, no unsent reply and no incomplete command, and is not being closed.
    fn is_idle(&self) -> bool {
        let nothing_unsent = self.offered_bytes == 0 && self.waiting_bytes == 0;
        !self.has_pending_hits && !self.closing && nothing_unsent && self.receiving_since.is_none()
    }

    /// Since when it has occupied a connection without use: since it was accepted if it never sent a hit, else since its
    /// incomplete command began.
    fn unproductive_since(&self) -> Option<Time> {
        if self.has_sent_hit { self.receiving_since } else { Some(self.accepted_at) }
    }
}

fn matching_indices(clients: &[ClientState], matches: impl Fn(&ClientState) -> bool) -> Vec<usize> {
    (0..clients.len()).filter(|index| matches(&clients[*index])).collect()
}

/// Selects at most `max_count` idle connections, the longest idle first. A client that has sent more than one
/// command must be idle for `repeat_idle`, any other for `single_idle`. A client that asks repeatedly will ask
/// again, and closing its connection would only bring the next one, while some clients ask once and keep their
/// connection for good. A client that has sent nothing yet counts as one that asked once.
pub fn select_idle(
    clients: &[ClientState], now: Time, (repeat_idle, single_idle): (Span, Span), max_count: usize,
) -> Vec<usize> {
    let idle_timeout = |c: &ClientState| if c.commands > 1 { repeat_idle } else { single_idle };
    let mut selected = matching_indices(clients, |c| c.is_idle() && c.inactive_for(now) >= idle_timeout(c));
    selected.sort_by_key(|index| clients[*index].last_activity);
    selected.truncate(max_count);
    selected
}

/// Selects at most `max_count` connections that have been unproductive for `min_time`, those that were it for longest
/// first: they never sent a hit, or are in the middle of a command. A connection with pending hits is not selected.
pub fn select_unproductive(
    clients: &[ClientState], now: Time, min_time: Span, max_count: usize,
) -> Vec<usize> {
    let unproductive = |c: &ClientState| {
        let long_enough = c.unproductive_since().is_some_and(|since| now - since >= min_time);
        long_enough && !c.closing && !c.has_pending_hits
    };
    let mut selected = matching_indices(clients, unproductive);
    selected.sort_by_key(|index| clients[*index].unproductive_since());
    selected.truncate(max_count);
    selected
}

/// Selects connections that have accepted none of the reply bytes offered to them for `stall_timeout`, the one with the
/// most unsent bytes first, until `bytes` are freed. A client that reads slowly is not selected, as it is active, nor one
/// whose replies only wait for an earlier one.
pub fn select_stalled(clients: &[ClientState], now: Time, stall_timeout: Span, bytes: usize) -> Vec<usize> {
    let stalled = |c: &ClientState| c.offered_bytes > 0 && !c.closing && c.inactive_for(now) >= stall_timeout;
    let unsent_bytes = |c: &ClientState| c.offered_bytes + c.waiting_bytes;
    select_largest(clients, matching_indices(clients, stalled), unsent_bytes, bytes)
}

/// Selects connections whose waiting replies are to be replaced by errors, the one with the most bytes of them first,
/// until `bytes` are freed.
pub fn select_waiting(clients: &[ClientState], bytes: usize) -> Vec<usize> {
    let candidates = matching_indices(clients, |c| c.waiting_bytes > 0);
    select_largest(clients, candidates, |c| c.waiting_bytes, bytes)
}

/// Selects of `candidates` those that free the most, as many as free `bytes` together.
fn select_largest(
    clients: &[ClientState], mut candidates: Vec<usize>, freed_by: impl Fn(&ClientState) -> usize,
    bytes: usize,
) -> Vec<usize> {
    candidates.sort_by_key(|index| std::cmp::Reverse(freed_by(&clients[*index])));
    let mut freed = 0;
    candidates.retain(|index| {
        let needed = freed < bytes;
        freed += freed_by(&clients[*index]);
        needed
    });
    candidates
}

/// Selects at most `max_count` connections to be closed once their hits are answered, the longest connected first,
/// each connected for at least `min_tenure`. This makes room for waiting clients when all connections are in use
/// and none is idle: otherwise a flood that fills every connection would keep all other clients out for as long as
/// it lasts.
pub fn select_rotated(clients: &[ClientState], now: Time, min_tenure: Span, max_count: usize) -> Vec<usize> {
    let mut selected =
        matching_indices(clients, |c| c.commands > 0 && !c.closing && now - c.accepted_at >= min_tenure);
    selected.sort_by_key(|index| clients[*index].accepted_at);
    selected.truncate(max_count);
    selected
}
