//! JSON-RPC client of the platform: one connection that carries both the subscription and the votes. After a change
//! of the platform's address, the connection to the old address stays open until the new one has delivered a message.

use crate::clock::duration;
use crate::inbox::{ControlEvent, Inbox, StageReport};
use crate::reactor::{Async, Timer};
use crate::turn::{Interest, Signal, Wakeup, connect, read_available, wait_for_wakeup, write_available};
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

/// The protocol page promises a message every second; after three seconds without one the connection may be dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Exponential backoff between connection attempts, with a jitter of ±50 %.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// The platform closes a connection on which it receives a line of 8 KiB; the lines that it sends itself are not
/// much longer than that.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// A vote that has no answer yet.
struct PendingVote {
    id: u64,
    params: Value,
    deadline: Instant,
    /// Number of the endpoint that sends it, and the byte offset in that connection's output at which it ends; `None`
    /// while no endpoint has queued it.
    assigned: Option<(u64, u64)>,
}

impl PendingVote {
    /// Whether the vote is unassigned or assigned to this endpoint.
    fn is_unassigned_or_on(&self, endpoint: &Endpoint) -> bool {
        self.assigned.is_none_or(|(number, _)| number == endpoint.number)
    }

    /// Whether the whole vote was written on this endpoint's connection.
    fn is_written_on(&self, endpoint: &Endpoint, connection: &ConnectionState) -> bool {
        self.assigned
            .is_some_and(|(number, end)| number == endpoint.number && connection.written_bytes >= end)
    }
}

/// The platform's votes and notifications, over one connection for each address in use.
pub struct Platform {
    inbox: Rc<Inbox>,
    executor: Rc<LocalExecutor<'static>>,
    call_timeout: Span,
    groups: Vec<String>,
    seed: u64,
    ledger: Ledger,
    last_id: Cell<u64>,
    votes: RefCell<VecDeque<PendingVote>>,
    /// The newest last; an earlier one is kept until a newer one has delivered a message.
    endpoints: RefCell<Vec<Rc<Endpoint>>>,
}

/// An address of the platform and the state of the connection to it.
struct Endpoint {
    number: u64,
    addr: SocketAddr,
    /// Whether a message was received from this address.
    received: Cell<bool>,
    /// Whether a newer endpoint has replaced this one, so that only the answers to its own votes still count.
    retired: Cell<bool>,
    signal: Signal,
}

/// Reads the state of the newest build from a JSON object of the platform. An error names the faulty key.
pub fn parse_stage(status: &Value) -> Result<StageReport, String> {
    let number = |key: &str| status.get(key).and_then(Value::as_f64).ok_or(format!("{key} is not a number"));
    let build =
        Some(number("build")?).filter(|b| (0.0..65536.0).contains(b)).ok_or("build is not a build number")?;
    let stage =
        Some(number("stage")?).filter(|s| (0.0..256.0).contains(s)).ok_or("stage is not a stage number")?;
    let build_status = match status.get("phase").and_then(Value::as_str).ok_or("phase is not a string")? {
        "testing" => BuildStatus::OnTrial,
        "recalling" => BuildStatus::GoingBack,
        "live" => BuildStatus::Released,
        "recalled" => BuildStatus::Withdrawn,
        other => return Err(format!("phase '{other}' is unknown")),
    };
    let age = Span::from_seconds(number("age_ms")?.max(0.0) / 1e3);
    Ok((build as u16, stage as u8, build_status, number("cap")?.clamp(0.0, 1.0), age))
}

impl Platform {
    /// `groups` are the path groups' names in the order of their indices; `seed` determines the backoff jitter.
    pub fn new(
        inbox: Rc<Inbox>, executor: Rc<LocalExecutor<'static>>, call_timeout: Span, groups: Vec<String>,
        seed: u64, ledger: Ledger,
    ) -> Rc<Self> {
        let (last_id, votes, endpoints) = (Cell::new(0), RefCell::default(), RefCell::default());
        Rc::new(Platform { inbox, executor, call_timeout, groups, seed, ledger, last_id, votes, endpoints })
    }

    /// Connects to the platform at `addr` from now on. A connection that has delivered messages is kept until the new
    /// address delivers one, so that no vote and no notification is lost in between; one that has delivered none is
    /// closed at once.
    pub fn set_address(self: &Rc<Self>, addr: SocketAddr) {
        let (number, received, retired) = (self.next_id(), Cell::new(false), Cell::new(false));
        let endpoint = Rc::new(Endpoint { number, addr, received, retired, signal: Signal::default() });
        let previous = self.endpoints.borrow().clone();
        previous.iter().filter(|other| !other.received.get()).for_each(|other| self.retire(other));
        self.endpoints.borrow_mut().push(endpoint.clone());
        self.executor.spawn(self.clone().run(endpoint)).detach();
    }

    fn retire(&self, endpoint: &Endpoint) {
        endpoint.retired.set(true);
        endpoint.signal.raise();
    }

    fn is_newest(&self, endpoint: &Endpoint) -> bool {
        self.endpoints.borrow().last().is_some_and(|last| last.number == endpoint.number)
    }

    /// Queues a vote on this stage of the build; the outcome arrives in the inbox as `ControlEvent::Stage`.
    pub fn vote(&self, build: u16, stage: u8, verdict: Verdict) {
        let verdict = match verdict {
            Verdict::None => "blank",
            Verdict::On => "go",
            Verdict::Hold => "stay",
            Verdict::Back => "stop",
        };
        let deadline = Instant::now() + duration(self.call_timeout);
        let (id, params) = (self.next_id(), json!({"build": build, "stage": stage, "verdict": verdict}));
        self.votes.borrow_mut().push_back(PendingVote { id, params, deadline, assigned: None });
        self.endpoints.borrow().iter().for_each(|endpoint| endpoint.signal.raise());
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Reports the outcome of a vote that got no usable answer.
    fn report_failed_vote(&self, outcome: ForwardOutcome) {
        let unknown = (0, 0, BuildStatus::Withdrawn, 0.0, Span::ZERO);
        self.inbox.push_control_event(ControlEvent::Stage(unknown, Some(outcome)));
    }

    /// Keeps the endpoint connected until a newer one replaces it.
    async fn run(self: Rc<Self>, endpoint: Rc<Endpoint>) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ endpoint.number);
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let mut connection = ConnectionState::new(&self.ledger);
            let reason = match self.connect(&endpoint).await {
                Ok(stream) => self.exchange(&endpoint, &stream, &mut connection).await,
                Err(e) => format!("connect failed: {e}"),
            };
            info!("platform: {reason}");
            // A vote that was written completely may have been carried out; the others go out on the next connection.
            let mut lost_votes = 0;
            self.votes.borrow_mut().retain_mut(|vote| {
                let written = vote.is_written_on(&endpoint, &connection);
                vote.assigned = vote.assigned.filter(|(number, _)| *number != endpoint.number);
                lost_votes += usize::from(written);
                !written
            });
            (0..lost_votes).for_each(|_| self.report_failed_vote(ForwardOutcome::TimedOut));
            if !self.is_newest(&endpoint) {
                break;
            }
            backoff = if connection.received { INITIAL_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
            let until = Instant::now() + backoff.mul_f64(rng.random_range(0.5..1.5));
            while Instant::now() < until {
                Timer::at(self.next_deadline(&endpoint).map_or(until, |deadline| deadline.min(until))).await;
                self.expire_votes(&endpoint, &connection);
            }
            if !self.is_newest(&endpoint) {
                break;
            }
        }
        self.endpoints.borrow_mut().retain(|other| other.number != endpoint.number);
        self.endpoints.borrow().iter().for_each(|endpoint| endpoint.signal.raise());
    }

    /// Connects; votes whose deadline passes meanwhile are reported as failed.
    async fn connect(&self, endpoint: &Endpoint) -> std::io::Result<Async<TcpStream>> {
        let expiring = async {
            loop {
                match self.next_deadline(endpoint) {
                    Some(deadline) => Timer::at(deadline).await,
                    None => endpoint.signal.wait().await,
                }
                if endpoint.retired.get() {
                    return Err(std::io::Error::other("the platform's address changed"));
                }
                self.expire_votes(endpoint, &ConnectionState::new(&self.ledger));
            }
        };
        futures_lite::future::or(connect(endpoint.addr, CONNECT_TIMEOUT), expiring).await
    }

    fn next_deadline(&self, endpoint: &Endpoint) -> Option<Instant> {
        self.votes
            .borrow()
            .iter()
            .filter(|vote| vote.is_unassigned_or_on(endpoint))
            .map(|vote| vote.deadline)
            .min()
    }

    /// Removes the votes whose deadline has passed and reports them as failed.
    fn expire_votes(&self, endpoint: &Endpoint, connection: &ConnectionState) {
        let now = Instant::now();
        let mut outcomes = Vec::new();
        self.votes.borrow_mut().retain(|vote| {
            let overdue = vote.deadline <= now && vote.is_unassigned_or_on(endpoint);
            if overdue {
                outcomes.push(if vote.is_written_on(endpoint, connection) {
                    ForwardOutcome::TimedOut
                } else {
                    ForwardOutcome::Unreached
                });
            }
            !overdue
        });
        outcomes.into_iter().for_each(|outcome| self.report_failed_vote(outcome));
    }

    /// Queues the unassigned votes on this connection, unless a newer endpoint has replaced it.
    fn queue_votes(&self, endpoint: &Endpoint, connection: &mut ConnectionState) {
        for vote in self
            .votes
            .borrow_mut()
            .iter_mut()
            .filter(|vote| vote.assigned.is_none() && !endpoint.retired.get())
        {
            // Without room the vote stays unassigned, and is reported as unreached once its deadline has passed.
            let end = connection.queue_request(vote.id, "release.vote", vote.params.clone());
            vote.assigned = end.map(|end| (endpoint.number, end));
        }
    }

    /// Subscribes, sends votes and dispatches incoming messages; returns why the connection is to be closed.
    async fn exchange(
        &self, endpoint: &Endpoint, stream: &Async<TcpStream>, connection: &mut ConnectionState,
    ) -> String {
        let subscription = self.next_id();
        connection.queue_request(subscription, "subscribe", Value::Null);
        let (mut lines, mut line, mut scratch) =
            (LineBuffer::new(MAX_LINE_BYTES), Vec::new(), vec![0; 4 * 1024]);
        let mut charge = self.ledger.empty_charge(Purpose::Platform);
        let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
        loop {
            self.expire_votes(endpoint, connection);
            let is_own =
                |vote: &PendingVote| vote.assigned.is_some_and(|(number, _)| number == endpoint.number);
            if endpoint.retired.get() && !self.votes.borrow().iter().any(is_own) {
                return "the platform's address changed".into();
            }
            self.queue_votes(endpoint, connection);
            if let Err(e) = connection.flush(stream) {
                return format!("connection failed: {e}");
            }
            let deadline = self.next_deadline(endpoint).map_or(silent_at, |deadline| deadline.min(silent_at));
            let write = !connection.write_buffer.is_empty();
            let interest = Interest { read: true, write, ..Interest::default() };
            match wait_for_wakeup(stream, interest, &endpoint.signal, Some(deadline)).await {
                Wakeup::DeadlineReached if Instant::now() >= silent_at => {
                    return format!("nothing received for {SILENCE_TIMEOUT:?}");
                }
                Wakeup::Readable => match read_available(stream, &mut scratch) {
                    Ok(None) => {}
                    Ok(Some([])) => return "connection closed by the platform".into(),
                    Ok(Some(bytes)) => {
                        lines.feed(bytes);
                        if charge.resize(lines.allocated_bytes() + line.capacity()).is_err() {
                            return "no room for received data".into();
                        }
                    }
                    Err(e) => return format!("connection failed: {e}"),
                },
                _ => {}
            }
            loop {
                match lines.next_line(&mut line) {
                    Ok(true) => {
                        let mut receiver =
                            MessageReceiver { platform: self, endpoint, subscription, invalid: None };
                        let parsed = json_rpc::dispatch_message(&line, &mut receiver).map_err(str::to_owned);
                        // After an unreadable line the connection is closed: a notification lost with it would
                        // otherwise be waited for in vain.
                        if let Err(error) = parsed.and(receiver.invalid.map_or(Ok(()), Err)) {
                            return format!("invalid message: {error}");
                        }
                        (silent_at, connection.received) = (Instant::now() + SILENCE_TIMEOUT, true);
                    }
                    Ok(false) => break,
                    Err(error) => return error.into(),
                }
            }
        }
    }

    /// Notes that the endpoint has delivered a message, and retires those before it.
    fn mark_received(&self, endpoint: &Endpoint) {
        if !endpoint.received.replace(true) {
            let endpoints = self.endpoints.borrow();
            endpoints
                .iter()
                .take_while(|other| other.number != endpoint.number)
                .for_each(|other| self.retire(other));
        }
    }
}

/// Output of one connection, and whether it has received anything.
struct ConnectionState {
    write_buffer: Buffer,
    queued_bytes: u64,
    written_bytes: u64,
    /// Whether a message was received on this connection.
    received: bool,
}

impl ConnectionState {
    fn new(ledger: &Ledger) -> Self {
        ConnectionState {
            write_buffer: Buffer::with_prepaid(ledger, Purpose::Platform),
            queued_bytes: 0,
            written_bytes: 0,
            received: false,
        }
    }

    /// Queues a request if there is room; returns the byte offset in the connection's output at which it ends.
    fn queue_request(&mut self, id: u64, method: &str, params: Value) -> Option<u64> {
        let mut text = Vec::new();
        json_rpc::write_request(&mut text, id, method, params);
        self.write_buffer.extend(&text).ok()?;
        self.queued_bytes += text.len() as u64;
        Some(self.queued_bytes)
    }

    fn flush(&mut self, stream: &Async<TcpStream>) -> std::io::Result<()> {
        write_available(stream, &mut self.write_buffer, &mut self.written_bytes).map(|_| ())
    }
}

/// Dispatches the messages of one line to the inbox.
struct MessageReceiver<'a> {
    platform: &'a Platform,
    endpoint: &'a Endpoint,
    subscription: u64,
    /// Which part of the line is invalid.
    invalid: Option<String>,
}

impl MessageReceiver<'_> {
    /// Removes the vote with this id; false if there is none or its deadline has passed.
    fn remove_vote(&self, id: u64) -> bool {
        let mut votes = self.platform.votes.borrow_mut();
        let previous_count = votes.len();
        votes.retain(|vote| vote.id != id);
        votes.len() < previous_count
    }
}

impl MessageHandler for MessageReceiver<'_> {
    fn on_result(&mut self, id: u64, result: &Value) {
        self.platform.mark_received(self.endpoint);
        if id == self.subscription || !self.remove_vote(id) {
            return;
        }
        match parse_stage(result) {
            Ok(stage) => {
                self.platform.inbox.push_control_event(ControlEvent::Stage(stage, Some(ForwardOutcome::Ok)))
            }
            Err(error) => {
                self.platform.report_failed_vote(ForwardOutcome::TimedOut);
                self.invalid = Some(error);
            }
        }
    }

    fn on_error(&mut self, id: u64, message: &str) {
        if id == self.subscription {
            warn!("platform: subscription rejected: {message}");
        } else if self.remove_vote(id) {
            self.platform.report_failed_vote(match message {
                "Throttling" => ForwardOutcome::Rejected,
                "ConditionFailed" => ForwardOutcome::Unsent,
                _ => ForwardOutcome::Error,
            });
        }
    }

    fn on_notification(&mut self, method: &str, params: &Value) {
        self.platform.mark_received(self.endpoint);
        if self.endpoint.retired.get() {
            // The newer connection delivers it as well.
            return;
        }
        let number = |key: &str| params.get(key).and_then(Value::as_f64);
        let text = |key: &str| params.get(key).and_then(Value::as_str);
        let group = || text("class").and_then(|c| self.platform.groups.iter().position(|g| g == c));
        match method {
            "ping" => {}
            // Only some platforms report their counts.
            "metrics" => match (number("build"), group(), number("count"), number("failed")) {
                (Some(build), Some(group), Some(count), Some(failed)) => {
                    self.platform.inbox.push_control_event(ControlEvent::PlatformCounts(
                        build as u16,
                        group,
                        count as u32,
                        failed as u32,
                    ));
                }
                _ => self.invalid = Some("invalid build, class, count or failed in metrics".into()),
            },
            "progress" => match parse_stage(params) {
                Ok(stage) => self.platform.inbox.push_control_event(ControlEvent::Stage(stage, None)),
                Err(error) => self.invalid = Some(error),
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
                    _ => self.invalid = Some("invalid server, class or age_ms in complaint".into()),
                }
            }
            other if other.bytes().all(|b| b.is_ascii_alphanumeric() || b"._".contains(&b)) => {
                info!("platform: skipping unknown notification '{other}'");
            }
            _ => self.invalid = Some("invalid method name of a notification".into()),
        }
    }
}
