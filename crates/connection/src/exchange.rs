//! What one connection to a node carries: at most one forward at a time, whose reply is the only input that may come.
//!
//! Replies carry no id, so that only the connection tells to which forward a reply belongs. Were a second forward
//! written behind one whose reply is lost, its reply would be taken for the lost one, and each later reply for that of
//! the forward before. A connection therefore carries the next forward only after the whole reply to the one before.
//! One whose forward was given up after it was written, or on which input came that no forward had asked for, is spent:
//! it carries nothing further and is to be closed.

use stonescale::time::{Span, Time};

/// A forward by its hit and its index among the forwards of that hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardKey {
    pub hit: u32,
    pub hop: u8,
}

/// The forward that a connection carries.
#[derive(Clone, Copy, Debug)]
struct CarriedForward {
    key: ForwardKey,
    length: usize,
    written: usize,
}

impl CarriedForward {
    fn is_written(&self) -> bool {
        self.written >= self.length
    }
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Free,
    Carrying(CarriedForward),
    /// Must carry nothing further.
    Spent,
}

/// A forward was to be sent on a connection that carries another one, or must carry none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotFree;

/// What giving up a forward did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The connection does not carry it.
    NotCarried,
    /// Nothing of it was written. All unsent bytes are to be removed, and the connection may carry another forward.
    Unwritten,
    /// It was written in part and never reaches its node whole. All unsent bytes are to be removed; the connection is
    /// spent.
    CutOff,
    /// It is written, and its reply may still come; the connection is spent.
    Written,
}

/// Input came that belongs to no forward; the connection is spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnaskedInput {
    /// How long after the last reply it came; `None` if no forward has been answered on the connection.
    pub since_last_reply: Option<Span>,
}

/// A forward that is left when the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished {
    pub key: ForwardKey,
    /// Its last byte has been written: it may have run.
    pub written: bool,
}

/// The forward on one connection, and whether the connection may carry another one.
#[derive(Debug, Default)]
pub struct Exchange {
    state: State,
    /// When the last reply ended.
    last_reply_at: Option<Time>,
}

impl Exchange {
    /// Whether the connection carries no forward and may carry one.
    pub fn is_free(&self) -> bool {
        matches!(self.state, State::Free)
    }

    /// Time from which the connection may carry a forward, if `rest` is to pass after a reply; `None` while it carries
    /// one, or must carry none.
    pub fn free_from(&self, rest: Span) -> Option<Time> {
        self.is_free().then(|| self.last_reply_at.map_or(Time::default(), |at| at + rest))
    }

    /// Puts a forward of `length` bytes on the connection; nothing of it is written yet.
    pub fn begin(&mut self, key: ForwardKey, length: usize) -> Result<(), NotFree> {
        if !self.is_free() {
            return Err(NotFree);
        }
        self.state = State::Carrying(CarriedForward { key, length, written: 0 });
        Ok(())
    }

    /// Records that `count` further bytes of the forward were written.
    pub fn record_written(&mut self, count: usize) {
        if let State::Carrying(forward) = &mut self.state {
            forward.written += count;
        }
    }

    /// The forward on the connection if nothing of it is written.
    pub fn unwritten(&self) -> Option<ForwardKey> {
        match self.state {
            State::Carrying(forward) if forward.written == 0 => Some(forward.key),
            _ => None,
        }
    }

    /// Whether the forward is on the connection and not fully written.
    pub fn is_unfinished(&self, key: ForwardKey) -> bool {
        matches!(self.state, State::Carrying(forward) if forward.key == key && !forward.is_written())
    }

    /// Whether input may come now: the forward is written and waits for its reply.
    pub fn awaits_reply(&self) -> bool {
        matches!(self.state, State::Carrying(forward) if forward.is_written())
    }

    /// Takes the forward to which the whole reply received at `now` belongs.
    pub fn take_replied(&mut self, now: Time) -> Result<ForwardKey, UnaskedInput> {
        match self.state {
            State::Carrying(forward) if forward.is_written() => {
                (self.state, self.last_reply_at) = (State::Free, Some(now));
                Ok(forward.key)
            }
            _ => Err(self.record_unasked_input(now)),
        }
    }

    /// Records input at `now` that belongs to no forward. The connection is spent; a forward on it that is not fully
    /// written stays, to be taken with [`Exchange::take_unfinished`].
    pub fn record_unasked_input(&mut self, now: Time) -> UnaskedInput {
        let since_last_reply = self.last_reply_at.filter(|_| self.is_free()).map(|at| now - at);
        if self.is_free() {
            self.state = State::Spent;
        }
        UnaskedInput { since_last_reply }
    }

    /// Gives up the forward.
    pub fn give_up(&mut self, key: ForwardKey) -> GiveUp {
        let State::Carrying(forward) = self.state else { return GiveUp::NotCarried };
        if forward.key != key {
            return GiveUp::NotCarried;
        }
        if forward.written == 0 {
            self.state = State::Free;
            return GiveUp::Unwritten;
        }
        self.state = State::Spent;
        if forward.is_written() { GiveUp::Written } else { GiveUp::CutOff }
    }

    /// Takes the forward that has no reply, as the connection has ended; the connection is spent.
    pub fn take_unfinished(&mut self) -> Option<Unfinished> {
        let state = std::mem::replace(&mut self.state, State::Spent);
        let State::Carrying(forward) = state else { return None };
        Some(Unfinished { key: forward.key, written: forward.is_written() })
    }
}
