//! Stand-in for the platform: reports the state of the newest build and accepts votes, as JSON-RPC lines.

use crate::checker::SharedChecker;
use crate::runtime::{Clock, Listener, Runtime, Stream};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval of ping notifications.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A connection is closed if a line reaches this length.
const MAX_LINE_BYTES: usize = 8 * 1024;

/// State of the newest build.
#[derive(Clone, Debug, PartialEq)]
pub struct BuildStatus {
    pub build: u16,
    /// Number of the stage, from 0.
    pub stage: u8,
    /// `testing`, `recalling`, `live` or `recalled`.
    pub phase: &'static str,
    /// Maximum share of the hits that the build may receive, 0 to 1.
    pub cap: f64,
}

impl BuildStatus {
    /// A released build.
    pub fn live(build: u16) -> Self {
        BuildStatus { build, stage: 2, phase: "live", cap: 1.0 }
    }

    /// A build on trial.
    pub fn testing(build: u16, stage: u8, cap: f64) -> Self {
        BuildStatus { build, stage, phase: "testing", cap }
    }

    /// Parameters of a progress notification.
    pub fn to_json(&self, age_ms: u128) -> Value {
        json!({"build": self.build, "stage": self.stage, "phase": self.phase, "cap": self.cap, "age_ms": age_ms as u64})
    }
}

/// A vote that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The newest build at the time of the vote; a vote on any other is refused.
    pub build: u64,
    /// Number of the stage, from 0; also 0 if the vote named none.
    pub stage: u64,
    /// `go`, `stay` or `stop`, as received; other texts are accepted too.
    pub verdict: String,
}

struct Inner {
    status: BuildStatus,
    status_since: Instant,
    subscribers: Vec<Sender<String>>,
    /// Votes of the last minute, each with the time at which it was received.
    votes: Vec<(Instant, Vote)>,
    /// While set, calls are not answered, and pings are not sent.
    silent: bool,
    /// Incremented to end all connections.
    close_count: u64,
}

/// Handle to the platform; clones refer to the same platform.
#[derive(Clone)]
pub struct Platform {
    /// Loopback address at which the platform accepts connections.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
    checker: SharedChecker,
    line_sender: Sender<String>,
    /// The lines received.
    pub received: Receiver<String>,
}

impl Platform {
    /// Starts the platform on a free port of the loopback address, and reports `status` to the checker.
    pub fn start(runtime: &Runtime, status: BuildStatus, checker: SharedChecker) -> Self {
        let (listener, addr) = runtime.listen();
        let (line_sender, received) = async_channel::bounded(4096);
        let (subscribers, votes) = (Vec::new(), Vec::new());
        let inner =
            Inner { status, status_since: Instant::now(), subscribers, votes, silent: false, close_count: 0 };
        let inner = Arc::new(Mutex::new(inner));
        let platform = Platform { addr, inner, clock: runtime.clock, checker, line_sender, received };
        platform.inform_checker();
        runtime.spawn(platform.clone().accept(runtime.executor(), listener));
        platform
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the state that the marshal receives on to the checker.
    fn inform_checker(&self) {
        let BuildStatus { build, phase, cap, .. } = self.lock().status;
        self.checker.lock().build_reported(
            build,
            phase == "testing" || phase == "recalling",
            cap,
            self.clock.now(),
        );
    }

    /// The state of the newest build, as reported last.
    pub fn build_status(&self) -> BuildStatus {
        self.lock().status.clone()
    }

    /// Changes the state of the newest build, and notifies subscribers.
    pub fn announce(&self, status: BuildStatus) {
        {
            let mut inner = self.lock();
            (inner.status, inner.status_since) = (status, Instant::now());
        }
        self.inform_checker();
        let mut inner = self.lock();
        let line = notification("progress", inner.status.to_json(0));
        inner.subscribers.retain(|subscriber| subscriber.try_send(line.clone()).is_ok());
    }

    /// Sends a line unchanged to all subscribers.
    pub fn send_raw(&self, line: &str) {
        self.lock().subscribers.retain(|subscriber| subscriber.try_send(line.to_owned()).is_ok());
    }

    /// While silent, calls are not answered and pings are not sent.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Ends all connections.
    pub fn close_connections(&self) {
        self.lock().close_count += 1;
    }

    /// The latest vote on a build that is younger than `max_age`, if any.
    pub fn latest_vote(&self, build: u16, max_age: Duration) -> Option<Vote> {
        let inner = self.lock();
        let matches =
            |(at, vote): &&(Instant, Vote)| vote.build == u64::from(build) && at.elapsed() < max_age;
        inner.votes.iter().rev().find(matches).map(|(_, vote)| vote.clone())
    }

    async fn accept(self, executor: Arc<async_executor::Executor<'static>>, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let platform = self.clone();
            let task = async move {
                let close_count = platform.lock().close_count;
                or(async { drop(platform.serve(&stream).await) }, platform.until_closed(close_count)).await;
                let _ = stream.get_ref().shutdown(std::net::Shutdown::Both);
            };
            executor.spawn(task).detach();
        }
    }

    /// Returns once the connections of this `close_count` are to end.
    async fn until_closed(&self, close_count: u64) {
        while self.lock().close_count == close_count {
            Timer::after(Duration::from_millis(10)).await;
        }
    }

    async fn serve(&self, stream: &Stream) -> std::io::Result<()> {
        let (mut buffer, mut scratch) = (Vec::new(), [0; 4096]);
        let (line_queue, lines) = async_channel::bounded(1024);
        let mut next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        enum Next {
            Read(std::io::Result<usize>),
            Line(String),
            Heartbeat,
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
                Timer::at(next_heartbeat).await;
                Next::Heartbeat
            };
            let silent = self.lock().silent;
            match or(line, or(read, due)).await {
                Next::Line(line) => (&mut &*stream).write_all(format!("{line}\n").as_bytes()).await?,
                Next::Heartbeat => {
                    next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
                    if !silent
                        && self
                            .lock()
                            .subscribers
                            .iter()
                            .any(|subscriber| subscriber.same_channel(&line_queue))
                    {
                        (&mut &*stream)
                            .write_all(format!("{}\n", notification("ping", json!({}))).as_bytes())
                            .await?;
                    }
                }
                Next::Read(read) => {
                    let count = read?;
                    buffer.extend_from_slice(&scratch[..count]);
                    while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                        let line: Vec<u8> = buffer.drain(..=end).collect();
                        if let Some(answer) = self.answer(&line, &line_queue).filter(|_| !silent) {
                            (&mut &*stream).write_all(format!("{answer}\n").as_bytes()).await?;
                        }
                    }
                    if count == 0 || buffer.len() >= MAX_LINE_BYTES {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// The answer to a call; none if the call cannot be parsed.
    fn answer(&self, line: &[u8], subscriber: &Sender<String>) -> Option<Value> {
        let _ = self.line_sender.try_send(String::from_utf8_lossy(line).trim_end().to_owned());
        let call: Value = serde_json::from_slice(line).ok()?;
        let id = call.get("id")?.clone();
        let mut inner = self.lock();
        let age_ms = inner.status_since.elapsed().as_millis();
        let state = inner.status.to_json(age_ms);
        let result = match call["method"].as_str() {
            Some("subscribe") => {
                let _ = subscriber.try_send(notification("progress", state));
                inner.subscribers.push(subscriber.clone());
                json!(true)
            }
            Some("release.vote") => {
                let params = &call["params"];
                if params["build"] != inner.status.build {
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

fn notification(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string()
}
