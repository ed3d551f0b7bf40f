//! The forwards of one connection to a node: what of each has been written, and what becomes of one that is given up.
//!
//! A forward none of whose bytes are written is withdrawn from the queue. One that is written in part never reaches the
//! node whole: the rest is dropped, and the connection can carry nothing further. One that is written waits for its
//! reply, which is then discarded, as replies come in the order of the forwards.

use std::collections::VecDeque;
use std::ops::Range;

/// A forward by its hit and its index among the forwards of that hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardKey {
    pub hit: u32,
    pub hop: u8,
}

/// A forward on the connection whose reply has not been received.
#[derive(Clone, Copy, Debug)]
struct QueuedForward {
    key: ForwardKey,
    /// Its place in the stream of bytes of the connection.
    start: u64,
    end: u64,
    /// Its end has been reported; a reply that still comes is discarded.
    reported: bool,
}

/// What giving up a forward did.
#[derive(Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The forward is not on this connection, or its end was reported before.
    Unknown,
    /// Nothing of it was written. These bytes of the unsent ones are to be removed.
    Withdrawn(Range<usize>),
    /// It was written in part. All unsent bytes are to be removed, and the connection takes no further forwards; these
    /// behind it were withdrawn with it.
    CutOff(Vec<ForwardKey>),
    /// It is written; its reply will be discarded.
    Written,
}

/// A reply's forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replied {
    pub key: ForwardKey,
    /// Its end has been reported: the reply is to be discarded.
    pub reported: bool,
}

/// A forward that is left when the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
    pub key: ForwardKey,
    /// Its last byte has been written: it may have run.
    pub written: bool,
}

/// The forwards of one connection, in the order in which they are written.
#[derive(Debug, Default)]
pub struct ForwardQueue {
    forwards: VecDeque<QueuedForward>,
    queued_bytes: u64,
    written_bytes: u64,
}

impl ForwardQueue {
    /// Adds a forward of `length` bytes behind the others.
    pub fn push(&mut self, key: ForwardKey, length: usize) {
        let start = self.queued_bytes;
        self.queued_bytes += length as u64;
        self.forwards.push_back(QueuedForward { key, start, end: self.queued_bytes, reported: false });
    }

    /// Records that `count` further bytes were written.
    pub fn record_written(&mut self, count: u64) {
        self.written_bytes += count;
    }

    /// Whether nothing was written on the connection.
    pub fn is_unwritten(&self) -> bool {
        self.written_bytes == 0
    }

    /// Forwards without a reply, also those whose end has been reported.
    pub fn len(&self) -> usize {
        self.forwards.len()
    }

    pub fn is_empty(&self) -> bool {
        self.forwards.is_empty()
    }

    /// Whether the end of every forward has been reported.
    pub fn is_all_reported(&self) -> bool {
        self.forwards.iter().all(|forward| forward.reported)
    }

    /// Takes the forward to which the next reply belongs; none if no forward is written.
    pub fn take_replied(&mut self) -> Option<Replied> {
        let written_bytes = self.written_bytes;
        let forward = self.forwards.pop_front_if(|forward| forward.end <= written_bytes)?;
        Some(Replied { key: forward.key, reported: forward.reported })
    }

    /// Whether a forward without a reported end is not fully written.
    pub fn is_unfinished(&self, key: ForwardKey) -> bool {
        self.forwards.iter().any(|f| f.key == key && !f.reported && f.end > self.written_bytes)
    }

    /// Gives up a forward.
    pub fn give_up(&mut self, key: ForwardKey) -> GiveUp {
        let is_open = |forward: &QueuedForward| forward.key == key && !forward.reported;
        let Some(index) = self.forwards.iter().position(is_open) else { return GiveUp::Unknown };
        let forward = self.forwards[index];
        if forward.end <= self.written_bytes {
            self.forwards[index].reported = true;
            GiveUp::Written
        } else if forward.start >= self.written_bytes {
            GiveUp::Withdrawn(self.withdraw(index))
        } else {
            let behind = self.forwards.drain(index..).skip(1).map(|behind| behind.key).collect();
            self.queued_bytes = self.written_bytes;
            GiveUp::CutOff(behind)
        }
    }

    /// Withdraws the last forward if nothing of it is written; returns it with the unsent bytes to be removed.
    pub fn withdraw_last(&mut self) -> Option<(ForwardKey, Range<usize>)> {
        let last = self.forwards.back().filter(|last| last.start >= self.written_bytes)?;
        let key = last.key;
        Some((key, self.withdraw(self.forwards.len() - 1)))
    }

    /// Removes an unwritten forward; returns its place among the unsent bytes.
    fn withdraw(&mut self, index: usize) -> Range<usize> {
        let Some(QueuedForward { start, end, .. }) = self.forwards.remove(index) else { return 0..0 };
        let length = end - start;
        for behind in self.forwards.range_mut(index..) {
            behind.start -= length;
            behind.end -= length;
        }
        self.queued_bytes -= length;
        (start - self.written_bytes) as usize..(end - self.written_bytes) as usize
    }

    /// Takes the forwards whose end has not been reported, as the connection has ended.
    pub fn take_unfinished(&mut self) -> Vec<Unfinished> {
        let written_bytes = self.written_bytes;
        let forwards = std::mem::take(&mut self.forwards);
        let unfinished = forwards.into_iter().filter(|forward| !forward.reported);
        unfinished.map(|f| Unfinished { key: f.key, written: f.end <= written_bytes }).collect()
    }
}
