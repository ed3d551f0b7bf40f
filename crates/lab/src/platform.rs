//! The platform: tells where the newest build stands, takes votes.

use crate::checker::Books;
use crate::stage::{Clock, Listener, Stage, Stream};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A sign of life comes so often.
const BEAT: Duration = Duration::from_secs(1);
/// A line of so many bytes ends the connection.
const LINE: usize = 8 * 1024;

/// Where the newest build stands.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    pub build: u16,
    pub stage: u8,
    /// `testing`, `recalling`, `live` or `recalled`.
    pub phase: &'static str,
    pub cap: f64,
}

impl News {
    pub fn live(build: u16) -> Self {
        News { build, stage: 2, phase: "live", cap: 1.0 }
    }

    pub fn testing(build: u16, stage: u8, cap: f64) -> Self {
        News { build, stage, phase: "testing", cap }
    }

    pub fn json(&self, age_ms: u128) -> Value {
        json!({"build": self.build, "stage": self.stage, "phase": self.phase, "cap": self.cap, "age_ms": age_ms as u64})
    }
}

/// A vote that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    pub build: u64,
    pub stage: u64,
    pub verdict: String,
}

struct Inner {
    news: News,
    since: Instant,
    watches: Vec<Sender<String>>,
    votes: Vec<(Instant, Vote)>,
    /// Calls stand unanswered, and no sign of life comes.
    silent: bool,
    /// Rises when all connections are to end.
    cut: u64,
}

/// A handle to the platform; clones are the same.
#[derive(Clone)]
pub struct Platform {
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
    books: Books,
    told: Sender<String>,
    /// The lines that came.
    pub heard: Receiver<String>,
}

impl Platform {
    pub fn start(stage: &Stage, news: News, books: Books) -> Self {
        let (listener, addr) = stage.listen();
        let (told, heard) = async_channel::bounded(4096);
        let (watches, votes) = (Vec::new(), Vec::new());
        let inner = Inner { news, since: Instant::now(), watches, votes, silent: false, cut: 0 };
        let inner = Arc::new(Mutex::new(inner));
        let platform = Platform { addr, inner, clock: stage.clock, books, told, heard };
        platform.note();
        stage.spawn(platform.clone().accept(stage.tasks(), listener));
        platform
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self) {
        let News { build, phase, cap, .. } = self.lock().news;
        self.books.lock().staged(build, phase == "testing" || phase == "recalling", cap, self.clock.now());
    }

    pub fn news(&self) -> News {
        self.lock().news.clone()
    }

    /// The newest build stands elsewhere from now on.
    pub fn tell(&self, news: News) {
        {
            let mut inner = self.lock();
            (inner.news, inner.since) = (news, Instant::now());
        }
        self.note();
        let mut inner = self.lock();
        let line = notice("progress", inner.news.json(0));
        inner.watches.retain(|watch| watch.try_send(line.clone()).is_ok());
    }

    /// Sends a line as it stands to all that subscribed.
    pub fn say(&self, line: &str) {
        self.lock().watches.retain(|watch| watch.try_send(line.to_owned()).is_ok());
    }

    pub fn silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Ends all connections.
    pub fn cut(&self) {
        self.lock().cut += 1;
    }

    /// The latest vote on a build that was cast since `life` ago, if any.
    pub fn vote_on(&self, build: u16, life: Duration) -> Option<Vote> {
        let inner = self.lock();
        let fits = |(at, vote): &&(Instant, Vote)| vote.build == u64::from(build) && at.elapsed() < life;
        inner.votes.iter().rev().find(fits).map(|(_, vote)| vote.clone())
    }

    async fn accept(self, tasks: Arc<async_executor::Executor<'static>>, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let platform = self.clone();
            let task = async move {
                let cut = platform.lock().cut;
                or(async { drop(platform.serve(&stream).await) }, platform.ends(cut)).await;
                let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
            };
            tasks.spawn(task).detach();
        }
    }

    async fn ends(&self, cut: u64) {
        while self.lock().cut == cut {
            Timer::after(Duration::from_millis(10)).await;
        }
    }

    async fn serve(&self, stream: &Stream) -> std::io::Result<()> {
        let (mut held, mut scratch) = (Vec::new(), [0; 4096]);
        let (send, lines) = async_channel::bounded(1024);
        let mut beat = Instant::now() + BEAT;
        enum Next {
            Read(std::io::Result<usize>),
            Line(String),
            Beat,
        }
        loop {
            let read = async { Next::Read((&mut &*stream).read(&mut scratch).await) };
            let line = async {
                match lines.recv().await {
                    Ok(line) => Next::Line(line),
                    Err(_) => futures_lite::future::pending().await,
                }
            };
            let due = async {
                Timer::at(beat).await;
                Next::Beat
            };
            let silent = self.lock().silent;
            match or(line, or(read, due)).await {
                Next::Line(line) => (&mut &*stream).write_all(format!("{line}\n").as_bytes()).await?,
                Next::Beat => {
                    beat = Instant::now() + BEAT;
                    if !silent && self.lock().watches.iter().any(|w| w.same_channel(&send)) {
                        (&mut &*stream)
                            .write_all(format!("{}\n", notice("ping", json!({}))).as_bytes())
                            .await?;
                    }
                }
                Next::Read(read) => {
                    let n = read?;
                    held.extend_from_slice(&scratch[..n]);
                    while let Some(end) = held.iter().position(|b| *b == b'\n') {
                        let line: Vec<u8> = held.drain(..=end).collect();
                        if let Some(answer) = self.answer(&line, &send).filter(|_| !silent) {
                            (&mut &*stream).write_all(format!("{answer}\n").as_bytes()).await?;
                        }
                    }
                    if n == 0 || held.len() >= LINE {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// The answer to a call.
    fn answer(&self, line: &[u8], watch: &Sender<String>) -> Option<Value> {
        let _ = self.told.try_send(String::from_utf8_lossy(line).trim_end().to_owned());
        let call: Value = serde_json::from_slice(line).ok()?;
        let id = call.get("id")?.clone();
        let mut inner = self.lock();
        let age = inner.since.elapsed().as_millis();
        let state = inner.news.json(age);
        let result = match call["method"].as_str() {
            Some("subscribe") => {
                let _ = watch.try_send(notice("progress", state));
                inner.watches.push(watch.clone());
                json!(true)
            }
            Some("release.vote") => {
                let params = &call["params"];
                if params["build"] != inner.news.build {
                    return Some(json!({"jsonrpc": "2.0", "id": id,
                        "error": {"code": -32000, "message": "ConditionFailed"}}));
                }
                let vote = Vote {
                    build: params["build"].as_u64()?,
                    stage: params["stage"].as_u64().unwrap_or(0),
                    verdict: params["verdict"].as_str()?.to_owned(),
                };
                inner.votes.retain(|(at, _)| at.elapsed() < Duration::from_secs(60));
                inner.votes.push((Instant::now(), vote));
                state
            }
            _ => {
                return Some(
                    json!({"jsonrpc": "2.0", "id": id, "error": {"code": -32602, "message": "ValidationError"}}),
                );
            }
        };
        Some(json!({"jsonrpc": "2.0", "id": id, "result": result}))
    }
}

fn notice(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string()
}
