//! Whose memory goes first where room must be made. Nobody with a hit in work is ever chosen: what was taken is
//! answered.

use stonescale::time::{Span, Time};

/// A client's connection as far as that matters here.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Bytes of answers that it has not taken.
    pub owed: usize,
    /// When it last took or sent anything.
    pub moved: Time,
    /// When it was taken.
    pub taken: Time,
    /// Commands that came on it.
    pub asked: u64,
    /// Hits in work or not answered yet.
    pub working: bool,
    /// It is on its way out already.
    pub leaving: bool,
}

impl Client {
    fn still(&self, now: Time) -> Span {
        now - self.moved
    }

    /// Nothing is in work on it, and it owes nothing.
    fn idle(&self) -> bool {
        !self.working && !self.leaving && self.owed == 0
    }
}

fn places(clients: &[Client], fit: impl Fn(&Client) -> bool) -> Vec<usize> {
    (0..clients.len()).filter(|at| fit(&clients[*at])).collect()
}

/// Idle connections to be closed, `most` at most, the longest idle first. Who asked more than once is spared for longer:
/// it will ask again, and closing it would only bring the next connection, while some clients ask once and keep their
/// connection for good. Who has said nothing yet counts as one that asked once.
pub fn idle(clients: &[Client], now: Time, (spared, once): (Span, Span), most: usize) -> Vec<usize> {
    let patience = |c: &Client| if c.asked > 1 { spared } else { once };
    let mut found = places(clients, |c| c.idle() && c.still(now) >= patience(c));
    found.sort_by_key(|at| clients[*at].moved);
    found.truncate(most);
    found
}

/// Connections that took nothing of what they are owed for `patience`, the most owed first, until `bytes` are freed.
/// A client that reads slowly is spared: it moves.
pub fn stuck(clients: &[Client], now: Time, patience: Span, bytes: usize) -> Vec<usize> {
    let mut found = places(clients, |c| c.owed > 0 && !c.leaving && c.still(now) >= patience);
    found.sort_by_key(|at| std::cmp::Reverse(clients[*at].owed));
    let mut freed = 0;
    found.retain(|at| {
        let wanted = freed < bytes;
        freed += clients[*at].owed;
        wanted
    });
    found
}

/// Connections to be closed once they are answered, so that those who wait to be taken have their turn: `most` at most,
/// those that were here longest first, each for a `tenure` at least. For when all are in use and none is idle: a flood
/// that fills every connection would otherwise keep all others out for as long as it lasts.
pub fn rotate(clients: &[Client], now: Time, tenure: Span, most: usize) -> Vec<usize> {
    let mut found = places(clients, |c| c.asked > 0 && !c.leaving && now - c.taken >= tenure);
    found.sort_by_key(|at| clients[*at].taken);
    found.truncate(most);
    found
}
