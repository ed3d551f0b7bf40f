//! Each error that Linux documents for accept, socket and connect, and what follows from it.

use rustix::io::Errno;
use std::io::{Error, ErrorKind};
use stonescale_connection::socket_errors::{
    AcceptFailure, ConnectFailure, classify_accept_error, classify_connect_error,
};

#[test]
fn accept_goes_on_at_once_where_only_one_connection_is_lost() {
    let passing = [
        Errno::INTR,
        Errno::CONNABORTED,
        Errno::PERM,
        Errno::PROTO,
        Errno::NETDOWN,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
    ];
    for errno in passing {
        assert_eq!(classify_accept_error(&errno.into()), AcceptFailure::TryNext, "{errno:?}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::INVAL] {
        assert_eq!(classify_accept_error(&errno.into()), AcceptFailure::OutOfResources, "{errno:?}");
    }
    assert_eq!(classify_accept_error(&Errno::AGAIN.into()), AcceptFailure::NoneWaiting);
}

#[test]
fn a_lack_of_local_resources_is_not_held_against_the_peer() {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NOSPC,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::AGAIN,
    ];
    for errno in local {
        assert_eq!(classify_connect_error(&errno.into()), ConnectFailure::NoLocalResources, "{errno:?}");
    }
    for errno in [Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::CONNRESET, Errno::PERM, Errno::ACCESS] {
        assert_eq!(classify_connect_error(&errno.into()), ConnectFailure::Unreachable, "{errno:?}");
    }
    assert_eq!(classify_connect_error(&Errno::CONNREFUSED.into()), ConnectFailure::Refused);
    assert_eq!(classify_connect_error(&Errno::TIMEDOUT.into()), ConnectFailure::TimedOut);
    assert_eq!(classify_connect_error(&Error::from(ErrorKind::TimedOut)), ConnectFailure::TimedOut);
}
