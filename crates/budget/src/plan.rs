//! Caps and reserves by purpose, computed at the start from the limits of the process. What can't be kept is refused
//! there, with the figure that is missing.

use crate::buffer::LEAST;
use crate::pool::Account;
use crate::purpose::{FIXED, MOST_GROUPS, Purpose};
use std::fmt;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// What the program holds before it serves anyone: text, stack, settings, executor. Resident size of an idle marshal
/// was 1.6 to 2.1 MiB (docs/results-memory.md).
const PROCESS: usize = 2 * MIB;
/// One part in so many of the limit is left for what the allocator rounds up, and for the moment in which a growing
/// buffer stands beside its larger copy.
const SLACK: usize = 8;

/// A client's connection, with its task, its places in the reactor and a small buffer: 2.5 to 2.7 KB measured.
pub const CLIENT: usize = 2 * KIB + LEAST + LEAST / 2;
/// A node's connection, with its buffers and its forwards: 3.6 to 3.9 KB measured.
pub const LINK: usize = 4 * KIB;
/// A hit in work, besides its command: 500 to 770 bytes measured, the tables that grow counted in, and three forwards'
/// records with two timers each. All three by `stonescale-lab sizes` (docs/results-memory.md).
pub const HIT: usize = KIB + KIB / 4;
/// A node: its listing, its row in the core, its names.
pub const NODE: usize = KIB;
/// Nodes that a list may name at least, whatever the memory, as far as that is free: 1,024, and as many that they replace.
const NODES: usize = 2 * 1_024;
/// Bytes by which a list states a node, and how often it stands while it is read: the line, the next one beside it, its
/// entries, and the room in which a line grows.
const STATED: usize = 256;
const READ: usize = 4;
/// The largest message: a value of 64 KiB, and what stands around it.
pub const MESSAGE: usize = 68 * KIB;

/// Part of what is left after the connections that a purpose may hold at most, and that no other may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub cap: f64,
    pub reserve: f64,
}

/// The shares of the purposes whose size does not follow from the number of connections. `work` is for all path
/// groups together: each may hold up to the cap, and has an even part of the reserve.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    rows: Vec<(&'static str, Share)>,
}

/// Half-read commands and answers owed have small reserves: a few whole messages, so that small hits pass beside
/// a flood of large ones. Hits in work have the largest, as they are what the rest is for.
const DEFAULT: [(&str, Share); 9] = [
    ("halves", Share { cap: 0.25, reserve: 0.06 }),
    ("work", Share { cap: 0.50, reserve: 0.32 }),
    ("owed", Share { cap: 0.25, reserve: 0.06 }),
    ("links", Share { cap: 0.25, reserve: 0.06 }),
    ("answers", Share { cap: 0.25, reserve: 0.06 }),
    ("nodes", Share { cap: 0.20, reserve: 0.04 }),
    ("discovery", Share { cap: 0.25, reserve: 0.06 }),
    ("platform", Share { cap: 0.04, reserve: 0.01 }),
    ("log", Share { cap: 0.04, reserve: 0.01 }),
];

impl Default for Shares {
    fn default() -> Self {
        Shares { rows: DEFAULT.to_vec() }
    }
}

impl Shares {
    /// The names that shares are set by.
    pub fn names() -> impl Iterator<Item = &'static str> {
        DEFAULT.iter().map(|(name, _)| *name)
    }

    pub fn of(&self, name: &str) -> Option<Share> {
        self.rows.iter().find(|(n, _)| *n == name).map(|(_, share)| *share)
    }

    /// Sets a purpose's share; false where there is no such purpose.
    pub fn set(&mut self, name: &str, share: Share) -> bool {
        let row = self.rows.iter_mut().find(|(n, _)| *n == name);
        row.map(|row| row.1 = share).is_some()
    }

    /// Checks the shares by themselves.
    pub fn check(&self) -> Result<(), Wrong> {
        for (name, share) in &self.rows {
            let part = |x: f64| (0.0..=1.0).contains(&x);
            if !part(share.cap) || !part(share.reserve) {
                return Err(Wrong::NoPart(name));
            } else if share.cap == 0.0 {
                return Err(Wrong::NoCap(name));
            } else if share.reserve > share.cap {
                return Err(Wrong::ReserveOverCap(name, *share));
            }
        }
        let sum: f64 = self.rows.iter().map(|(_, s)| s.reserve).sum();
        // A little over for what rounding does to a sum of ten.
        if sum > 1.0 + 1e-9 { Err(Wrong::ReservesOverAll(sum)) } else { Ok(()) }
    }
}

/// What the process may be, and how many connections it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// Its memory limit in bytes.
    pub memory: usize,
    /// Most client and node connections.
    pub clients: usize,
    pub links: usize,
    /// Path groups.
    pub groups: usize,
}

/// Why there can be no plan.
#[derive(Clone, Debug, PartialEq)]
pub enum Wrong {
    /// A share is no part of a whole.
    NoPart(&'static str),
    NoCap(&'static str),
    ReserveOverCap(&'static str, Share),
    ReservesOverAll(f64),
    /// Bytes that the limit lacks, and the limit.
    TooLittle {
        missing: usize,
        memory: usize,
    },
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Wrong::NoPart(name) => write!(f, "{name}: cap and reserve are parts from 0 % to 100 %"),
            Wrong::NoCap(name) => write!(f, "{name}: a cap of nothing would keep every hit out"),
            Wrong::ReserveOverCap(name, share) => {
                let (reserve, cap) = (share.reserve * 100.0, share.cap * 100.0);
                write!(f, "{name}: a reserve of {reserve:.0} % is over the cap of {cap:.0} %")
            }
            Wrong::ReservesOverAll(sum) => write!(f, "the reserves come to {:.0} %, over 100 %", sum * 100.0),
            Wrong::TooLittle { missing, memory } => write!(
                f,
                "{} MiB are too little for so many descriptors and path groups: {} KiB are missing",
                memory / MIB,
                missing.div_ceil(KIB)
            ),
        }
    }
}

impl std::error::Error for Wrong {}

/// Caps and reserves in bytes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Bytes to be held in all.
    pub total: usize,
    pub accounts: Vec<(Purpose, Account)>,
}

impl Plan {
    pub fn new(process: Process, shares: &Shares) -> Result<Self, Wrong> {
        shares.check()?;
        let Process { memory, clients, links, groups } = process;
        let total = (memory - memory / SLACK).saturating_sub(PROCESS);
        let (clients, links) = (clients * CLIENT, links * LINK);
        let rest = total.saturating_sub(clients + links);
        let groups = groups.clamp(1, MOST_GROUPS);
        let bytes = |part: f64| (part * rest as f64) as usize;
        let purposes = FIXED.into_iter().chain((0..groups).map(Purpose::work));
        let account = |purpose: Purpose| {
            let share = shares.of(purpose.name()).unwrap_or(Share { cap: 0.0, reserve: 0.0 });
            let fixed = match purpose {
                Purpose::Clients => clients,
                Purpose::Links => links,
                _ => 0,
            };
            let among = if matches!(purpose, Purpose::Work(_)) { groups } else { 1 };
            let reserve = (bytes(share.reserve) / among).max(Self::least(purpose));
            let cap = bytes(share.cap).max(reserve).max(Self::full_fleet(purpose).min(rest));
            (purpose, Account::new(fixed + cap, fixed + reserve))
        };
        let accounts: Vec<_> = purposes.map(account).collect();
        let reserved: usize = accounts.iter().map(|(_, a)| a.reserve).sum();
        if reserved > total {
            // The limit that would do, slack and all.
            let enough = (reserved + PROCESS) * SLACK / (SLACK - 1) + 1;
            return Err(Wrong::TooLittle { missing: enough.saturating_sub(memory), memory });
        }
        Ok(Plan { total, accounts })
    }

    /// What a purpose needs to be of use at all: one whole message where it holds messages.
    fn least(purpose: Purpose) -> usize {
        match purpose {
            Purpose::Clients => 0,
            Purpose::Halves | Purpose::Owed | Purpose::Links | Purpose::Answers => MESSAGE,
            // The command, and the room in which its answer is copied.
            Purpose::Work(_) => MESSAGE + HIT,
            Purpose::Nodes => 32 * NODE,
            Purpose::Discovery => 64 * KIB,
            Purpose::Platform | Purpose::Log => 16 * KIB,
        }
    }

    /// What a fleet of many nodes needs; no part of the reserve, as most fleets are smaller.
    fn full_fleet(purpose: Purpose) -> usize {
        match purpose {
            Purpose::Nodes => NODES * NODE,
            Purpose::Discovery => NODES * STATED * READ,
            _ => 0,
        }
    }

    pub fn of(&self, purpose: Purpose) -> Account {
        self.accounts.iter().find(|(p, _)| *p == purpose).map(|(_, a)| *a).unwrap_or_default()
    }
}
