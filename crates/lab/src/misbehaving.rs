//! Misbehaving clients. The checker counts their hits as traffic but does not check them against the rules: tests check
//! how the other clients are served meanwhile.

use crate::checker::SharedChecker;
use crate::load::{HitKind, encode_hit};
use crate::runtime::{Clock, Runtime, Stream};
use crate::site::PathGroup;
use crate::wire::{self, MessageReader};
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::future::or;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// How a client misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Sends hits under new idempotency keys, each as soon as the last is answered.
    Flood,
    /// Sends hits and never reads an answer.
    NeverReads,
    /// Sends a command except for its last byte, and waits.
    IncompleteCommand,
    /// Connects and sends nothing.
    SendsNothing,
    /// Sends a hit and closes the connection at once.
    DisconnectsAtOnce,
    /// Sends one hit, and keeps the connection open and idle.
    StaysIdle,
}

/// A group of misbehaving clients, each with one connection at a time; they stop when this is dropped.
pub struct MisbehavingClients {
    stopping: Arc<AtomicBool>,
    /// Hits sent by all of them, including incomplete ones.
    pub sent: Arc<AtomicU64>,
    /// Answers read by all of them; only `Flood` and `StaysIdle` read any.
    pub answered: Arc<AtomicU64>,
}

impl MisbehavingClients {
    /// Starts `count` clients of the marshal at `addr`; their hits are of this path group and kind.
    pub fn start(
        runtime: &Runtime, checker: &SharedChecker, misbehavior: Misbehavior, count: usize, addr: SocketAddr,
        (group, kind): (&PathGroup, &HitKind),
    ) -> Self {
        // The ids of a later group must not repeat those of an earlier one.
        static GROUPS: AtomicU64 = AtomicU64::new(0);
        let first_sequence = (GROUPS.fetch_add(1, Ordering::Relaxed) % MAX_GROUPS) << GROUP_SHIFT;
        let stopping = Arc::new(AtomicBool::new(false));
        let (sent, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        for index in 0..count {
            let client = MisbehavingClient {
                misbehavior,
                addr,
                group: group.clone(),
                kind: kind.clone(),
                sequence: first_sequence | (index as u64) << CLIENT_SHIFT,
                stopping: stopping.clone(),
                sent: sent.clone(),
                answered: answered.clone(),
                checker: checker.clone(),
                clock: runtime.clock,
            };
            runtime.spawn(client.run());
        }
        MisbehavingClients { stopping, sent, answered }
    }
}

impl Drop for MisbehavingClients {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
    }
}

struct MisbehavingClient {
    misbehavior: Misbehavior,
    addr: SocketAddr,
    group: PathGroup,
    kind: HitKind,
    /// Sequence number of the last hit, with those of the group and of the client in its upper bits.
    sequence: u64,
    stopping: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
    checker: SharedChecker,
    clock: Clock,
}

/// Position of the client's index and of the group's number in a sequence number, of which an id holds 60 bits.
const CLIENT_SHIFT: u32 = 32;
const GROUP_SHIFT: u32 = 48;
const MAX_GROUPS: u64 = 1 << 12;
/// Pause before a client reconnects, so that failing connections do not cause a busy loop.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

impl MisbehavingClient {
    async fn run(mut self) {
        let stopping = self.stopping.clone();
        let stopped = async {
            while !stopping.load(Ordering::SeqCst) {
                Timer::after(Duration::from_millis(10)).await;
            }
        };
        let connect_loop = async {
            loop {
                if let Ok(stream) = Stream::connect(self.addr).await {
                    let _ = self.misbehave(&stream).await;
                }
                Timer::after(RECONNECT_DELAY).await;
            }
        };
        or(stopped, connect_loop).await;
    }

    /// The command of the next hit, which is counted as sent.
    fn next_command(&mut self) -> Vec<u8> {
        self.sequence += 1;
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.checker.lock().hit_received(self.clock.now());
        let id = format!("f{:015x}", self.sequence);
        encode_hit(&self.group, &id, self.sequence, self.sequence, &self.kind, false).0
    }

    async fn misbehave(&mut self, stream: &Stream) -> std::io::Result<()> {
        let mut messages = MessageReader::default();
        match self.misbehavior {
            Misbehavior::Flood => loop {
                let command = self.next_command();
                wire::write(&mut &*stream, &command).await?;
                match messages.next(&mut &*stream).await? {
                    Some(_) => self.answered.fetch_add(1, Ordering::Relaxed),
                    None => return Ok(()),
                };
            },
            Misbehavior::NeverReads => loop {
                let command = self.next_command();
                wire::write(&mut &*stream, &command).await?;
                Timer::after(Duration::from_millis(5)).await;
            },
            Misbehavior::IncompleteCommand => {
                let command = self.next_command();
                wire::write(&mut &*stream, &command[..command.len() - 1]).await?;
                self.until_closed(stream).await
            }
            Misbehavior::SendsNothing => self.until_closed(stream).await,
            Misbehavior::DisconnectsAtOnce => {
                let command = self.next_command();
                wire::write(&mut &*stream, &command).await
            }
            Misbehavior::StaysIdle => {
                let command = self.next_command();
                wire::write(&mut &*stream, &command).await?;
                messages.next(&mut &*stream).await?;
                self.answered.fetch_add(1, Ordering::Relaxed);
                self.until_closed(stream).await
            }
        }
    }

    /// Reads and discards until the other side closes.
    async fn until_closed(&self, mut stream: &Stream) -> std::io::Result<()> {
        let mut scratch = [0; 1024];
        while stream.read(&mut scratch).await? > 0 {}
        Ok(())
    }
}
