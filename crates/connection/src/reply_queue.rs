//! The commands of one connection that are in progress, in the order in which they arrived. Replies become ready in any
//! order and leave in that of their commands.
//!
//! The number of commands that are held one by one is limited. A command above the limit is refused, and consecutive
//! refusals share one entry: a client that sends without pause costs no more memory than one that fills the limit, and
//! reading from it can go on, which is the only way to notice that it has left.

use std::collections::VecDeque;

/// A command in progress, or a run of refused ones.
enum Entry<R> {
    /// No reply yet; `hit` is the number of its hit, once it has one.
    Pending { sequence: u64, hit: Option<u32> },
    /// The reply waits for those before it.
    Ready { sequence: u64, reply: R },
    /// Consecutive commands that all get the same line.
    Refused { first: u64, count: u64, line: Vec<u8> },
}

impl<R> Entry<R> {
    fn sequence(&self) -> u64 {
        match self {
            Entry::Pending { sequence, .. } | Entry::Ready { sequence, .. } => *sequence,
            Entry::Refused { first, .. } => *first,
        }
    }
}

/// What is to be sent next.
#[derive(Debug, PartialEq, Eq)]
pub enum NextReply<R> {
    /// The reply to one command.
    Single(R),
    /// The replies to consecutive refused commands, already repeated.
    Refusals(Vec<u8>),
}

/// The commands in progress of one connection; `R` is the type of their replies.
pub struct ReplyQueue<R> {
    entries: VecDeque<Entry<R>>,
    next_sequence: u64,
    /// Entries that are no run of refused commands.
    single_entries: usize,
    max_single_entries: usize,
}

impl<R> ReplyQueue<R> {
    /// An empty queue that holds up to `max_commands` commands one by one.
    pub fn new(max_commands: usize) -> Self {
        ReplyQueue {
            entries: VecDeque::new(),
            next_sequence: 0,
            single_entries: 0,
            max_single_entries: max_commands,
        }
    }

    /// Number of commands added so far.
    pub fn commands(&self) -> u64 {
        self.next_sequence
    }

    /// Whether the limit is reached: further commands are to be refused.
    pub fn is_full(&self) -> bool {
        self.single_entries >= self.max_single_entries
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a command without a reply, and returns its sequence number.
    pub fn push_pending(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.entries.push_back(Entry::Pending { sequence, hit: None });
        self.single_entries += 1;
        self.next_sequence += 1;
        sequence
    }

    /// Adds a command that is refused with `line`. Behind another refused one it gets that one's line.
    pub fn push_refused(&mut self, line: &[u8]) {
        match self.entries.back_mut() {
            Some(Entry::Refused { count, .. }) => *count += 1,
            _ => {
                let first = self.next_sequence;
                self.entries.push_back(Entry::Refused { first, count: 1, line: line.to_vec() });
            }
        }
        self.next_sequence += 1;
    }

    fn index_of(&self, sequence: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&sequence, Entry::sequence).ok()
    }

    /// Whether the command has no reply yet.
    pub fn is_pending(&self, sequence: u64) -> bool {
        self.index_of(sequence).is_some_and(|index| matches!(self.entries[index], Entry::Pending { .. }))
    }

    /// Whether the reply to this command would be the next one to be sent.
    pub fn is_first(&self, sequence: u64) -> bool {
        self.entries.front().is_some_and(|entry| entry.sequence() == sequence)
    }

    /// Records the number of the hit of a command without a reply.
    pub fn bind_hit(&mut self, sequence: u64, number: u32) {
        let Some(index) = self.index_of(sequence) else { return };
        if let Entry::Pending { hit, .. } = &mut self.entries[index] {
            *hit = Some(number);
        }
    }

    /// Sets the reply to a command that has none yet; false if there is no such command.
    pub fn set_reply(&mut self, sequence: u64, reply: R) -> bool {
        let Some(index) = self.index_of(sequence) else { return false };
        let pending = matches!(self.entries[index], Entry::Pending { .. });
        if pending {
            self.entries[index] = Entry::Ready { sequence, reply };
        }
        pending
    }

    /// Takes the replies that can be sent next: one, or as many refusals as fit into `max_refusal_bytes`, at least one.
    /// None while the first command has no reply.
    pub fn pop_ready(&mut self, max_refusal_bytes: usize) -> Option<NextReply<R>> {
        match self.entries.front_mut()? {
            Entry::Pending { .. } => None,
            Entry::Ready { .. } => {
                self.single_entries -= 1;
                match self.entries.pop_front() {
                    Some(Entry::Ready { reply, .. }) => Some(NextReply::Single(reply)),
                    _ => None,
                }
            }
            Entry::Refused { first, count, line } => {
                let fitting = (max_refusal_bytes / line.len().max(1)).max(1) as u64;
                let taken = fitting.min(*count);
                let text = line.repeat(taken as usize);
                *first += taken;
                *count -= taken;
                if *count == 0 {
                    self.entries.pop_front();
                }
                Some(NextReply::Refusals(text))
            }
        }
    }

    /// Whether a command has no reply yet.
    pub fn has_pending(&self) -> bool {
        self.entries.iter().any(|entry| matches!(entry, Entry::Pending { .. }))
    }

    /// The hits of commands without a reply.
    pub fn pending_hits(&self) -> impl Iterator<Item = u32> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Pending { hit, .. } => *hit,
            _ => None,
        })
    }

    /// The replies that wait for earlier ones, without refusals.
    pub fn waiting_replies(&self) -> impl Iterator<Item = &R> {
        self.entries.iter().filter_map(|entry| match entry {
            Entry::Ready { reply, .. } => Some(reply),
            _ => None,
        })
    }

    /// Like [`ReplyQueue::waiting_replies`], to replace them.
    pub fn waiting_replies_mut(&mut self) -> impl Iterator<Item = &mut R> {
        self.entries.iter_mut().filter_map(|entry| match entry {
            Entry::Ready { reply, .. } => Some(reply),
            _ => None,
        })
    }

    /// Whether a refusal would be sent next.
    pub fn is_refusal_next(&self) -> bool {
        matches!(self.entries.front(), Some(Entry::Refused { .. }))
    }

    /// Removes all commands.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.single_entries = 0;
    }
}
