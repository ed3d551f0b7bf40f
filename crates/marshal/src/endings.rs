//! Every way in which a forward's connection can end it, and what that means to the module.

use std::io::{Error, ErrorKind};
use stonescale::host::ForwardOutcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The node's value came.
    Served,
    /// The node answered that it failed.
    SaidFailed,
    /// The node turned it away unseen.
    SaidBusy,
    /// The connection was refused.
    Refused,
    /// The connection didn't come up in time.
    NeverUp,
    /// No descriptor or address was left for a connection.
    NoSocket,
    /// The node ended the connection.
    Closed,
    /// The connection broke.
    Broken,
    /// What came back was no answer to anything sent.
    Garbled,
    /// The node was listed as started anew since the connection was opened.
    Restarted,
    /// The node was listed as draining or gone before the forward was written.
    Withdrawn,
    /// The list names no such node, or the hit was over.
    NoSuchNode,
    /// The marshal stopped waiting.
    WaitedOut,
    /// The module called it off.
    CalledOff,
    /// The connection had stood idle long enough.
    Idle,
}

impl Ending {
    /// Of a connection that failed to come up.
    pub fn of_connect(error: &Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Ending::Refused,
            ErrorKind::TimedOut => Ending::NeverUp,
            ErrorKind::AddrNotAvailable | ErrorKind::AddrInUse => Ending::NoSocket,
            // Out of descriptors, of the process or of the system.
            _ if matches!(error.raw_os_error(), Some(23 | 24)) => Ending::NoSocket,
            _ => Ending::Broken,
        }
    }

    /// The protocol page's table; `sent` tells whether the forward's last byte had been written.
    pub fn fate(self, sent: bool) -> ForwardOutcome {
        match (self, sent) {
            (Ending::Served, _) => ForwardOutcome::Ok,
            (Ending::SaidFailed, _) => ForwardOutcome::Error,
            (Ending::SaidBusy, _) => ForwardOutcome::Rejected,
            (Ending::WaitedOut, true) => ForwardOutcome::TimedOut,
            (Ending::CalledOff, true) => ForwardOutcome::Cancelled,
            (Ending::CalledOff | Ending::Withdrawn | Ending::NoSuchNode | Ending::NoSocket, false) => {
                ForwardOutcome::Unsent
            }
            (_, false) => ForwardOutcome::Unreached,
            (_, true) => ForwardOutcome::Reset,
        }
    }
}
