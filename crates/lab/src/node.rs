//! Stand-in for a node: it executes the commands of each connection in order on a limited number of cores, replies
//! according to its behavior and fault mode, and records what it received and executed.

use crate::checker::SharedChecker;
use crate::runtime::{Clock, Listener, ReservedPort, Runtime, Stream, listen_at};
use crate::wire::{self, Message, MessageReader, list_value};
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

/// Scripted reply to one command, for tests.
#[derive(Clone, Debug)]
pub enum ScriptedReply {
    /// Sends these bytes unchanged. The command does not count as executed; it counts as rejected if the bytes begin
    /// with `-BUSY`.
    Send(Vec<u8>),
    /// Like `Send`, this long after the command arrived.
    SendAfter(Duration, Vec<u8>),
    /// Sends these bytes unchanged and closes the connection; the command does not count as executed.
    SendAndClose(Vec<u8>),
    /// Executes the command, and sends these bytes this long after the reply, unless another command has come on the
    /// connection by then.
    ServeThenSend(Duration, Vec<u8>),
    /// Executes the command, but replies only once another command has arrived, on any connection.
    ServeAfterNextCommand,
    /// Sends no reply to this command, nor to those after it on the same connection.
    NoReply,
    /// Drops the command without a word: it is not executed, and later commands get their replies.
    Drop,
    /// Executes the command; its reply is lost, and later commands get theirs.
    LoseReply,
}

/// What becomes of a command that a node takes.
enum Fate {
    Dropped,
    ReplyLost,
    Replied,
}

/// How a node handles connections and commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMode {
    /// Replies according to its behavior.
    #[default]
    Healthy,
    /// Reads commands and never replies.
    Silent,
    /// Replies, but withholds the last byte of each reply until the mode changes.
    WithholdingLastByte,
    /// Accepts connections and never reads.
    NotReading,
    /// Executes each command, and resets its connection.
    Resetting,
    /// Resets every connection on accept.
    Refusing,
}

/// How a healthy node works and replies.
#[derive(Clone, Debug)]
pub struct NodeBehavior {
    /// Commands executed at once.
    pub cores: usize,
    /// Median work of a command, as the time that it occupies a core; the work has a log-normal distribution.
    pub work_median: Duration,
    /// Standard deviation of the logarithm of the work; at 0 all commands have the median work.
    pub work_sigma: f64,
    /// Size of a value.
    pub value_bytes: usize,
    /// Share of the commands, 0 to 1, that get an error.
    pub error_rate: f64,
    /// Share of the commands, 0 to 1, that get a malformed reply; it applies to all path groups.
    pub malformed_rate: f64,
    /// Share of the commands, 0 to 1, that get the value of another hit.
    pub wrong_value_rate: f64,
    /// Share of the commands, 0 to 1, that are turned away with `-BUSY`.
    pub busy_rate: f64,
    /// Share of the commands, 0 to 1, that are dropped without a word.
    pub dropped_rate: f64,
    /// Share of the commands, 0 to 1, that are executed and whose reply is lost.
    pub lost_reply_rate: f64,
    /// Share of the replies, 0 to 1, that are sent a second time, unless another command has come by then.
    pub second_copy_rate: f64,
    /// Time from a reply to its second copy.
    pub second_copy_delay: Duration,
    /// Factor on the work of each command.
    pub work_factor: f64,
    /// If set, only this path group has errors, wrong values and the work factor.
    pub affected_group: Option<String>,
    /// Time for which the idempotency key of a tagged hit is remembered.
    pub dedup_window: Duration,
}

impl Default for NodeBehavior {
    fn default() -> Self {
        NodeBehavior {
            cores: 4,
            work_median: Duration::from_millis(2),
            work_sigma: 0.3,
            value_bytes: 7,
            error_rate: 0.0,
            malformed_rate: 0.0,
            wrong_value_rate: 0.0,
            busy_rate: 0.0,
            dropped_rate: 0.0,
            lost_reply_rate: 0.0,
            second_copy_rate: 0.0,
            second_copy_delay: Duration::from_millis(5),
            work_factor: 1.0,
            affected_group: None,
            dedup_window: Duration::from_millis(1_000),
        }
    }
}

/// A reply that has not been sent yet.
struct PendingReply {
    send_at: Instant,
    text: Vec<u8>,
    /// Whether the connection is closed after it.
    close: bool,
    /// Number of commands the node must have received before the reply is sent.
    min_commands_received: u64,
    /// Belongs to no command: it is dropped if another command comes long enough before it.
    stray: bool,
}

impl PendingReply {
    fn at(send_at: Instant, text: Vec<u8>) -> Self {
        PendingReply { send_at, text, close: false, min_commands_received: 0, stray: false }
    }
}

struct Inner {
    fault_mode: FaultMode,
    behavior: NodeBehavior,
    script: VecDeque<ScriptedReply>,
    rng: Pcg64Mcg,
    /// Time at which each core becomes free.
    core_free_at: Vec<Instant>,
    commands_received: u64,
    connections: usize,
    connections_accepted: u64,
    /// Number of restarts so far; connections of an earlier incarnation end.
    incarnation: u64,
}

/// Handle to a node; clones refer to the same node.
#[derive(Clone)]
pub struct Node {
    /// Id of the node in discovery and in the checker's records.
    pub name: String,
    /// Loopback address at which the node accepts connections.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
    checker: SharedChecker,
    received_sender: Sender<Vec<String>>,
    /// The words of each command received, and an empty list for each connection that ended.
    pub received: Receiver<Vec<String>>,
    restart_notifier: Sender<()>,
    restarted: Receiver<()>,
    /// Closing it stops the accept loop.
    stop_sender: Sender<()>,
    /// Once the node is stopped, connections to it are refused, and don't reach another process.
    _port: Arc<ReservedPort>,
}

/// Load report in each reply, as in the protocol page.
const LOAD_REPORT: &str = "inflight=7,queue=2,util=0.61";
/// Delay of a reply that is never sent. Nothing behind it on its connection is sent either, as replies keep the order
/// of their commands.
const NEVER_SENT_DELAY: Duration = Duration::from_secs(86_400);
/// A reply that belongs to no command is still sent if a command came at most this long before: over a link with a round
/// trip of this time the two cross.
const STRAY_CROSSING_TIME: Duration = Duration::from_millis(1);
/// Entries of `received` that are kept; further ones are dropped.
const MAX_QUEUED_EVENTS: usize = 4096;

impl Node {
    /// Starts a node on a free port of the loopback address, with `seed` for its random draws. The caller lists it in
    /// discovery.
    pub fn start(
        runtime: &Runtime, name: &str, seed: u64, behavior: NodeBehavior, checker: SharedChecker,
    ) -> Self {
        let port = ReservedPort::new().expect("a loopback port");
        let (listener, addr) = listen_at(port.addr).expect("the reserved port");
        let (received_sender, received) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let (restart_notifier, restarted) = async_channel::bounded(1);
        let (stop_sender, stopped) = async_channel::bounded(1);
        let core_free_at = vec![Instant::now(); behavior.cores.max(1)];
        let inner = Inner {
            fault_mode: FaultMode::default(),
            behavior,
            script: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            core_free_at,
            commands_received: 0,
            connections: 0,
            connections_accepted: 0,
            incarnation: 0,
        };
        let inner = Arc::new(Mutex::new(inner));
        let clock = runtime.clock;
        let node = Node {
            name: name.to_owned(),
            addr,
            inner,
            clock,
            checker,
            received_sender,
            received,
            restart_notifier,
            restarted,
            stop_sender,
            _port: Arc::new(port),
        };
        let accept = node.clone().accept(runtime.executor(), listener);
        runtime.spawn(or(accept, async move {
            let _ = stopped.recv().await;
        }));
        node
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the fault mode of all connections, open and new.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        self.lock().fault_mode = fault_mode;
    }

    /// Changes the behavior for the commands that follow.
    pub fn update_behavior(&self, change: impl FnOnce(&mut NodeBehavior)) {
        let mut inner = self.lock();
        change(&mut inner.behavior);
        // The backlog of the cores is cleared, so that the new behavior applies at once.
        inner.core_free_at = vec![Instant::now(); inner.behavior.cores.max(1)];
    }

    /// Appends scripted replies, which the next commands get in place of those that the behavior gives.
    pub fn script(&self, replies: impl IntoIterator<Item = ScriptedReply>) {
        self.lock().script.extend(replies);
    }

    /// Restarts the process: all connections end.
    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.incarnation += 1;
        inner.core_free_at.fill(Instant::now());
        drop(inner);
        let _ = self.restart_notifier.try_send(());
    }

    /// Stops the node for good.
    pub fn stop(&self) {
        self.restart();
        self.stop_sender.close();
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Connections accepted since the start, without those that were reset on accept.
    pub fn connections_accepted(&self) -> u64 {
        self.lock().connections_accepted
    }

    /// Commands received whole.
    pub fn commands_received(&self) -> u64 {
        self.lock().commands_received
    }

    async fn accept(self, executor: Arc<async_executor::Executor<'static>>, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.get_ref().set_nodelay(true);
            if self.lock().fault_mode == FaultMode::Refusing {
                reset(stream);
                continue;
            }
            {
                let mut inner = self.lock();
                inner.connections += 1;
                inner.connections_accepted += 1;
            }
            let node = self.clone();
            let task = async move {
                let stream = Arc::new(stream);
                let incarnation = node.lock().incarnation;
                or(node.serve(&stream), node.until_restart(incarnation)).await;
                node.lock().connections -= 1;
                let _ = stream.get_ref().shutdown(Shutdown::Both);
                let _ = node.received_sender.try_send(Vec::new());
            };
            executor.spawn(task).detach();
        }
    }

    /// Returns once the node has been restarted after this incarnation.
    async fn until_restart(&self, incarnation: u64) {
        loop {
            if self.lock().incarnation != incarnation {
                return;
            }
            // A notification wakes only one waiter; the others check again soon.
            or(
                async {
                    let _ = self.restarted.recv().await;
                },
                async {
                    let _ = Timer::after(Duration::from_millis(20)).await;
                },
            )
            .await;
        }
    }

    /// Serves one connection: commands start as they arrive, and replies keep their order.
    async fn serve(&self, stream: &Arc<Stream>) {
        let mut messages = MessageReader::default();
        let mut pending_replies: VecDeque<PendingReply> = VecDeque::new();
        loop {
            let mut paused_reading = false;
            while self.lock().fault_mode == FaultMode::NotReading {
                paused_reading = true;
                Timer::after(Duration::from_millis(10)).await;
            }
            if paused_reading {
                // It is unknown when the unread commands were sent, so they must not reach the checker as received
                // now.
                return;
            }
            let due = pending_replies.front().map(|reply| (reply.send_at, reply.min_commands_received));
            let next = async { Some(messages.next(&mut &**stream).await) };
            let answer = async {
                match due {
                    Some((send_at, min_commands_received)) => {
                        Timer::at(send_at).await;
                        while self.commands_received() < min_commands_received {
                            Timer::after(Duration::from_millis(1)).await;
                        }
                    }
                    None => futures_lite::future::pending().await,
                }
                None
            };
            match or(answer, next).await {
                None => {
                    let Some(PendingReply { text, close, .. }) = pending_replies.pop_front() else {
                        continue;
                    };
                    let withheld =
                        usize::from(self.lock().fault_mode == FaultMode::WithholdingLastByte).min(text.len());
                    let (head, tail) = text.split_at(text.len() - withheld);
                    let wrote = wire::write(&mut &**stream, head).await;
                    while withheld > 0 && self.lock().fault_mode == FaultMode::WithholdingLastByte {
                        Timer::after(Duration::from_millis(5)).await;
                    }
                    let wrote = wrote.and(wire::write(&mut &**stream, tail).await);
                    if wrote.is_err() || close {
                        return;
                    }
                }
                Some(Ok(Some(Message::Array(words)))) => {
                    let words: Vec<_> =
                        words.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
                    if !self.receive_command(words, &mut pending_replies).await {
                        reset_on_close(stream);
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

    /// Handles one command; false if the connection is to be reset.
    async fn receive_command(
        &self, words: Vec<String>, pending_replies: &mut VecDeque<PendingReply>,
    ) -> bool {
        let now = Instant::now();
        pending_replies.retain(|reply| !reply.stray || reply.send_at <= now + STRAY_CROSSING_TIME);
        let id = words.get(2).cloned().unwrap_or_default();
        let fields = words.get(3).cloned().unwrap_or_default();
        let idempotency_key = list_value(&fields, "k").map(str::to_owned);
        let (scripted, fault_mode, command_number) = {
            let mut inner = self.lock();
            inner.commands_received += 1;
            (inner.script.pop_front(), inner.fault_mode, inner.commands_received)
        };
        self.checker.lock().forward_received(&self.name, &id, self.clock.now());
        let _ = self.received_sender.try_send(words);
        match (scripted, fault_mode) {
            (_, FaultMode::Resetting) => {
                self.record_execution(&id, idempotency_key.as_deref());
                return false;
            }
            (Some(ScriptedReply::NoReply), _) => {
                pending_replies.push_back(PendingReply::at(now + NEVER_SENT_DELAY, Vec::new()))
            }
            (None, FaultMode::Silent | FaultMode::NotReading | FaultMode::Refusing) => {}
            (Some(ScriptedReply::Drop), _) => {}
            (Some(ScriptedReply::LoseReply), _) => self.record_execution(&id, idempotency_key.as_deref()),
            (Some(ScriptedReply::Send(text)), _) => {
                self.queue_scripted_reply(&id, now, text, pending_replies)
            }
            (Some(ScriptedReply::SendAfter(delay, text)), _) => {
                self.queue_scripted_reply(&id, now + delay, text, pending_replies)
            }
            (Some(ScriptedReply::SendAndClose(text)), _) => {
                pending_replies.push_back(PendingReply { close: true, ..PendingReply::at(now, text) })
            }
            (Some(ScriptedReply::ServeThenSend(delay, text)), _) => {
                self.record_execution(&id, idempotency_key.as_deref());
                pending_replies.push_back(PendingReply::at(now, value_reply(&id, 7)));
                pending_replies
                    .push_back(PendingReply { stray: true, ..PendingReply::at(now + delay, text) });
            }
            (Some(ScriptedReply::ServeAfterNextCommand), _) => {
                self.record_execution(&id, idempotency_key.as_deref());
                pending_replies.push_back(PendingReply {
                    min_commands_received: command_number + 1,
                    ..PendingReply::at(now, value_reply(&id, 7))
                });
            }
            (None, FaultMode::Healthy | FaultMode::WithholdingLastByte) => {
                self.handle_by_behavior(&id, &fields, idempotency_key.as_deref(), pending_replies);
            }
        }
        true
    }

    /// Drops, turns away or executes a command, as the behavior draws it.
    fn handle_by_behavior(
        &self, id: &str, fields: &str, idempotency_key: Option<&str>,
        pending_replies: &mut VecDeque<PendingReply>,
    ) {
        if self.draw(|behavior| behavior.busy_rate) {
            return self.queue_scripted_reply(id, Instant::now(), b"-BUSY\r\n".to_vec(), pending_replies);
        }
        let fate = self.draw_fate();
        if matches!(fate, Fate::Dropped) {
            return;
        }
        let (ready_at, text) = self.draw_reply(id, fields);
        self.record_execution(id, idempotency_key);
        if matches!(fate, Fate::ReplyLost) {
            return;
        }
        // Replies go out in the order of their commands.
        let ready_at = pending_replies.back().map_or(ready_at, |last| ready_at.max(last.send_at));
        let second_copy = self.draw(|behavior| behavior.second_copy_rate).then(|| text.clone());
        pending_replies.push_back(PendingReply::at(ready_at, text));
        if let Some(text) = second_copy {
            let send_at = ready_at + self.lock().behavior.second_copy_delay;
            pending_replies.push_back(PendingReply { stray: true, ..PendingReply::at(send_at, text) });
        }
    }

    fn draw_fate(&self) -> Fate {
        if self.draw(|behavior| behavior.dropped_rate) {
            Fate::Dropped
        } else if self.draw(|behavior| behavior.lost_reply_rate) {
            Fate::ReplyLost
        } else {
            Fate::Replied
        }
    }

    /// Draws whether what the behavior does at this rate happens. Rates of zero take nothing from the random sequence.
    fn draw(&self, rate: impl Fn(&NodeBehavior) -> f64) -> bool {
        let mut inner = self.lock();
        let rate = rate(&inner.behavior);
        rate > 0.0 && inner.rng.random_bool(rate.min(1.0))
    }

    /// Queues scripted bytes as the reply to a command that does not count as executed.
    fn queue_scripted_reply(
        &self, id: &str, send_at: Instant, text: Vec<u8>, pending_replies: &mut VecDeque<PendingReply>,
    ) {
        if text.starts_with(b"-BUSY") {
            self.checker.lock().forward_rejected(id);
        }
        pending_replies.push_back(PendingReply::at(send_at, text));
    }

    /// Draws the reply to a command, and the time at which it is ready.
    fn draw_reply(&self, id: &str, fields: &str) -> (Instant, Vec<u8>) {
        let mut inner = self.lock();
        let Inner { behavior, rng, core_free_at, .. } = &mut *inner;
        let affected =
            behavior.affected_group.as_deref().is_none_or(|only| list_value(fields, "c") == Some(only));
        let rate_if_affected = |rate: f64| if affected { rate } else { 0.0 };
        let work_noise = LogNormal::new(0.0, behavior.work_sigma.max(0.0)).map_or(1.0, |d| d.sample(rng));
        let work =
            behavior.work_median.mul_f64(work_noise * if affected { behavior.work_factor } else { 1.0 });
        let now = Instant::now();
        let free_at = core_free_at.iter_mut().min().expect("a node has cores");
        let ready_at = (*free_at).max(now) + work;
        *free_at = ready_at;
        let outcome_draw: f64 = rng.random_range(0.0..1.0);
        let text = if outcome_draw < rate_if_affected(behavior.error_rate) {
            format!("-ERR failed {LOAD_REPORT}\r\n").into_bytes()
        } else if outcome_draw < rate_if_affected(behavior.error_rate) + behavior.malformed_rate {
            malformed_reply(rng)
        } else if outcome_draw
            < rate_if_affected(behavior.error_rate)
                + behavior.malformed_rate
                + rate_if_affected(behavior.wrong_value_rate)
        {
            value_reply("another", behavior.value_bytes)
        } else {
            value_reply(id, behavior.value_bytes)
        };
        (ready_at, text)
    }

    /// Records an execution with the checker, unless the command is a repeat.
    fn record_execution(&self, id: &str, idempotency_key: Option<&str>) {
        let now = self.clock.now();
        let dedup_window = Span::nanos(self.lock().behavior.dedup_window.as_nanos() as u64);
        let mut checker = self.checker.lock();
        // Repeats are dropped across all nodes together.
        if !idempotency_key
            .is_some_and(|idempotency_key| checker.check_and_record_key(idempotency_key, dedup_window, now))
        {
            checker.command_executed(&self.name, id, now);
        }
    }
}

/// A reply with a value that begins with the hit's id, so that the client can tell whose value it is.
fn value_reply(id: &str, size: usize) -> Vec<u8> {
    let mut text = id.as_bytes().to_vec();
    text.resize(size.max(text.len()), b'.');
    let mut out = b"*3\r\n".to_vec();
    stonescale_formats::resp::write_bulk_string(&mut out, &text);
    out.extend_from_slice(b"$-1\r\n");
    stonescale_formats::resp::write_bulk_string(&mut out, LOAD_REPORT.as_bytes());
    out
}

/// A malformed reply, of a kind drawn at random.
fn malformed_reply(rng: &mut Pcg64Mcg) -> Vec<u8> {
    let kinds: [&[u8]; 5] = [
        b"\x00\x17noise\xff\xff\r\n",
        b"*3\r\n$70000000\r\nva",
        b"*1\r\n$5\r\nvalue-without-its-end",
        b"-ERR a line that does not end",
        b"*x\r\n",
    ];
    kinds[rng.random_range(0..kinds.len())].to_vec()
}

/// Resets a connection.
fn reset(stream: Stream) {
    // Unread data would cause a reset as well, but a linger time of zero always does.
    let _ = set_zero_linger(&stream);
    drop(stream);
}

/// Makes closing the connection reset it, for a connection with other holders.
fn reset_on_close(stream: &Arc<Stream>) {
    let _ = set_zero_linger(stream);
}

/// Makes closing the socket reset the connection and drop unsent data.
fn set_zero_linger(stream: &Stream) -> std::io::Result<()> {
    rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO)).map_err(Into::into)
}
