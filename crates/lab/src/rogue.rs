//! Clients that misbehave, by the kind. None of their hits is in the books: what counts is what becomes of the others.

use crate::checker::Books;
use crate::load::{Kind, words};
use crate::site::Group;
use crate::stage::{Clock, Stage, Stream};
use crate::wire::{self, Messages};
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::future::or;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Sends hits with large bodies under new marks, the next as soon as one is answered.
    Flood,
    /// Sends hits and never reads an answer.
    NeverReads,
    /// Sends a command with a large body but for its last byte, and waits.
    Half,
    /// Connects and says nothing.
    Mute,
    /// Sends a hit and leaves at once.
    Leaves,
    /// Asks once and keeps its connection.
    Stays,
}

/// A crowd of such clients, each with a connection at a time; dropped, they leave.
pub struct Rogues {
    ended: Arc<AtomicBool>,
    /// Hits they sent, and answers they read.
    pub sent: Arc<AtomicU64>,
    pub answered: Arc<AtomicU64>,
}

impl Rogues {
    pub fn start(
        stage: &Stage, books: &Books, manner: Manner, many: usize, addr: SocketAddr,
        (group, kind): (&Group, &Kind),
    ) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let (sent, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        for at in 0..many {
            let rogue = Rogue {
                manner,
                addr,
                group: group.clone(),
                kind: kind.clone(),
                number: (at as u64) << 32,
                ended: ended.clone(),
                sent: sent.clone(),
                answered: answered.clone(),
                books: books.clone(),
                clock: stage.clock,
            };
            stage.spawn(rogue.run());
        }
        Rogues { ended, sent, answered }
    }
}

impl Drop for Rogues {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

struct Rogue {
    manner: Manner,
    addr: SocketAddr,
    group: Group,
    kind: Kind,
    number: u64,
    ended: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
    books: Books,
    clock: Clock,
}

/// Between a connection that ended and the next one, so that nobody spins.
const AGAIN: Duration = Duration::from_millis(20);

impl Rogue {
    async fn run(mut self) {
        let ended = self.ended.clone();
        let over = async {
            while !ended.load(Ordering::SeqCst) {
                Timer::after(Duration::from_millis(10)).await;
            }
        };
        let go = async {
            loop {
                if let Ok(stream) = Stream::connect(self.addr).await {
                    let _ = self.misbehave(&stream).await;
                }
                Timer::after(AGAIN).await;
            }
        };
        or(over, go).await;
    }

    fn command(&mut self) -> Vec<u8> {
        self.number += 1;
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.books.lock().taken(self.clock.now());
        let id = format!("f{:015x}", self.number);
        words(&self.group, &id, self.number, self.number, &self.kind, false).0
    }

    async fn misbehave(&mut self, stream: &Stream) -> std::io::Result<()> {
        let mut messages = Messages::default();
        match self.manner {
            Manner::Flood => loop {
                let text = self.command();
                wire::write(&mut &*stream, &text).await?;
                match messages.next(&mut &*stream).await? {
                    Some(_) => self.answered.fetch_add(1, Ordering::Relaxed),
                    None => return Ok(()),
                };
            },
            Manner::NeverReads => loop {
                let text = self.command();
                wire::write(&mut &*stream, &text).await?;
                Timer::after(Duration::from_millis(5)).await;
            },
            Manner::Half => {
                let text = self.command();
                wire::write(&mut &*stream, &text[..text.len() - 1]).await?;
                self.until_closed(stream).await
            }
            Manner::Mute => self.until_closed(stream).await,
            Manner::Leaves => {
                let text = self.command();
                wire::write(&mut &*stream, &text).await
            }
            Manner::Stays => {
                let text = self.command();
                wire::write(&mut &*stream, &text).await?;
                messages.next(&mut &*stream).await?;
                self.answered.fetch_add(1, Ordering::Relaxed);
                self.until_closed(stream).await
            }
        }
    }

    /// Waits, and reads what comes, until the other side closes.
    async fn until_closed(&self, mut stream: &Stream) -> std::io::Result<()> {
        let mut scratch = [0; 1024];
        while stream.read(&mut scratch).await? > 0 {}
        Ok(())
    }
}
