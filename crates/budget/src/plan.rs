//! Caps and reserves by purpose, computed at startup from the limits of the process. Limits that are too small are
//! rejected there, with the number of missing bytes.

use crate::pool::Account;
use crate::purpose::{FIXED_PURPOSES, MAX_PATH_GROUPS, Purpose};
use crate::sizes::MIN_CAPACITY_BYTES;
use std::fmt;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Bytes that the program holds before it serves a client: text, stack, settings, executor. An idle marshal had a
/// resident size of 1.6 to 2.1 MiB (docs/results-memory.md).
const PROCESS_BASE_BYTES: usize = 2 * MIB;
/// The limit divided by this is left for the rounding of the allocator, and for the moment in which a growing buffer
/// exists beside its larger copy.
const SLACK_DIVISOR: usize = 8;

/// A client connection, with its task, its entries in the reactor and a small buffer: 2.5 to 2.7 KB measured.
pub const CLIENT_CONNECTION_BYTES: usize = 2 * KIB + MIN_CAPACITY_BYTES + MIN_CAPACITY_BYTES / 2;
/// A node connection, with its buffers and forwards: 3.6 to 3.9 KB measured.
pub const NODE_CONNECTION_BYTES: usize = 4 * KIB;
/// An in-flight hit without its command: 500 to 770 bytes measured, including the growth of its tables and the
/// records of three forwards with two timers each. `stonescale-lab sizes` measures this and the two sizes above
/// (docs/results-memory.md).
pub const HIT_BYTES: usize = KIB + KIB / 4;
/// A node: its list entry, its record in the core task, its names.
pub const NODE_RECORD_BYTES: usize = KIB;
/// Nodes that a list may name whatever the memory, as far as memory is free: 1,024, and as many that they replace.
const FULL_FLEET_NODES: usize = 2 * 1_024;
/// Bytes of a node's entry in the list, and how many times an entry is held while the list is read: the line, the
/// next line beside it, its parsed entries, and the capacity into which a line grows.
const LIST_ENTRY_BYTES: usize = 256;
const LIST_COPIES: usize = 4;
/// The largest message: a value of 64 KiB with its framing.
pub const MAX_MESSAGE_BYTES: usize = 68 * KIB;

/// Cap and reserve of a purpose, as fractions (0 to 1) of the memory left after the connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Most that the purpose may hold; [`Shares::check`] rejects zero.
    pub cap: f64,
    /// Part that no other purpose can use; [`Shares::check`] rejects more than the cap.
    pub reserve: f64,
}

/// The shares of the purposes whose size does not follow from the number of connections. `work` is for all path
/// groups together: each group may hold up to the cap, and has an equal part of the reserve.
#[derive(Clone, Debug, PartialEq)]
pub struct Shares {
    rows: Vec<(&'static str, Share)>,
}

/// Partial commands and client output have small reserves, a few whole messages, so that small hits pass beside a
/// flood of large ones. In-flight hits have the largest reserve, as the other purposes serve them.
const DEFAULT_SHARES: [(&str, Share); 9] = [
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
        Shares { rows: DEFAULT_SHARES.to_vec() }
    }
}

impl Shares {
    /// The names of the purposes that have a share.
    pub fn names() -> impl Iterator<Item = &'static str> {
        DEFAULT_SHARES.iter().map(|(name, _)| *name)
    }

    /// The share of a purpose by its name in the operator's file; `None` if there is no such purpose.
    pub fn get(&self, name: &str) -> Option<Share> {
        self.rows.iter().find(|(n, _)| *n == name).map(|(_, share)| *share)
    }

    /// Sets the share of a purpose; false if there is no such purpose.
    pub fn set(&mut self, name: &str, share: Share) -> bool {
        let row = self.rows.iter_mut().find(|(n, _)| *n == name);
        row.map(|row| row.1 = share).is_some()
    }

    /// Validates the shares, whatever the limits of the process.
    pub fn check(&self) -> Result<(), PlanError> {
        for (name, share) in &self.rows {
            let is_fraction = |x: f64| (0.0..=1.0).contains(&x);
            if !is_fraction(share.cap) || !is_fraction(share.reserve) {
                return Err(PlanError::NotAFraction(name));
            } else if share.cap == 0.0 {
                return Err(PlanError::ZeroCap(name));
            } else if share.reserve > share.cap {
                return Err(PlanError::ReserveAboveCap(name, *share));
            }
        }
        let sum: f64 = self.rows.iter().map(|(_, s)| s.reserve).sum();
        // Tolerates the rounding of a sum of ten.
        if sum > 1.0 + 1e-9 { Err(PlanError::ReservesAboveTotal(sum)) } else { Ok(()) }
    }
}

/// The limits of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Its memory limit.
    pub memory_bytes: usize,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum number of node connections.
    pub max_node_connections: usize,
    /// Number of path groups.
    pub path_groups: usize,
}

/// Why there can be no plan.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanError {
    /// The cap or reserve of this purpose is not a fraction from 0 to 1.
    NotAFraction(&'static str),
    ZeroCap(&'static str),
    /// The reserve of this purpose is greater than its cap.
    ReserveAboveCap(&'static str, Share),
    /// The sum of the reserves, as a fraction.
    ReservesAboveTotal(f64),
    /// The bytes by which the memory limit is too small, and the limit.
    InsufficientMemory {
        missing_bytes: usize,
        limit_bytes: usize,
    },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            PlanError::NotAFraction(name) => {
                write!(f, "{name}: cap and reserve must each be from 0 % to 100 %")
            }
            PlanError::ZeroCap(name) => write!(f, "{name}: a cap of 0 % would refuse every allocation"),
            PlanError::ReserveAboveCap(name, share) => {
                let (reserve, cap) = (share.reserve * 100.0, share.cap * 100.0);
                write!(f, "{name}: a reserve of {reserve:.0} % exceeds the cap of {cap:.0} %")
            }
            PlanError::ReservesAboveTotal(sum) => {
                write!(f, "the reserves add up to {:.0} %, more than 100 %", sum * 100.0)
            }
            PlanError::InsufficientMemory { missing_bytes, limit_bytes } => write!(
                f,
                "{} MiB is not enough for this number of descriptors and path groups: {} KiB are missing",
                limit_bytes / MIB,
                missing_bytes.div_ceil(KIB)
            ),
        }
    }
}

impl std::error::Error for PlanError {}

/// Caps and reserves in bytes.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Maximum number of bytes that all purposes may hold together.
    pub total_bytes: usize,
    /// In the order of [`Purpose::index`].
    pub accounts: Vec<(Purpose, Account)>,
}

impl Plan {
    /// Computes the accounts of all purposes. Fails if a share is invalid or the memory limit can't cover the
    /// reserves.
    pub fn new(limits: ProcessLimits, shares: &Shares) -> Result<Self, PlanError> {
        shares.check()?;
        let ProcessLimits { memory_bytes, max_clients, max_node_connections, path_groups } = limits;
        let total_bytes = (memory_bytes - memory_bytes / SLACK_DIVISOR).saturating_sub(PROCESS_BASE_BYTES);
        let (client_bytes, node_connection_bytes) =
            (max_clients * CLIENT_CONNECTION_BYTES, max_node_connections * NODE_CONNECTION_BYTES);
        let remaining_bytes = total_bytes.saturating_sub(client_bytes + node_connection_bytes);
        let path_groups = path_groups.clamp(1, MAX_PATH_GROUPS);
        let bytes = |fraction: f64| (fraction * remaining_bytes as f64) as usize;
        let purposes = FIXED_PURPOSES.into_iter().chain((0..path_groups).map(Purpose::in_flight));
        let account = |purpose: Purpose| {
            let share = shares.get(purpose.name()).unwrap_or(Share { cap: 0.0, reserve: 0.0 });
            let connection_bytes = match purpose {
                Purpose::Clients => client_bytes,
                Purpose::NodeConnections => node_connection_bytes,
                _ => 0,
            };
            let sharers = if matches!(purpose, Purpose::InFlight(_)) { path_groups } else { 1 };
            let reserve = (bytes(share.reserve) / sharers).max(Self::min_reserve_bytes(purpose));
            let cap = bytes(share.cap).max(reserve).max(Self::full_fleet_bytes(purpose).min(remaining_bytes));
            (purpose, Account::new(connection_bytes + cap, connection_bytes + reserve))
        };
        let accounts: Vec<_> = purposes.map(account).collect();
        let reserved: usize = accounts.iter().map(|(_, a)| a.reserve).sum();
        if reserved > total_bytes {
            // The smallest limit that covers the reserves, the slack included.
            let sufficient = (reserved + PROCESS_BASE_BYTES) * SLACK_DIVISOR / (SLACK_DIVISOR - 1) + 1;
            return Err(PlanError::InsufficientMemory {
                missing_bytes: sufficient.saturating_sub(memory_bytes),
                limit_bytes: memory_bytes,
            });
        }
        Ok(Plan { total_bytes, accounts })
    }

    /// The least reserve with which a purpose can work: one whole message where it holds messages.
    fn min_reserve_bytes(purpose: Purpose) -> usize {
        match purpose {
            Purpose::Clients => 0,
            Purpose::PartialCommands
            | Purpose::ClientOutput
            | Purpose::NodeConnections
            | Purpose::NodeReplies => MAX_MESSAGE_BYTES,
            // The command, and the memory into which its reply is copied.
            Purpose::InFlight(_) => MAX_MESSAGE_BYTES + HIT_BYTES,
            Purpose::Nodes => 32 * NODE_RECORD_BYTES,
            Purpose::Discovery => 64 * KIB,
            Purpose::Platform | Purpose::Log => 16 * KIB,
        }
    }

    /// The least cap for a fleet of many nodes. It is not part of the reserve, as most fleets are smaller.
    fn full_fleet_bytes(purpose: Purpose) -> usize {
        match purpose {
            Purpose::Nodes => FULL_FLEET_NODES * NODE_RECORD_BYTES,
            Purpose::Discovery => FULL_FLEET_NODES * LIST_ENTRY_BYTES * LIST_COPIES,
            _ => 0,
        }
    }

    /// The account of a purpose; all zero if it has none.
    pub fn account(&self, purpose: Purpose) -> Account {
        self.accounts.iter().find(|(p, _)| *p == purpose).map(|(_, a)| *a).unwrap_or_default()
    }
}
