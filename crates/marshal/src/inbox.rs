//! The queue through which socket tasks reach the core task, drained in batches. It has three lanes, since
//! news of drains and caps must not wait behind a long row of hits.

use crate::client::Client;
use crate::command::Command;
use crate::endings::Ending;
use crate::turn::Signal;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use stonescale::host::{BuildStatus, ForwardOutcome, ListUpdate, NodeAttributes, Readiness};
use stonescale::time::{Span, Time};
use stonescale_budget::Charge;
use stonescale_budget::buffer::Block;

/// An entry of the node list: id, address, place, readiness, build and listed start.
pub type Entry = (String, SocketAddr, NodeAttributes, Readiness, u16, Time);

/// Build, stage, standing, cap, and for how long it has stood so.
pub type Stage = (u16, u8, BuildStatus, f64, Span);

pub enum News {
    /// With what the entries are charged to.
    Listed(ListUpdate, Vec<Entry>, Charge),
    ListFailed,
    /// Where the newest build stands; as the answer to a vote, how that ended.
    Stage(Stage, Option<ForwardOutcome>),
    Flagged {
        node: String,
        group: usize,
        age: Span,
    },
    /// Build, path group, forwards counted over all marshals, and how many of them failed.
    Sums(u16, usize, u32, u32),
    /// Where discovery and the platform are from now on, if not where they were.
    Moved(Option<SocketAddr>, Option<SocketAddr>),
}

pub enum Outcome {
    Ended {
        hit: u32,
        hop: u8,
        ending: Ending,
        sent: bool,
        /// The node's value, if it served.
        value: Option<Block>,
    },
    /// A client is gone, with these hits unanswered.
    Left(Vec<u32>),
}

/// A hit that a client sent: where its answer goes, what it is, and when it came.
pub struct Arrival {
    pub client: Rc<Client>,
    pub place: u64,
    pub command: Command,
    pub came: Time,
}

#[derive(Default)]
pub struct Inbox {
    pub news: RefCell<VecDeque<News>>,
    pub outcomes: RefCell<VecDeque<Outcome>>,
    pub arrivals: RefCell<VecDeque<Arrival>>,
    pub signal: Signal,
}

impl Inbox {
    pub fn news(&self, news: News) {
        self.news.borrow_mut().push_back(news);
        self.signal.raise();
    }

    pub fn outcome(&self, outcome: Outcome) {
        self.outcomes.borrow_mut().push_back(outcome);
        self.signal.raise();
    }

    pub fn ended(&self, hit: u32, hop: u8, ending: Ending, sent: bool) {
        self.outcome(Outcome::Ended { hit, hop, ending, sent, value: None });
    }

    pub fn arrival(&self, arrival: Arrival) {
        self.arrivals.borrow_mut().push_back(arrival);
        self.signal.raise();
    }

    pub fn is_empty(&self) -> bool {
        self.news.borrow().is_empty()
            && self.outcomes.borrow().is_empty()
            && self.arrivals.borrow().is_empty()
    }
}
