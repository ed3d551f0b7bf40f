//! The purposes that memory is charged to, and the rule of each for overflow and reclaim.

use crate::level::Level;

/// What a byte is held for. In-flight hits are charged by path group, so that a flood of one group leaves the others
/// their part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Client connections: their records and tasks.
    Clients,
    /// Commands that are only partly received.
    PartialCommands,
    /// Replies not sent yet: those that wait for earlier ones, and bytes that the client's socket has not accepted.
    ClientOutput,
    /// Node connections, and the commands queued on them.
    NodeConnections,
    /// Replies of nodes, from the first byte until they are written to the client or charged to `ClientOutput`.
    NodeReplies,
    /// Records of nodes.
    Nodes,
    /// The node list while it is read.
    Discovery,
    /// Requests to the platform, and its messages while they are read.
    Platform,
    /// Log lines that are not written yet.
    Log,
    /// In-flight hits with their commands, records and timers, by the number of their path group.
    InFlight(u8),
}

/// The purposes that every marshal has; one for each path group follows.
pub const FIXED_PURPOSES: [Purpose; 9] = [
    Purpose::Clients,
    Purpose::PartialCommands,
    Purpose::ClientOutput,
    Purpose::NodeConnections,
    Purpose::NodeReplies,
    Purpose::Nodes,
    Purpose::Discovery,
    Purpose::Platform,
    Purpose::Log,
];

/// Maximum number of path groups with an account of their own; further groups share the last one.
pub const MAX_PATH_GROUPS: usize = 32;

impl Purpose {
    /// The purpose of a path group's in-flight hits.
    pub fn in_flight(group: usize) -> Self {
        Purpose::InFlight(group.min(MAX_PATH_GROUPS - 1) as u8)
    }

    /// Its index among all accounts.
    pub fn index(self) -> usize {
        match self {
            Purpose::InFlight(group) => FIXED_PURPOSES.len() + usize::from(group),
            fixed => FIXED_PURPOSES.iter().position(|p| *p == fixed).unwrap_or_default(),
        }
    }

    /// Its name in the operator's file and in reports; the operator's file sets all path groups together as `work`.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Clients => "clients",
            Purpose::PartialCommands => "halves",
            Purpose::ClientOutput => "owed",
            Purpose::NodeConnections => "links",
            Purpose::NodeReplies => "answers",
            Purpose::Nodes => "nodes",
            Purpose::Discovery => "discovery",
            Purpose::Platform => "platform",
            Purpose::Log => "log",
            Purpose::InFlight(_) => "work",
        }
    }
}

/// What happens to one more item that does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overflow {
    /// It stays unread, and the read is retried soon.
    Wait,
    /// It waits to be accepted. Idle connections are closed to make room; where none is idle, the longest connected
    /// ones are closed once their hits are answered.
    Rotate,
    /// It is rejected at once, with a time to retry after; it never ran.
    Bounce,
    /// The forward counts as never sent, and may go to another node.
    Unsent,
    /// The connection that carries it is closed.
    Close,
    /// It is dropped, and the number of dropped items is reported.
    Drop,
}

/// What is reclaimed under pressure, before anything is refused. Buffer capacity does not depend on the level: it is
/// released whenever a buffer is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimAction {
    Nothing,
    /// Idle connections are closed, the longest idle first.
    CloseIdle,
    /// Further commands of clients with unsent replies are not read.
    PauseReading,
    /// Clients that have accepted none of their unsent reply bytes for long are closed, the one with the most unsent
    /// bytes first.
    CloseStalled,
    /// Records of nodes that have left the list are dropped at once.
    DropRemovedNodes,
}

/// The rule of one purpose: what happens on overflow, and what is reclaimed at each level of pressure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    pub overflow: Overflow,
    /// What is reclaimed at [`Level::Elevated`].
    pub elevated: ReclaimAction,
    /// What is reclaimed at [`Level::Critical`].
    pub critical: ReclaimAction,
}

impl Rule {
    /// What is reclaimed at this level.
    pub fn reclaim_action(&self, level: Level) -> ReclaimAction {
        match level {
            Level::Normal => ReclaimAction::Nothing,
            Level::Elevated => self.elevated,
            Level::Critical => self.critical,
        }
    }
}

/// The rule of a purpose. No rule drops a hit that was accepted: only hits that never ran are bounced, and a client
/// closed as stalled has accepted no reply bytes for long although some are held for it.
pub fn rule(purpose: Purpose) -> Rule {
    let rule = |overflow, elevated, critical| Rule { overflow, elevated, critical };
    match purpose {
        Purpose::Clients => rule(Overflow::Rotate, ReclaimAction::CloseIdle, ReclaimAction::CloseIdle),
        Purpose::PartialCommands => rule(Overflow::Bounce, ReclaimAction::Nothing, ReclaimAction::Nothing),
        Purpose::InFlight(_) => rule(Overflow::Bounce, ReclaimAction::Nothing, ReclaimAction::Nothing),
        Purpose::ClientOutput => {
            rule(Overflow::Close, ReclaimAction::PauseReading, ReclaimAction::CloseStalled)
        }
        Purpose::NodeConnections => {
            rule(Overflow::Unsent, ReclaimAction::CloseIdle, ReclaimAction::CloseIdle)
        }
        Purpose::NodeReplies => rule(Overflow::Wait, ReclaimAction::Nothing, ReclaimAction::Nothing),
        Purpose::Nodes => {
            rule(Overflow::Drop, ReclaimAction::DropRemovedNodes, ReclaimAction::DropRemovedNodes)
        }
        Purpose::Discovery => rule(Overflow::Close, ReclaimAction::Nothing, ReclaimAction::Nothing),
        Purpose::Platform => rule(Overflow::Close, ReclaimAction::Nothing, ReclaimAction::Nothing),
        Purpose::Log => rule(Overflow::Drop, ReclaimAction::Nothing, ReclaimAction::Nothing),
    }
}
