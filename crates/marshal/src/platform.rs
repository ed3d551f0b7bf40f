//! The platform: one connection, always subscribed, on which votes go out as well.

use crate::clock::duration;
use crate::inbox::{Inbox, News, Stage};
use crate::reactor::{Async, Timer};
use crate::turn::{Signal, Turn, connect, read_some, turn, write_some};
use log::{info, warn};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::{Fate, Standing, Verdict};
use stonescale::time::Span;
use stonescale_formats::lines::Lines;
use stonescale_formats::rpc::{self, Listener};

/// A sign of life comes every second, by the protocol page: after three, the connection may be dead.
const SILENCE: Duration = Duration::from_millis(3_200);
const UP_WITHIN: Duration = Duration::from_millis(1_000);
/// Pauses between connections: the first, and the longest; each is scattered by half.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(2_000);
/// A line of 8 KiB ends the connection on the platform's side; its own are no longer than that by much.
const LINE: usize = 64 * 1024;

/// A vote that is not answered yet.
struct Call {
    id: u64,
    params: Value,
    due: Instant,
    /// Bytes written on the connection once its last one is; none while it waits for a connection.
    whole_at: Option<u64>,
}

impl Call {
    /// Its last byte was written on this connection.
    fn written(&self, line: &Line) -> bool {
        self.whole_at.is_some_and(|at| line.written >= at)
    }
}

pub struct Platform {
    addr: SocketAddr,
    inbox: Rc<Inbox>,
    call_timeout: Span,
    groups: Vec<String>,
    last_id: Cell<u64>,
    calls: RefCell<VecDeque<Call>>,
    signal: Signal,
}

/// The state of the newest build as the platform words it.
pub fn stage(told: &Value) -> Result<Stage, String> {
    let number = |key: &str| told.get(key).and_then(Value::as_f64).ok_or(format!("{key} is not a number"));
    let build = Some(number("build")?).filter(|b| (0.0..65536.0).contains(b)).ok_or("build is no build")?;
    let stage = Some(number("stage")?).filter(|s| (0.0..256.0).contains(s)).ok_or("stage is no stage")?;
    let standing = match told.get("phase").and_then(Value::as_str).ok_or("phase is not a text")? {
        "testing" => Standing::OnTrial,
        "recalling" => Standing::GoingBack,
        "live" => Standing::Released,
        "recalled" => Standing::Withdrawn,
        other => return Err(format!("phase '{other}' is unknown")),
    };
    let age = Span::of_seconds(number("age_ms")?.max(0.0) / 1e3);
    Ok((build as u16, stage as u8, standing, number("cap")?.clamp(0.0, 1.0), age))
}

impl Platform {
    pub fn new(addr: SocketAddr, inbox: Rc<Inbox>, call_timeout: Span, groups: Vec<String>) -> Rc<Self> {
        let (last_id, calls, signal) = (Cell::new(0), RefCell::default(), Signal::default());
        Rc::new(Platform { addr, inbox, call_timeout, groups, last_id, calls, signal })
    }

    pub fn vote(&self, build: u16, stage: u8, verdict: Verdict) {
        let verdict = match verdict {
            Verdict::None => "blank",
            Verdict::On => "go",
            Verdict::Hold => "stay",
            Verdict::Back => "stop",
        };
        let due = Instant::now() + duration(self.call_timeout);
        let (id, params) = (self.next_id(), json!({"build": build, "stage": stage, "verdict": verdict}));
        self.calls.borrow_mut().push_back(Call { id, params, due, whole_at: None });
        self.signal.raise();
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Tells the module how a vote without a usable answer ended.
    fn failed(&self, fate: Fate) {
        let none = (0, 0, Standing::Withdrawn, 0.0, Span::ZERO);
        self.inbox.news(News::Stage(none, Some(fate)));
    }

    pub async fn run(self: Rc<Self>, seed: u64) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut pause = PAUSE;
        loop {
            let mut line = Line::new();
            let why = match self.connect().await {
                Ok(stream) => self.talk(&stream, &mut line).await,
                Err(e) => format!("no connection: {e}"),
            };
            info!("platform: {why}");
            // What was written whole may have been carried out; the rest goes on the next connection.
            let mut lost = 0;
            self.calls.borrow_mut().retain_mut(|call| {
                let written = call.written(&line);
                call.whole_at = None;
                lost += usize::from(written);
                !written
            });
            (0..lost).for_each(|_| self.failed(Fate::TimedOut));
            pause = if line.heard { PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            let until = Instant::now() + pause.mul_f64(chance.random_range(0.5..1.5));
            while Instant::now() < until {
                Timer::at(self.next_due().map_or(until, |due| due.min(until))).await;
                self.expire(&line);
            }
        }
    }

    /// Connects; votes that come due meanwhile end.
    async fn connect(&self) -> std::io::Result<Async<TcpStream>> {
        let expiring = async {
            loop {
                match self.next_due() {
                    Some(due) => Timer::at(due).await,
                    None => self.signal.wait().await,
                }
                self.expire(&Line::new());
            }
        };
        futures_lite::future::or(connect(self.addr, UP_WITHIN), expiring).await
    }

    fn next_due(&self) -> Option<Instant> {
        self.calls.borrow().iter().map(|c| c.due).min()
    }

    /// Ends the votes whose time is over.
    fn expire(&self, line: &Line) {
        let now = Instant::now();
        let mut ended = Vec::new();
        self.calls.borrow_mut().retain(|call| {
            if call.due <= now {
                ended.push(if call.written(line) { Fate::TimedOut } else { Fate::Unreached });
            }
            call.due > now
        });
        ended.into_iter().for_each(|fate| self.failed(fate));
    }

    /// Subscribes, sends votes, hands on what comes; returns why the connection is of no more use.
    async fn talk(&self, stream: &Async<TcpStream>, line: &mut Line) -> String {
        let subscription = self.next_id();
        line.call(subscription, "subscribe", Value::Null);
        let (mut lines, mut text, mut scratch) = (Lines::new(LINE), Vec::new(), vec![0; 16 * 1024]);
        let mut silent_at = Instant::now() + SILENCE;
        loop {
            self.expire(line);
            for call in self.calls.borrow_mut().iter_mut().filter(|c| c.whole_at.is_none()) {
                call.whole_at = Some(line.call(call.id, "release.vote", call.params.clone()));
            }
            if let Err(e) = line.flush(stream) {
                return format!("broke: {e}");
            }
            let due = self.next_due().map_or(silent_at, |due| due.min(silent_at));
            match turn(stream, true, !line.out.is_empty(), &self.signal, Some(due)).await {
                Turn::Due if Instant::now() >= silent_at => return format!("silent for {SILENCE:?}"),
                Turn::Readable => match read_some(stream, &mut scratch) {
                    Ok(None) => {}
                    Ok(Some([])) => return "ended by the other side".into(),
                    Ok(Some(bytes)) => lines.feed(bytes),
                    Err(e) => return format!("broke: {e}"),
                },
                _ => {}
            }
            loop {
                match lines.next(&mut text) {
                    Ok(true) => {
                        (silent_at, line.heard) = (Instant::now() + SILENCE, true);
                        let mut ear = Ear { platform: self, subscription };
                        if let Err(why) = rpc::read(&text, &mut ear) {
                            warn!("platform: a line is skipped: {why}");
                        }
                    }
                    Ok(false) => break,
                    Err(why) => return why.into(),
                }
            }
        }
    }
}

/// What goes out on one connection.
struct Line {
    out: VecDeque<u8>,
    queued: u64,
    written: u64,
    /// Something came back on it.
    heard: bool,
}

impl Line {
    fn new() -> Self {
        Line { out: VecDeque::new(), queued: 0, written: 0, heard: false }
    }

    /// Queues a call; returns how many bytes will have been written with it.
    fn call(&mut self, id: u64, method: &str, params: Value) -> u64 {
        let mut text = Vec::new();
        rpc::write_call(&mut text, id, method, params);
        self.queued += text.len() as u64;
        self.out.extend(text);
        self.queued
    }

    fn flush(&mut self, stream: &Async<TcpStream>) -> std::io::Result<()> {
        write_some(stream, &mut self.out, &mut self.written).map(|_| ())
    }
}

/// Hands on what one line says.
struct Ear<'a> {
    platform: &'a Platform,
    subscription: u64,
}

impl Ear<'_> {
    /// Ends the vote with this id; false where none is out, or its time was over.
    fn answered(&self, id: u64) -> bool {
        let mut calls = self.platform.calls.borrow_mut();
        let before = calls.len();
        calls.retain(|c| c.id != id);
        calls.len() < before
    }
}

impl Listener for Ear<'_> {
    fn result(&mut self, id: u64, result: &Value) {
        if id == self.subscription || !self.answered(id) {
            return;
        }
        match stage(result) {
            Ok(stage) => self.platform.inbox.news(News::Stage(stage, Some(Fate::Ok))),
            Err(why) => {
                warn!("platform: the answer to a vote can't be read: {why}");
                self.platform.failed(Fate::TimedOut);
            }
        }
    }

    fn error(&mut self, id: u64, message: &str) {
        if id == self.subscription {
            warn!("platform: not subscribed: {message}");
        } else if self.answered(id) {
            self.platform.failed(match message {
                "Throttling" => Fate::Rejected,
                "ConditionFailed" => Fate::Unsent,
                _ => Fate::Error,
            });
        }
    }

    fn notice(&mut self, method: &str, params: &Value) {
        let number = |key: &str| params.get(key).and_then(Value::as_f64);
        let text = |key: &str| params.get(key).and_then(Value::as_str);
        let group = || text("class").and_then(|c| self.platform.groups.iter().position(|g| g == c));
        match method {
            "ping" => {}
            // Only some platforms tell what they counted.
            "metrics" => match (number("build"), group(), number("count"), number("failed")) {
                (Some(build), Some(group), Some(n), Some(failed)) => {
                    self.platform.inbox.news(News::Sums(build as u16, group, n as u32, failed as u32));
                }
                _ => warn!(
                    "platform: metrics are skipped: build, class, count or failed is missing or unknown"
                ),
            },
            "progress" => match stage(params) {
                Ok(stage) => self.platform.inbox.news(News::Stage(stage, None)),
                Err(why) => warn!("platform: progress is skipped: {why}"),
            },
            "complaint" => {
                let age = number("age_ms").map(|ms| Span::of_seconds(ms.max(0.0) / 1e3));
                match (text("server"), group(), age) {
                    (Some(node), Some(group), Some(age)) => {
                        self.platform.inbox.news(News::Flagged { node: node.to_owned(), group, age });
                    }
                    _ => warn!(
                        "platform: a complaint is skipped: server, class or age_ms is missing or unknown"
                    ),
                }
            }
            other => info!("platform: notification '{other}' is unknown, skipped"),
        }
    }
}
