//! The reactor's system calls. In debug builds some can be made to fail as Linux documents, by a plan (`system_faults.rs`);
//! release builds call the system alone.

use rustix::event::Timespec;
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use rustix::io::{Errno, Result};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};

/// A call that a plan can make fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Socket,
    Connect,
    /// The connection that was being established fails later.
    ConnectLater,
    SetOption,
    EpollAdd,
    EpollWait,
    /// Only one event is returned.
    FewerEvents,
    /// Sockets count as ready that are not.
    SpuriousEvents,
}

/// The error with which this call is to fail, if it is.
#[cfg(debug_assertions)]
fn draw(call: Call) -> Option<Errno> {
    crate::system_faults::draw(call)
}

#[cfg(not(debug_assertions))]
fn draw(_: Call) -> Option<Errno> {
    None
}

fn fail_by_plan(call: Call) -> Result<()> {
    draw(call).map_or(Ok(()), Err)
}

/// A non-blocking TCP socket.
pub fn tcp_socket(family: AddressFamily) -> Result<OwnedFd> {
    fail_by_plan(Call::Socket)?;
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    rustix::net::socket_with(family, SocketType::STREAM, flags, None)
}

/// Begins to connect.
pub fn connect(socket: impl AsFd, addr: &SocketAddr) -> Result<()> {
    match draw(Call::Connect) {
        // An interrupted connect goes on in the background.
        Some(Errno::INTR) => rustix::net::connect(socket, addr).and(Err(Errno::INTR)),
        Some(errno) => Err(errno),
        None => rustix::net::connect(socket, addr),
    }
}

/// The error with which a connection ended that was being established.
pub fn take_connect_error(stream: &TcpStream) -> std::io::Result<Option<std::io::Error>> {
    let error = stream.take_error()?;
    Ok(error.or(draw(Call::ConnectLater).map(Into::into)))
}

/// Turns off Nagle's algorithm.
pub fn set_nodelay(socket: impl AsFd) -> Result<()> {
    fail_by_plan(Call::SetOption)?;
    rustix::net::sockopt::set_tcp_nodelay(socket, true)
}

/// Selects a congestion control by its name.
pub fn set_congestion_control(socket: impl AsFd, name: &str) -> Result<()> {
    fail_by_plan(Call::SetOption)?;
    rustix::net::sockopt::set_tcp_congestion(socket, name)
}

/// Adds a descriptor to an epoll set.
pub fn epoll_add(epoll: impl AsFd, socket: impl AsFd, data: EventData, flags: EventFlags) -> Result<()> {
    fail_by_plan(Call::EpollAdd)?;
    epoll::add(epoll, socket, data, flags)
}

/// Waits for events and appends them, as many as there is room for.
pub fn epoll_wait(epoll: impl AsFd, events: &mut Vec<Event>, timeout: &Timespec) -> Result<()> {
    fail_by_plan(Call::EpollWait)?;
    if draw(Call::FewerEvents).is_some() {
        let mut first = Vec::with_capacity(1);
        epoll::wait(epoll, rustix::buffer::spare_capacity(&mut first), Some(timeout))?;
        events.append(&mut first);
        return Ok(());
    }
    epoll::wait(epoll, rustix::buffer::spare_capacity(events), Some(timeout)).map(|_| ())
}

/// Whether the sockets are to be treated as ready although no event said so.
pub fn has_spurious_events() -> bool {
    draw(Call::SpuriousEvents).is_some()
}
