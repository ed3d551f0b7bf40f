//! Reasons why a forward or the connection that carried it ended, and the outcome each one is reported as.

use prometheus_client::encoding::EncodeLabelValue;
use std::io::Error;
use stonescale::host::ForwardOutcome;
use stonescale_connection::socket_errors::{ConnectFailure, classify_connect_error};

/// Why a forward or the connection that carried it ended. Log lines print the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum EndReason {
    /// The node replied with a value.
    Served,
    /// The node replied that it failed.
    SaidFailed,
    /// The node rejected the forward without running it.
    SaidBusy,
    /// The connection was refused.
    Refused,
    /// The connection was not established within the connect timeout.
    NeverUp,
    /// No file descriptor, local address or memory was left for a connection.
    NoSocket,
    /// The node closed the connection, or sent input on it that no forward had asked for.
    Closed,
    /// The connection failed with an I/O error.
    Broken,
    /// The node's bytes were not a valid reply to any forward sent, the rest of a reply did not arrive in time, or there
    /// was no memory for the value.
    Garbled,
    /// The node was listed with a start time later than the connection's opening.
    Restarted,
    /// The node was listed as draining, as removed or with another address, or left out of a full list, before the
    /// forward was written.
    Withdrawn,
    /// The node is not in the list, or the hit was already answered.
    NoSuchNode,
    /// The forward timed out.
    WaitedOut,
    /// The decision module cancelled the forward.
    CalledOff,
    /// The connection was closed while idle: it exceeded its idle time, it was drained, or a connection to another node
    /// needed its place.
    Idle,
}

impl EndReason {
    /// Maps an error from establishing a connection.
    pub fn from_connect_error(error: &Error) -> Self {
        match classify_connect_error(error) {
            ConnectFailure::Refused => EndReason::Refused,
            ConnectFailure::TimedOut => EndReason::NeverUp,
            ConnectFailure::NoLocalResources => EndReason::NoSocket,
            ConnectFailure::Unreachable => EndReason::Broken,
        }
    }

    /// Maps the reason to a forward outcome by the protocol page's table; `sent` tells whether the forward's
    /// last byte was written.
    pub fn outcome(self, sent: bool) -> ForwardOutcome {
        match (self, sent) {
            (EndReason::Served, _) => ForwardOutcome::Ok,
            (EndReason::SaidFailed, _) => ForwardOutcome::Error,
            (EndReason::SaidBusy, _) => ForwardOutcome::Rejected,
            (EndReason::WaitedOut, true) => ForwardOutcome::TimedOut,
            (EndReason::CalledOff, true) => ForwardOutcome::Cancelled,
            (
                EndReason::CalledOff | EndReason::Withdrawn | EndReason::NoSuchNode | EndReason::NoSocket,
                false,
            ) => ForwardOutcome::Unsent,
            (_, false) => ForwardOutcome::Unreached,
            (_, true) => ForwardOutcome::Reset,
        }
    }
}
