//! Queues through which socket tasks reach the core task, which drains them in batches. There are three, so
//! that control events such as drains and caps do not wait behind a backlog of hits.

use crate::client::Client;
use crate::command::Command;
use crate::endings::EndReason;
use crate::turn::Signal;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use stonescale::host::{BuildStatus, ForwardOutcome, ListUpdate, NodeAttributes, Readiness};
use stonescale::list_lease::{ListCallFailure, WatchEnd};
use stonescale::time::{Span, Time};
use stonescale_budget::Charge;
use stonescale_budget::buffer::Block;

/// Entry of the node list: id, address, attributes, readiness, build and listed start time, by the wall clock.
pub type NodeEntry = (String, SocketAddr, NodeAttributes, Readiness, u16, Time);

/// Build, stage, status, cap, and how long the build has had this status.
pub type StageReport = (u16, u8, BuildStatus, f64, Span);

/// Event from discovery, the platform or a configuration reload.
pub enum ControlEvent {
    /// A node list update, with the memory charge that covers its entries.
    NodeList(ListUpdate, Vec<NodeEntry>, Charge),
    /// The list held is current, by a call that is a watch from now on; its list comes before this event.
    ListConfirmed,
    /// The call to discovery failed whose last attempt to connect began at this time.
    ListCallFailed { started_at: Time, failure: ListCallFailure },
    /// The call to discovery has waited for its answer for long; it goes on waiting.
    ListCallOverdue,
    /// An attempt to connect to discovery, begun at this time, has not come up in time; the call goes on.
    DiscoveryUnreachable { started_at: Time },
    /// The watch that delivered the list ended or fell silent.
    WatchEnded(WatchEnd),
    /// State of the newest build; in the response to a vote, with the outcome of that vote.
    Stage(StageReport, Option<ForwardOutcome>),
    WrongAnswerReport {
        /// Listed id of the node, which the list may no longer contain.
        node: String,
        group: usize,
        /// How long ago the answer was given.
        age: Span,
    },
    /// Build, path group, number of forwards counted over all marshals, and how many of them failed.
    PlatformCounts(u16, usize, u32, u32),
    /// New addresses of discovery and of the platform; `None` for one that is unchanged.
    AddressesChanged(Option<SocketAddr>, Option<SocketAddr>),
}

/// Event that concerns hits already accepted.
pub enum HitEvent {
    /// A forward ended. `hop` is its index among the forwards of its hit, and `sent` tells whether its last byte was
    /// written.
    ForwardEnded {
        hit: u32,
        hop: u8,
        reason: EndReason,
        sent: bool,
        /// The node's value if it served the forward.
        value: Option<Block>,
    },
    /// A client disconnected; these hits of it are unanswered.
    ClientLeft(Vec<u32>),
    /// A connection to the node with this number, listed at `addr`, was established or has ended.
    NodeConnection { node: usize, addr: SocketAddr, change: NodeConnectionChange },
}

/// What became of a connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeConnectionChange {
    Established,
    /// It could not be established.
    NotEstablished(EndReason),
    Ended,
}

/// A hit received from a client: the connection and sequence number to reply to, the command, and when it
/// arrived.
pub struct IncomingHit {
    pub client: Rc<Client>,
    pub sequence: u64,
    pub command: Command,
    pub received_at: Time,
}

/// The three queues, and the signal that wakes the core task.
#[derive(Default)]
pub struct Inbox {
    /// Processed first in each batch.
    pub control_events: RefCell<VecDeque<ControlEvent>>,
    /// Processed after the control events.
    pub hit_events: RefCell<VecDeque<HitEvent>>,
    /// Processed last, after due timers, and a limited number in each batch.
    pub incoming_hits: RefCell<VecDeque<IncomingHit>>,
    /// Raised whenever an event or a hit is queued.
    pub signal: Signal,
}

impl Inbox {
    /// Queues a control event and wakes the core task.
    pub fn push_control_event(&self, event: ControlEvent) {
        self.control_events.borrow_mut().push_back(event);
        self.signal.raise();
    }

    /// Queues a hit event and wakes the core task.
    pub fn push_hit_event(&self, event: HitEvent) {
        self.hit_events.borrow_mut().push_back(event);
        self.signal.raise();
    }

    /// Queues the end of a forward that brought no value; the arguments are those of [`HitEvent::ForwardEnded`].
    pub fn push_forward_end(&self, hit: u32, hop: u8, reason: EndReason, sent: bool) {
        self.push_hit_event(HitEvent::ForwardEnded { hit, hop, reason, sent, value: None });
    }

    /// Queues a new hit and wakes the core task.
    pub fn push_hit(&self, hit: IncomingHit) {
        self.incoming_hits.borrow_mut().push_back(hit);
        self.signal.raise();
    }

    /// Whether all three queues are empty.
    pub fn is_empty(&self) -> bool {
        self.control_events.borrow().is_empty()
            && self.hit_events.borrow().is_empty()
            && self.incoming_hits.borrow().is_empty()
    }
}
