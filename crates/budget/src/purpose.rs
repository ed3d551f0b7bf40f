//! What memory is for, and what is done for each purpose when it is short: the one table.

use crate::level::Level;

/// What a byte is held for. Hits in work are counted by path group, so that a flood of one leaves the others theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Client connections: their records and tasks.
    Clients,
    /// Commands that have not come whole.
    Halves,
    /// Answers that clients have not taken yet.
    Owed,
    /// Node connections, and commands queued on them.
    Links,
    /// Answers of nodes that have not come whole.
    Answers,
    /// What is known of nodes.
    Nodes,
    /// The node list while it is read.
    Discovery,
    /// Calls to the platform and its news.
    Platform,
    /// Lines of the log that are not written yet.
    Log,
    /// Hits in work with their commands, records and timers, by the number of their path group.
    Work(u8),
}

/// The purposes that every marshal has; one for each path group follows.
pub const FIXED: [Purpose; 9] = [
    Purpose::Clients,
    Purpose::Halves,
    Purpose::Owed,
    Purpose::Links,
    Purpose::Answers,
    Purpose::Nodes,
    Purpose::Discovery,
    Purpose::Platform,
    Purpose::Log,
];

/// Most path groups that are told apart; further ones share the last account.
pub const MOST_GROUPS: usize = 32;

impl Purpose {
    /// The purpose of a path group's hits in work.
    pub fn work(group: usize) -> Self {
        Purpose::Work(group.min(MOST_GROUPS - 1) as u8)
    }

    /// Its place among all accounts.
    pub fn index(self) -> usize {
        match self {
            Purpose::Work(group) => FIXED.len() + usize::from(group),
            fixed => FIXED.iter().position(|p| *p == fixed).unwrap_or_default(),
        }
    }

    /// Its name in the operator's file and in reports; path groups stand together as `work` in the former.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Clients => "clients",
            Purpose::Halves => "halves",
            Purpose::Owed => "owed",
            Purpose::Links => "links",
            Purpose::Answers => "answers",
            Purpose::Nodes => "nodes",
            Purpose::Discovery => "discovery",
            Purpose::Platform => "platform",
            Purpose::Log => "log",
            Purpose::Work(_) => "work",
        }
    }
}

/// What is done with one more that does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// It is left where it is, unread, and looked at again soon.
    Wait,
    /// It waits to be taken. Idle connections are closed for it; where there is none, those that were here longest are
    /// closed once they are answered, so that others have their turn.
    Turns,
    /// It is turned away at once, with when to come back; it never ran.
    Bounce,
    /// The forward counts as never sent, and may go elsewhere.
    Unsent,
    /// The connection that brings it is closed.
    Close,
    /// It is left out, and the report says how many were.
    LeaveOut,
}

/// What is given back under pressure, before anything is refused. What a buffer occupies is no matter of a level: it is
/// given back whenever it stands empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reclaim {
    Nothing,
    /// Idle connections are closed, the longest idle first.
    Idle,
    /// Who owes answers is asked no more: its further commands stay unread.
    Unread,
    /// Who has taken nothing of its answers for long is closed, the one owed most first.
    Stuck,
    /// What is known of nodes that are gone is forgotten at once.
    Gone,
}

/// The rule of one purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    pub full: Full,
    pub tight: Reclaim,
    pub short: Reclaim,
}

impl Rule {
    pub fn reclaim(&self, level: Level) -> Reclaim {
        match level {
            Level::Easy => Reclaim::Nothing,
            Level::Tight => self.tight,
            Level::Short => self.short,
        }
    }
}

/// The one table. Nowhere is a hit dropped that was taken: a bounce is for those that never ran, and who is closed
/// as stuck has taken none of the answers that it was given.
pub fn rule(purpose: Purpose) -> Rule {
    let rule = |full, tight, short| Rule { full, tight, short };
    match purpose {
        Purpose::Clients => rule(Full::Turns, Reclaim::Idle, Reclaim::Idle),
        Purpose::Halves => rule(Full::Bounce, Reclaim::Nothing, Reclaim::Nothing),
        Purpose::Work(_) => rule(Full::Bounce, Reclaim::Nothing, Reclaim::Nothing),
        Purpose::Owed => rule(Full::Close, Reclaim::Unread, Reclaim::Stuck),
        Purpose::Links => rule(Full::Unsent, Reclaim::Idle, Reclaim::Idle),
        Purpose::Answers => rule(Full::Wait, Reclaim::Nothing, Reclaim::Nothing),
        Purpose::Nodes => rule(Full::LeaveOut, Reclaim::Gone, Reclaim::Gone),
        Purpose::Discovery => rule(Full::Close, Reclaim::Nothing, Reclaim::Nothing),
        Purpose::Platform => rule(Full::Close, Reclaim::Nothing, Reclaim::Nothing),
        Purpose::Log => rule(Full::LeaveOut, Reclaim::Nothing, Reclaim::Nothing),
    }
}
