//! A node: takes commands in order on each connection, works on them with its cores, answers after its manner, and
//! has moods. It notes what it was sent and what ran.

use crate::checker::Books;
use crate::stage::{Clock, Listener, Stage, Stream};
use crate::wire::{self, Message, Messages, field};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stonescale::time::Span;

/// What a node does with one command, in a story.
#[derive(Clone, Debug)]
pub enum Act {
    /// Says this, as it stands.
    Say(Vec<u8>),
    SayAndClose(Vec<u8>),
    /// Serves it, and says something more a moment later.
    SayMore(Vec<u8>),
    /// Serves it only once another command has come, on whatever connection.
    Hold,
    Nothing,
}

/// How a node takes what comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// Works by its manner.
    #[default]
    Well,
    /// Takes commands and says nothing.
    Silent,
    /// Works, and keeps the last byte of each answer until it is in another mood.
    Halting,
    /// Takes connections and never reads.
    Deaf,
    /// Resets every connection once a command came.
    Resetting,
    /// Resets every connection as it comes.
    Refusing,
}

/// How a node works while it is well.
#[derive(Clone, Debug)]
pub struct Manner {
    /// Commands worked on at once.
    pub cores: usize,
    /// Work of a command: its median, and the sigma of its logarithm.
    pub work: Duration,
    pub spread: f64,
    /// Bytes of a value.
    pub value: usize,
    /// Shares of the commands that fail, that are answered with what can't be read, and that are answered wrongly
    /// (with a value that was made for another).
    pub fails: f64,
    pub spoils: f64,
    pub lies: f64,
    /// More work for everything.
    pub drag: f64,
    /// Only this path group fails or drags, if one is named.
    pub only: Option<String>,
    /// For so long a mark is remembered.
    pub memory: Duration,
}

impl Default for Manner {
    fn default() -> Self {
        Manner {
            cores: 4,
            work: Duration::from_millis(2),
            spread: 0.3,
            value: 7,
            fails: 0.0,
            spoils: 0.0,
            lies: 0.0,
            drag: 1.0,
            only: None,
            memory: Duration::from_millis(1_000),
        }
    }
}

/// An answer that is still to go out.
struct Owed {
    at: Instant,
    text: Vec<u8>,
    /// The connection ends behind it.
    close: bool,
    /// It waits until so many commands were taken.
    after: u64,
}

impl Owed {
    fn at(at: Instant, text: Vec<u8>) -> Self {
        Owed { at, text, close: false, after: 0 }
    }
}

struct Inner {
    mood: Mood,
    manner: Manner,
    script: VecDeque<Act>,
    chance: Pcg64Mcg,
    /// When each core is free.
    cores: Vec<Instant>,
    taken: u64,
    connections: usize,
    /// Rises when the process dies: connections of an earlier one end.
    life: u64,
}

/// A handle to a node; clones are the same.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
    books: Books,
    told: Sender<Vec<String>>,
    /// What it was sent: the words of each command, and an empty row for each connection that ended.
    pub heard: Receiver<Vec<String>>,
    changed: Sender<()>,
    change: Receiver<()>,
    /// Closed, it takes no more connections.
    end: Sender<()>,
}

/// The load report of an answer, by the protocol page.
const REPORT: &str = "inflight=7,queue=2,util=0.61";
/// An answer that will not come, nor any behind it on its connection: answers keep their commands' order.
const NEVER: Duration = Duration::from_secs(86_400);
/// Commands noted for a story; what goes past it is forgotten.
const HEARD: usize = 4096;

impl Node {
    pub fn start(stage: &Stage, name: &str, seed: u64, manner: Manner, books: Books) -> Self {
        let (listener, addr) = stage.listen();
        let (told, heard) = async_channel::bounded(HEARD);
        let (changed, change) = async_channel::bounded(1);
        let (end, ended) = async_channel::bounded(1);
        let cores = vec![Instant::now(); manner.cores.max(1)];
        let inner = Inner {
            mood: Mood::default(),
            manner,
            script: VecDeque::new(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            cores,
            taken: 0,
            connections: 0,
            life: 0,
        };
        let inner = Arc::new(Mutex::new(inner));
        let clock = stage.clock;
        let node =
            Node { name: name.to_owned(), addr, inner, clock, books, told, heard, changed, change, end };
        let accept = node.clone().accept(stage.tasks(), listener);
        stage.spawn(or(accept, async move {
            let _ = ended.recv().await;
        }));
        node
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn mood(&self, mood: Mood) {
        self.lock().mood = mood;
    }

    pub fn manner(&self, change: impl FnOnce(&mut Manner)) {
        let mut inner = self.lock();
        change(&mut inner.manner);
        // What waited for a core is not waited for any more.
        inner.cores = vec![Instant::now(); inner.manner.cores.max(1)];
    }

    /// What it does with its next commands, before its manner counts again.
    pub fn script(&self, acts: impl IntoIterator<Item = Act>) {
        self.lock().script.extend(acts);
    }

    /// Its process dies and comes back: all connections end.
    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.life += 1;
        inner.cores.fill(Instant::now());
        drop(inner);
        let _ = self.changed.try_send(());
    }

    /// Its process ends for good.
    pub fn stop(&self) {
        self.restart();
        self.end.close();
    }

    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Commands that came whole.
    pub fn taken(&self) -> u64 {
        self.lock().taken
    }

    async fn accept(self, tasks: Arc<async_executor::Executor<'static>>, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.get_ref().set_nodelay(true);
            if self.lock().mood == Mood::Refusing {
                reset(stream);
                continue;
            }
            self.lock().connections += 1;
            let node = self.clone();
            let task = async move {
                let stream = Arc::new(stream);
                let life = node.lock().life;
                or(node.serve(&stream), node.dies(life)).await;
                node.lock().connections -= 1;
                let _ = stream.get_ref().shutdown(Shutdown::Both);
                let _ = node.told.try_send(Vec::new());
            };
            tasks.spawn(task).detach();
        }
    }

    async fn dies(&self, life: u64) {
        loop {
            if self.lock().life != life {
                return;
            }
            // One waiter takes the call: others look again soon.
            or(
                async {
                    let _ = self.change.recv().await;
                },
                async {
                    let _ = Timer::after(Duration::from_millis(20)).await;
                },
            )
            .await;
        }
    }

    /// One connection: commands are begun as they come, and answered in their order.
    async fn serve(&self, stream: &Arc<Stream>) {
        let mut messages = Messages::default();
        let mut owed: VecDeque<Owed> = VecDeque::new();
        let mut mute = false;
        loop {
            let mut deaf = false;
            while self.lock().mood == Mood::Deaf {
                deaf = true;
                Timer::after(Duration::from_millis(10)).await;
            }
            if deaf {
                // When what is unread was sent can't be told any more: for the books it never came.
                return;
            }
            // A command was passed over on it: answers behind that would be taken for its own.
            if mute && self.lock().mood != Mood::Silent {
                return;
            }
            let due = owed.front().map(|owed| (owed.at, owed.after));
            let next = async { Some(messages.next(&mut &**stream).await) };
            let answer = async {
                match due {
                    Some((at, after)) => {
                        Timer::at(at).await;
                        while self.taken() < after {
                            Timer::after(Duration::from_millis(1)).await;
                        }
                    }
                    None => futures_lite::future::pending().await,
                }
                None
            };
            match or(answer, next).await {
                None => {
                    let Some(Owed { text, close, .. }) = owed.pop_front() else { continue };
                    let halts = usize::from(self.lock().mood == Mood::Halting).min(text.len());
                    let (now, later) = text.split_at(text.len() - halts);
                    let wrote = wire::write(&mut &**stream, now).await;
                    while halts > 0 && self.lock().mood == Mood::Halting {
                        Timer::after(Duration::from_millis(5)).await;
                    }
                    let wrote = wrote.and(wire::write(&mut &**stream, later).await);
                    if wrote.is_err() || close {
                        return;
                    }
                }
                Some(Ok(Some(Message::Array(words)))) => {
                    let words: Vec<_> =
                        words.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
                    mute |= self.lock().mood == Mood::Silent;
                    if !self.takes(words, &mut owed).await {
                        reset_both(stream);
                        return;
                    }
                }
                Some(Ok(Some(_)) | Err(_)) => {
                    let _ = wire::write(&mut &**stream, b"-SYNTAX\r\n").await;
                    return;
                }
                Some(Ok(None)) => return,
            }
        }
    }

    /// Takes one command; false where the connection is to be reset.
    async fn takes(&self, words: Vec<String>, owed: &mut VecDeque<Owed>) -> bool {
        let now = Instant::now();
        let id = words.get(2).cloned().unwrap_or_default();
        let list = words.get(3).cloned().unwrap_or_default();
        let mark = field(&list, "k").map(str::to_owned);
        let (act, mood, taken) = {
            let mut inner = self.lock();
            inner.taken += 1;
            (inner.script.pop_front(), inner.mood, inner.taken)
        };
        self.books.lock().forwarded(&self.name, &id, self.clock.now());
        let _ = self.told.try_send(words);
        match (act, mood) {
            (_, Mood::Resetting) => {
                self.ran(&id, mark.as_deref());
                return false;
            }
            (Some(Act::Nothing), _) => owed.push_back(Owed::at(now + NEVER, Vec::new())),
            (None, Mood::Silent | Mood::Deaf | Mood::Refusing) => {}
            (Some(Act::Say(text)), _) => {
                if text.starts_with(b"-BUSY") {
                    self.books.lock().refused(&id);
                }
                owed.push_back(Owed::at(now, text));
            }
            (Some(Act::SayAndClose(text)), _) => owed.push_back(Owed { close: true, ..Owed::at(now, text) }),
            (Some(Act::SayMore(text)), _) => {
                self.ran(&id, mark.as_deref());
                owed.push_back(Owed::at(now, value(&id, 7)));
                owed.push_back(Owed::at(now + Duration::from_millis(1), text));
            }
            (Some(Act::Hold), _) => {
                self.ran(&id, mark.as_deref());
                owed.push_back(Owed { after: taken + 1, ..Owed::at(now, value(&id, 7)) });
            }
            (None, Mood::Well | Mood::Halting) => {
                let (ready, text) = self.works(&id, &list);
                self.ran(&id, mark.as_deref());
                // Answers go out in the commands' order.
                let ready = owed.back().map_or(ready, |last| ready.max(last.at));
                owed.push_back(Owed::at(ready, text));
            }
        }
        true
    }

    /// Draws what becomes of a command, and when.
    fn works(&self, id: &str, list: &str) -> (Instant, Vec<u8>) {
        let mut inner = self.lock();
        let Inner { manner, chance, cores, .. } = &mut *inner;
        let concerns = manner.only.as_deref().is_none_or(|only| field(list, "c") == Some(only));
        let part = |share: f64| if concerns { share } else { 0.0 };
        let drawn = LogNormal::new(0.0, manner.spread.max(0.0)).map_or(1.0, |d| d.sample(chance));
        let work = manner.work.mul_f64(drawn * if concerns { manner.drag } else { 1.0 });
        let now = Instant::now();
        let free = cores.iter_mut().min().expect("a node has cores");
        let ready = (*free).max(now) + work;
        *free = ready;
        let luck: f64 = chance.random_range(0.0..1.0);
        let text = if luck < part(manner.fails) {
            format!("-ERR failed {REPORT}\r\n").into_bytes()
        } else if luck < part(manner.fails) + manner.spoils {
            spoilt(chance)
        } else if luck < part(manner.fails) + manner.spoils + part(manner.lies) {
            value("another", manner.value)
        } else {
            value(id, manner.value)
        };
        (ready, text)
    }

    /// Notes that a command's work was done, unless it is known as a repeat.
    fn ran(&self, id: &str, mark: Option<&str>) {
        let now = self.clock.now();
        let memory = Span::nanos(self.lock().manner.memory.as_nanos() as u64);
        let mut books = self.books.lock();
        // All nodes together drop repeats.
        if !mark.is_some_and(|mark| books.repeats(mark, memory, now)) {
            books.ran(&self.name, id, now);
        }
    }
}

/// A value made for one hit: its own id stands in it, so that a client can tell.
fn value(id: &str, size: usize) -> Vec<u8> {
    let mut text = id.as_bytes().to_vec();
    text.resize(size.max(text.len()), b'.');
    let mut out = b"*3\r\n".to_vec();
    stonescale_formats::resp::write_bulk_string(&mut out, &text);
    out.extend_from_slice(b"$-1\r\n");
    stonescale_formats::resp::write_bulk_string(&mut out, REPORT.as_bytes());
    out
}

/// One of the ways in which an answer can be spoilt.
fn spoilt(chance: &mut Pcg64Mcg) -> Vec<u8> {
    let kinds: [&[u8]; 5] = [
        b"\x00\x17noise\xff\xff\r\n",
        b"*3\r\n$70000000\r\nva",
        b"*1\r\n$5\r\nvalue-without-its-end",
        b"-ERR a line that does not end",
        b"*x\r\n",
    ];
    kinds[chance.random_range(0..kinds.len())].to_vec()
}

/// Ends a connection with a reset.
fn reset(stream: Stream) {
    // Unread bytes would do it as well; a linger of nothing does it always.
    let _ = socket_linger(&stream);
    drop(stream);
}

fn reset_both(stream: &Arc<Stream>) {
    let _ = socket_linger(stream);
}

/// Closing resets from now on: with nothing lingering, what is unsent is dropped.
fn socket_linger(stream: &Stream) -> std::io::Result<()> {
    rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO)).map_err(Into::into)
}
