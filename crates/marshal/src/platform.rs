//! The platform: one connection, always subscribed, on which votes go out as well. Where the platform moves, the
//! one to its old address stays until the new one is heard.

use crate::clock::duration;
use crate::inbox::{ControlEvent, Inbox, StageReport};
use crate::reactor::{Async, Timer};
use crate::turn::{Signal, Wakeup, connect, read_available, wait_for_wakeup, write_available};
use async_executor::LocalExecutor;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::{BuildStatus, ForwardOutcome, Verdict};
use stonescale::time::Span;
use stonescale_budget::{Buffer, Ledger, Purpose};
use stonescale_formats::json_rpc::{self, MessageHandler};
use stonescale_formats::lines::LineBuffer;
use tracing::{info, warn};

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
    /// The post that took it on, and bytes written on its connection once the last one is; none while it waits.
    taken: Option<(u64, u64)>,
}

impl Call {
    /// Waits for any post, or is this one's.
    fn concerns(&self, post: &Post) -> bool {
        self.taken.is_none_or(|(number, _)| number == post.number)
    }

    /// Its last byte was written on this post's connection.
    fn written(&self, post: &Post, line: &Line) -> bool {
        self.taken.is_some_and(|(number, at)| number == post.number && line.written >= at)
    }
}

pub struct Platform {
    inbox: Rc<Inbox>,
    tasks: Rc<LocalExecutor<'static>>,
    call_timeout: Span,
    groups: Vec<String>,
    seed: u64,
    ledger: Ledger,
    last_id: Cell<u64>,
    calls: RefCell<VecDeque<Call>>,
    /// The newest last; those before it are on their way out.
    posts: RefCell<Vec<Rc<Post>>>,
}

/// One address of the platform, and the connection to it.
struct Post {
    number: u64,
    addr: SocketAddr,
    /// Something came from there.
    heard: Cell<bool>,
    /// A newer one was heard: only the answers to its own calls count still.
    left: Cell<bool>,
    signal: Signal,
}

/// The state of the newest build as the platform words it.
pub fn stage(told: &Value) -> Result<StageReport, String> {
    let number = |key: &str| told.get(key).and_then(Value::as_f64).ok_or(format!("{key} is not a number"));
    let build = Some(number("build")?).filter(|b| (0.0..65536.0).contains(b)).ok_or("build is no build")?;
    let stage = Some(number("stage")?).filter(|s| (0.0..256.0).contains(s)).ok_or("stage is no stage")?;
    let standing = match told.get("phase").and_then(Value::as_str).ok_or("phase is not a text")? {
        "testing" => BuildStatus::OnTrial,
        "recalling" => BuildStatus::GoingBack,
        "live" => BuildStatus::Released,
        "recalled" => BuildStatus::Withdrawn,
        other => return Err(format!("phase '{other}' is unknown")),
    };
    let age = Span::from_seconds(number("age_ms")?.max(0.0) / 1e3);
    Ok((build as u16, stage as u8, standing, number("cap")?.clamp(0.0, 1.0), age))
}

impl Platform {
    pub fn new(
        inbox: Rc<Inbox>, tasks: Rc<LocalExecutor<'static>>, call_timeout: Span, groups: Vec<String>,
        seed: u64, ledger: Ledger,
    ) -> Rc<Self> {
        let (last_id, calls, posts) = (Cell::new(0), RefCell::default(), RefCell::default());
        Rc::new(Platform { inbox, tasks, call_timeout, groups, seed, ledger, last_id, calls, posts })
    }

    /// From now on the platform is at `addr`. What stands is kept until something came from there, so that
    /// neither votes nor news fall into a gap; one that was never heard is of no use.
    pub fn at(self: &Rc<Self>, addr: SocketAddr) {
        let (number, heard, left) = (self.next_id(), Cell::new(false), Cell::new(false));
        let post = Rc::new(Post { number, addr, heard, left, signal: Signal::default() });
        let before = self.posts.borrow().clone();
        before.iter().filter(|p| !p.heard.get()).for_each(|p| self.leave(p));
        self.posts.borrow_mut().push(post.clone());
        self.tasks.spawn(self.clone().run(post)).detach();
    }

    fn leave(&self, post: &Post) {
        post.left.set(true);
        post.signal.raise();
    }

    fn newest(&self, post: &Post) -> bool {
        self.posts.borrow().last().is_some_and(|p| p.number == post.number)
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
        self.calls.borrow_mut().push_back(Call { id, params, due, taken: None });
        self.posts.borrow().iter().for_each(|p| p.signal.raise());
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Tells the module how a vote without a usable answer ended.
    fn failed(&self, fate: ForwardOutcome) {
        let none = (0, 0, BuildStatus::Withdrawn, 0.0, Span::ZERO);
        self.inbox.push_control_event(ControlEvent::Stage(none, Some(fate)));
    }

    async fn run(self: Rc<Self>, post: Rc<Post>) {
        let mut chance = Pcg64Mcg::seed_from_u64(self.seed ^ post.number);
        let mut pause = PAUSE;
        loop {
            let mut line = Line::new(&self.ledger);
            let why = match self.connect(&post).await {
                Ok(stream) => self.talk(&post, &stream, &mut line).await,
                Err(e) => format!("no connection: {e}"),
            };
            info!("platform: {why}");
            // What was written whole may have been carried out; the rest goes on the next connection.
            let mut lost = 0;
            self.calls.borrow_mut().retain_mut(|call| {
                let written = call.written(&post, &line);
                call.taken = call.taken.filter(|(number, _)| *number != post.number);
                lost += usize::from(written);
                !written
            });
            (0..lost).for_each(|_| self.failed(ForwardOutcome::TimedOut));
            if !self.newest(&post) {
                break;
            }
            pause = if line.heard { PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            let until = Instant::now() + pause.mul_f64(chance.random_range(0.5..1.5));
            while Instant::now() < until {
                Timer::at(self.next_due(&post).map_or(until, |due| due.min(until))).await;
                self.expire(&post, &line);
            }
            if !self.newest(&post) {
                break;
            }
        }
        self.posts.borrow_mut().retain(|p| p.number != post.number);
        self.posts.borrow().iter().for_each(|p| p.signal.raise());
    }

    /// Connects; votes that come due meanwhile end.
    async fn connect(&self, post: &Post) -> std::io::Result<Async<TcpStream>> {
        let expiring = async {
            loop {
                match self.next_due(post) {
                    Some(due) => Timer::at(due).await,
                    None => post.signal.wait().await,
                }
                if post.left.get() {
                    return Err(std::io::Error::other("the platform has moved"));
                }
                self.expire(post, &Line::new(&self.ledger));
            }
        };
        futures_lite::future::or(connect(post.addr, UP_WITHIN), expiring).await
    }

    fn next_due(&self, post: &Post) -> Option<Instant> {
        self.calls.borrow().iter().filter(|c| c.concerns(post)).map(|c| c.due).min()
    }

    /// Ends the votes whose time is over.
    fn expire(&self, post: &Post, line: &Line) {
        let now = Instant::now();
        let mut ended = Vec::new();
        self.calls.borrow_mut().retain(|call| {
            let over = call.due <= now && call.concerns(post);
            if over {
                ended.push(if call.written(post, line) {
                    ForwardOutcome::TimedOut
                } else {
                    ForwardOutcome::Unreached
                });
            }
            !over
        });
        ended.into_iter().for_each(|fate| self.failed(fate));
    }

    /// Takes on the votes that wait, unless a newer post has answered already.
    fn take_on(&self, post: &Post, line: &mut Line) {
        for call in self.calls.borrow_mut().iter_mut().filter(|c| c.taken.is_none() && !post.left.get()) {
            // Without room it waits, and is told as unreached when its time is over.
            let at = line.call(call.id, "release.vote", call.params.clone());
            call.taken = at.map(|at| (post.number, at));
        }
    }

    /// Subscribes, sends votes, hands on what comes; returns why the connection is of no more use.
    async fn talk(&self, post: &Post, stream: &Async<TcpStream>, line: &mut Line) -> String {
        let subscription = self.next_id();
        line.call(subscription, "subscribe", Value::Null);
        let (mut lines, mut text, mut scratch) = (LineBuffer::new(LINE), Vec::new(), vec![0; 4 * 1024]);
        let mut charge = self.ledger.empty_charge(Purpose::Platform);
        let mut silent_at = Instant::now() + SILENCE;
        loop {
            self.expire(post, line);
            let mine = |c: &Call| c.taken.is_some_and(|(number, _)| number == post.number);
            if post.left.get() && !self.calls.borrow().iter().any(mine) {
                return "the platform has moved".into();
            }
            self.take_on(post, line);
            if let Err(e) = line.flush(stream) {
                return format!("broke: {e}");
            }
            let due = self.next_due(post).map_or(silent_at, |due| due.min(silent_at));
            match wait_for_wakeup(stream, true, !line.out.is_empty(), &post.signal, Some(due)).await {
                Wakeup::DeadlineReached if Instant::now() >= silent_at => {
                    return format!("silent for {SILENCE:?}");
                }
                Wakeup::Readable => match read_available(stream, &mut scratch) {
                    Ok(None) => {}
                    Ok(Some([])) => return "ended by the other side".into(),
                    Ok(Some(bytes)) => {
                        lines.feed(bytes);
                        if charge.resize(lines.allocated_bytes() + text.capacity()).is_err() {
                            return "there is no room for what it says".into();
                        }
                    }
                    Err(e) => return format!("broke: {e}"),
                },
                _ => {}
            }
            loop {
                match lines.next_line(&mut text) {
                    Ok(true) => {
                        let mut ear = Ear { platform: self, post, subscription, unread: None };
                        let read = json_rpc::dispatch_message(&text, &mut ear).map_err(str::to_owned);
                        // Behind a line that can't be read, nothing is sure: who has nothing to say to it
                        // would wait for what was lost with it.
                        if let Err(why) = read.and(ear.unread.map_or(Ok(()), Err)) {
                            return format!("a line can't be read: {why}");
                        }
                        (silent_at, line.heard) = (Instant::now() + SILENCE, true);
                    }
                    Ok(false) => break,
                    Err(why) => return why.into(),
                }
            }
        }
    }

    /// What was heard on this post is of use: those before it are left.
    fn heard(&self, post: &Post) {
        if !post.heard.replace(true) {
            let posts = self.posts.borrow();
            posts.iter().take_while(|p| p.number != post.number).for_each(|p| self.leave(p));
        }
    }
}

/// What goes out on one connection.
struct Line {
    out: Buffer,
    queued: u64,
    written: u64,
    /// Something came back on it.
    heard: bool,
}

impl Line {
    fn new(ledger: &Ledger) -> Self {
        Line { out: Buffer::with_prepaid(ledger, Purpose::Platform), queued: 0, written: 0, heard: false }
    }

    /// Queues a call if there is room; returns how many bytes will have been written with it.
    fn call(&mut self, id: u64, method: &str, params: Value) -> Option<u64> {
        let mut text = Vec::new();
        json_rpc::write_request(&mut text, id, method, params);
        self.out.extend(&text).ok()?;
        self.queued += text.len() as u64;
        Some(self.queued)
    }

    fn flush(&mut self, stream: &Async<TcpStream>) -> std::io::Result<()> {
        write_available(stream, &mut self.out, &mut self.written).map(|_| ())
    }
}

/// Hands on what one line says.
struct Ear<'a> {
    platform: &'a Platform,
    post: &'a Post,
    subscription: u64,
    /// What in the line could not be read.
    unread: Option<String>,
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

impl MessageHandler for Ear<'_> {
    fn on_result(&mut self, id: u64, result: &Value) {
        self.platform.heard(self.post);
        if id == self.subscription || !self.answered(id) {
            return;
        }
        match stage(result) {
            Ok(stage) => {
                self.platform.inbox.push_control_event(ControlEvent::Stage(stage, Some(ForwardOutcome::Ok)))
            }
            Err(why) => {
                self.platform.failed(ForwardOutcome::TimedOut);
                self.unread = Some(why);
            }
        }
    }

    fn on_error(&mut self, id: u64, message: &str) {
        if id == self.subscription {
            warn!("platform: not subscribed: {message}");
        } else if self.answered(id) {
            self.platform.failed(match message {
                "Throttling" => ForwardOutcome::Rejected,
                "ConditionFailed" => ForwardOutcome::Unsent,
                _ => ForwardOutcome::Error,
            });
        }
    }

    fn on_notification(&mut self, method: &str, params: &Value) {
        self.platform.heard(self.post);
        if self.post.left.get() {
            // The newer one tells it as well.
            return;
        }
        let number = |key: &str| params.get(key).and_then(Value::as_f64);
        let text = |key: &str| params.get(key).and_then(Value::as_str);
        let group = || text("class").and_then(|c| self.platform.groups.iter().position(|g| g == c));
        match method {
            "ping" => {}
            // Only some platforms tell what they counted.
            "metrics" => match (number("build"), group(), number("count"), number("failed")) {
                (Some(build), Some(group), Some(n), Some(failed)) => {
                    self.platform.inbox.push_control_event(ControlEvent::PlatformCounts(
                        build as u16,
                        group,
                        n as u32,
                        failed as u32,
                    ));
                }
                _ => self.unread = Some("build, class, count or failed of metrics".into()),
            },
            "progress" => match stage(params) {
                Ok(stage) => self.platform.inbox.push_control_event(ControlEvent::Stage(stage, None)),
                Err(why) => self.unread = Some(why),
            },
            "complaint" => {
                let age = number("age_ms").map(|ms| Span::from_seconds(ms.max(0.0) / 1e3));
                match (text("server"), group(), age) {
                    (Some(node), Some(group), Some(age)) => {
                        self.platform.inbox.push_control_event(ControlEvent::WrongAnswerReport {
                            node: node.to_owned(),
                            group,
                            age,
                        });
                    }
                    _ => self.unread = Some("server, class or age_ms of a complaint".into()),
                }
            }
            other if other.bytes().all(|b| b.is_ascii_alphanumeric() || b"._".contains(&b)) => {
                info!("platform: notification '{other}' is unknown, skipped");
            }
            _ => self.unread = Some("name of a notification".into()),
        }
    }
}
