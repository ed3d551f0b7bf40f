//! What an error of a socket call means for the call that follows: accept(2), socket(2) and connect(2) of Linux.

use rustix::io::Errno;
use std::io::Error;

/// What to do after accept failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection waits: wait for the next event.
    NoneWaiting,
    /// Only this connection is lost, or nothing at all: accept the next one at once.
    TryNext,
    /// Descriptors or memory have run out, or the error is unknown: make room, and try again later.
    OutOfResources,
}

/// Why a connection could not be established. In each case nothing was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The peer's host refused it.
    Refused,
    /// There was no answer in time.
    TimedOut,
    /// This host has no descriptor, address, port or memory for it: the peer is not to blame.
    NoLocalResources,
    /// The peer can't be reached, or the connection failed otherwise.
    Unreachable,
}

/// Classifies an error of accept, which also reports network errors that are pending on the new connection.
pub fn classify_accept_error(error: &Error) -> AcceptFailure {
    match Errno::from_io_error(error) {
        Some(Errno::AGAIN) => AcceptFailure::NoneWaiting,
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::CONNRESET
            | Errno::PERM
            | Errno::PROTO
            | Errno::NETDOWN
            | Errno::NOPROTOOPT
            | Errno::HOSTDOWN
            | Errno::NONET
            | Errno::HOSTUNREACH
            | Errno::OPNOTSUPP
            | Errno::NETUNREACH
            | Errno::TIMEDOUT,
        ) => AcceptFailure::TryNext,
        _ => AcceptFailure::OutOfResources,
    }
}

/// Classifies an error of socket or connect, at once or later.
pub fn classify_connect_error(error: &Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        Some(Errno::CONNREFUSED) => ConnectFailure::Refused,
        Some(Errno::TIMEDOUT) => ConnectFailure::TimedOut,
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            // The limit of descriptors watched by epoll.
            | Errno::NOSPC
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::AGAIN,
        ) => ConnectFailure::NoLocalResources,
        // A deadline of the program's own has no number of the system.
        None if error.kind() == std::io::ErrorKind::TimedOut => ConnectFailure::TimedOut,
        _ => ConnectFailure::Unreachable,
    }
}
