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

/// Idle connections to be closed, `most` at most, the longest idle first. Who asked once is spared for `once` only:
/// some clients ask once and keep their connection for good, while those that asked more will ask again, and closing
/// theirs would only bring the next connection.
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
/// those that asked most first. For when all connections are in use and none is idle.
pub fn rotate(clients: &[Client], most: usize) -> Vec<usize> {
    let mut found = places(clients, |c| c.asked > 1 && !c.leaving);
    found.sort_by_key(|at| std::cmp::Reverse(clients[*at].asked));
    found.truncate(most);
    found
}
