//! Clients of the seeded soaks: those that use an open connection until it ends, and a crowd that holds half a command each.

use crate::checker::SharedChecker;
use crate::load::HitKind;
use crate::raw_client::{RawClient, SentUntilClosed, TestHit, send_until_closed};
use crate::runtime::Clock;
use crate::site::{MUTATING, PathGroup};
use crate::wire::encode_command;
use crate::world::World;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of the first hit of the clients that last; those of others are below it.
const FIRST_LASTING_HIT: u64 = 1 << 42;
/// Numbers that a client that lasts may use.
const HITS_PER_LASTING_CLIENT_LOG2: u32 = 32;
/// Time between two commands of such a client.
const LASTING_GAP: Duration = Duration::from_millis(25);
/// Time for which the client of a soak's hit waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);

/// What a client needs to send hits and to record them.
#[derive(Clone)]
pub struct ClientSite {
    pub addr: SocketAddr,
    pub checker: SharedChecker,
    pub clock: Clock,
    pub groups: Vec<PathGroup>,
}

impl ClientSite {
    /// The site of a running marshal.
    pub fn of(world: &World) -> Self {
        ClientSite {
            addr: world.program.addr,
            checker: world.checker.clone(),
            clock: world.runtime.clock,
            groups: world.path_groups.clone(),
        }
    }

    /// A hit whose id is this number.
    pub fn hit(&self, number: u64, group: usize) -> TestHit<'_> {
        let kind = HitKind { group, share: 1.0, body_bytes: 4, client_timeout: CLIENT_TIMEOUT };
        TestHit { id: format!("{number:016x}"), group: &self.groups[group], kind }
    }

    /// Clients that use their open connections until these end.
    pub fn start_lasting_clients(&self, count: u64) -> Vec<JoinHandle<SentUntilClosed>> {
        let start = |connection: u64| {
            let site = self.clone();
            std::thread::spawn(move || {
                let client = RawClient::connect(site.addr).expect("the marshal accepts connections");
                let first = FIRST_LASTING_HIT + (connection << HITS_PER_LASTING_CLIENT_LOG2);
                let commands = (first..).map(|number| site.hit(number, MUTATING).encode());
                send_until_closed(client, commands, LASTING_GAP).expect("a socket has a second handle")
            })
        };
        (0..count).map(start).collect()
    }

    /// A crowd of clients that hold half a command each, and connect again when they are closed, until `stopping` is set.
    pub fn hold_half_commands(&self, count: usize, stopping: &AtomicBool) {
        let command =
            encode_command(&[b"SVC.SUBMIT", b"1", b"9b1f", b"c=book,t=acme,d=900", &vec![b'b'; 30_000]]);
        let mut clients: Vec<Option<TcpStream>> = (0..count).map(|_| None).collect();
        while !stopping.load(Ordering::SeqCst) {
            for client in &mut clients {
                let closed = client.as_ref().is_none_or(|stream| {
                    stream.set_nonblocking(true).is_err() || stream.peek(&mut [0]).is_ok()
                });
                if closed {
                    *client = TcpStream::connect_timeout(&self.addr, Duration::from_millis(100)).ok();
                    if let Some(stream) = client {
                        let _ = stream.write_all(&command[..command.len() / 2]);
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Commands of clients that last which got no answer, as one line; empty if all were answered.
pub fn unanswered_of_lasting(clients: Vec<JoinHandle<SentUntilClosed>>) -> String {
    let mut text = String::new();
    for client in clients {
        let Ok(SentUntilClosed { sent_in_time, answered }) = client.join() else {
            text += "a lasting client failed\n";
            continue;
        };
        if answered < sent_in_time {
            text += &format!("{answered} of {sent_in_time} commands of a lasting connection were answered\n");
        }
    }
    text
}
