//! Well-behaved clients: hits arrive as a Poisson process at a given rate, independent of the answers to earlier ones
//! (open loop). Each is sent on an idle connection or a new one; bounced hits are retried after the delay that the
//! marshal asked for.

use crate::checker::{Outcome, Request, SharedChecker};
use crate::runtime::{Clock, Runtime, Stream, sleep};
use crate::site::PathGroup;
use crate::wire::{self, Message, MessageReader};
use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::or;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stonescale::settings::Effect;
use stonescale::time::Span;

/// A kind of hit, and its weight among the kinds of a load.
#[derive(Clone, Debug)]
pub struct HitKind {
    /// Index of its path group.
    pub group: usize,
    /// Relative frequency of this kind; the shares of a plan need not add up to 1.
    pub share: f64,
    /// Size of the body, for hits that have one.
    pub body_bytes: usize,
    /// Time that the command states as its client's wait; a well-behaved client gives up 300 ms after it.
    pub client_timeout: Duration,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Mean arrival rate, without retries.
    pub hits_per_second: f64,
    /// The kinds of hits; each hit's kind is drawn at random by their shares.
    pub kinds: Vec<HitKind>,
    /// Maximum number of connections; while all are in use, further hits wait for one.
    pub max_connections: usize,
    /// Maximum number of tries of a hit that is bounced.
    pub max_tries: u32,
    /// Seed of arrival times, kinds, marshals and keys. Hit ids are derived from it too, so loads that share a checker
    /// need different seeds.
    pub seed: u64,
}

impl LoadPlan {
    /// Only hits of the repeatable path group.
    pub fn repeatable(hits_per_second: f64, seed: u64) -> Self {
        let kind = HitKind {
            group: crate::site::REPEATABLE,
            share: 1.0,
            body_bytes: 0,
            client_timeout: Duration::from_millis(900),
        };
        LoadPlan { hits_per_second, kinds: vec![kind], max_connections: 64, max_tries: 3, seed }
    }

    /// Hits of all path groups: 70 % repeatable, 20 % tagged, 10 % mutating.
    pub fn mixed(hits_per_second: f64, seed: u64) -> Self {
        let client_timeout = Duration::from_millis(900);
        let kind = |group, share, body_bytes| HitKind { group, share, body_bytes, client_timeout };
        let kinds = vec![kind(0, 0.7, 0), kind(1, 0.2, 200), kind(2, 0.1, 200)];
        LoadPlan { kinds, ..LoadPlan::repeatable(hits_per_second, seed) }
    }
}

/// Outcomes of the hits of one path group; a hit counts once, whatever the number of its tries.
#[derive(Clone, Debug)]
pub struct GroupStats {
    /// Hits begun, including those still in flight.
    pub hits: u64,
    pub delivered: u64,
    /// Delivered within the target latency, including retries and the waits between them.
    pub in_time: u64,
    /// Hits whose last try was bounced.
    pub bounced: u64,
    /// Hits that ended with an error or with the value of another hit.
    pub errored: u64,
    /// Hits that ended without an answer: the client gave up, or its connection failed.
    pub unanswered: u64,
    /// Tries of all hits.
    pub tries: u64,
    /// Latency of the last try of delivered hits, in microseconds.
    pub latency_micros: Histogram<u64>,
}

impl Default for GroupStats {
    fn default() -> Self {
        let latency_micros = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a minute");
        GroupStats {
            hits: 0,
            delivered: 0,
            in_time: 0,
            bounced: 0,
            errored: 0,
            unanswered: 0,
            tries: 0,
            latency_micros,
        }
    }
}

impl GroupStats {
    /// Share of the hits that were delivered in time, 0 to 1.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.hits as f64).max(1.0)
    }
}

struct Shared {
    clock: Clock,
    checker: SharedChecker,
    groups: Vec<PathGroup>,
    addrs: Vec<SocketAddr>,
    plan: LoadPlan,
    /// Idle connections, each with the index of its marshal.
    idle_connections: Mutex<Vec<(usize, Connection)>>,
    open_connections: Arc<AtomicU64>,
    /// Number of tries so far, from which their ids are made.
    id_sequence: AtomicU64,
    stats: Mutex<Vec<GroupStats>>,
    in_flight: AtomicU64,
    stopping: AtomicBool,
}

/// A connection that counts towards the load's maximum.
struct Connection {
    stream: Stream,
    messages: MessageReader,
    _permit: Permit,
}

/// Permit for one open connection; released on drop, also if its task is cancelled while waiting.
struct Permit(Arc<AtomicU64>);

impl Permit {
    fn take(open_connections: &Arc<AtomicU64>, max: usize) -> Option<Self> {
        let increment = |now: u64| (now < max as u64).then_some(now + 1);
        open_connections.fetch_update(Ordering::SeqCst, Ordering::SeqCst, increment).ok()?;
        Some(Permit(open_connections.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Clients that send hits until `finish` is called; clones are handles to the same load.
#[derive(Clone)]
pub struct Load(Arc<Shared>);

impl Load {
    /// Starts clients of the marshals at `addrs`; each hit goes to one chosen at random.
    pub fn start(
        runtime: &Runtime, checker: SharedChecker, groups: Vec<PathGroup>, addrs: Vec<SocketAddr>,
        plan: LoadPlan,
    ) -> Self {
        let stats = Mutex::new(vec![GroupStats::default(); groups.len()]);
        let load = Load(Arc::new(Shared {
            clock: runtime.clock,
            checker,
            groups,
            addrs,
            plan,
            idle_connections: Mutex::default(),
            open_connections: Arc::default(),
            id_sequence: AtomicU64::new(0),
            stats,
            in_flight: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }));
        runtime.spawn(load.clone().generate_hits(runtime.executor()));
        load
    }

    /// Outcomes since the start or the last `take_stats`, by path group.
    pub fn stats(&self) -> Vec<GroupStats> {
        lock(&self.0.stats).clone()
    }

    /// Outcomes since the last call, by path group; counting starts again from zero.
    pub fn take_stats(&self) -> Vec<GroupStats> {
        let mut stats = lock(&self.0.stats);
        let fresh = vec![GroupStats::default(); stats.len()];
        std::mem::replace(&mut *stats, fresh)
    }

    /// Stops sending new hits, and blocks until those in flight have ended or 20 s have passed.
    pub fn finish(&self) -> Vec<GroupStats> {
        self.0.stopping.store(true, Ordering::SeqCst);
        let timeout = Duration::from_secs(20);
        crate::runtime::wait_until(timeout, || self.0.in_flight.load(Ordering::SeqCst) == 0);
        lock(&self.0.idle_connections).clear();
        self.stats()
    }

    async fn generate_hits(self, executor: Arc<Executor<'static>>) {
        let plan = &self.0.plan;
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let Ok(interarrival) = Exp::new(plan.hits_per_second) else { return };
        let share_sum: f64 = plan.kinds.iter().map(|k| k.share).sum();
        let mut next = Instant::now();
        while !self.0.stopping.load(Ordering::SeqCst) {
            let mut kind_draw = rng.random_range(0.0..share_sum);
            let kind = plan.kinds.iter().find(|k| {
                kind_draw -= k.share;
                kind_draw < 0.0
            });
            let Some(kind) = kind.or(plan.kinds.last()).cloned() else { return };
            let (marshal, key, idempotency_key) =
                (rng.random_range(0..self.0.addrs.len()), rng.random(), rng.random());
            self.0.in_flight.fetch_add(1, Ordering::SeqCst);
            let load = self.clone();
            let hit = async move {
                load.send_hit(&kind, marshal, key, idempotency_key).await;
                load.0.in_flight.fetch_sub(1, Ordering::SeqCst);
            };
            executor.spawn(hit).detach();
            next += Duration::from_secs_f64(interarrival.sample(&mut rng));
            Timer::at(next).await;
        }
    }

    fn update_stats(&self, group: usize, change: impl FnOnce(&mut GroupStats)) {
        change(&mut lock(&self.0.stats)[group]);
    }

    /// Sends one hit, with its retries.
    async fn send_hit(&self, kind: &HitKind, marshal: usize, key: u64, idempotency_key: u64) {
        let group = &self.0.groups[kind.group];
        let start = Instant::now();
        self.update_stats(kind.group, |stats| stats.hits += 1);
        for try_number in 1..=self.0.plan.max_tries.max(1) {
            let sent_at = Instant::now();
            self.update_stats(kind.group, |stats| stats.tries += 1);
            let outcome = self.send_try(kind, marshal, key, idempotency_key, try_number > 1).await;
            let latency = sent_at.elapsed();
            match outcome {
                TryOutcome::Delivered => {
                    let in_time = start.elapsed() <= group.latency_target;
                    self.update_stats(kind.group, |stats| {
                        stats.delivered += 1;
                        stats.in_time += u64::from(in_time);
                        stats.latency_micros.saturating_record(latency.as_micros() as u64);
                    });
                    return;
                }
                TryOutcome::Bounced(retry_after) if try_number < self.0.plan.max_tries => {
                    sleep(retry_after.unwrap_or(Span::millis(100))).await;
                }
                TryOutcome::Bounced(_) => self.update_stats(kind.group, |stats| stats.bounced += 1),
                TryOutcome::Errored => {
                    self.update_stats(kind.group, |stats| stats.errored += 1);
                    return;
                }
                TryOutcome::Unanswered => {
                    self.update_stats(kind.group, |stats| stats.unanswered += 1);
                    return;
                }
            }
        }
    }

    /// Sends one try of a hit, with an id of its own, and waits for its outcome.
    async fn send_try(
        &self, kind: &HitKind, marshal: usize, key: u64, idempotency_key: u64, is_retry: bool,
    ) -> TryOutcome {
        let group = &self.0.groups[kind.group];
        let id = format!(
            "{:016x}",
            self.0.id_sequence.fetch_add(1, Ordering::SeqCst) ^ self.0.plan.seed.rotate_left(32)
        );
        let (text, idempotency_key) = encode_hit(group, &id, key, idempotency_key, kind, is_retry);
        let request = Request {
            group: kind.group,
            effect: group.effect,
            idempotency_key,
            client_timeout: Span::nanos(kind.client_timeout.as_nanos() as u64),
        };
        let give_up = Timer::after(kind.client_timeout + Duration::from_millis(300));
        let mut recorded = false;
        let exchange = async {
            // The marshal may have closed an idle connection meanwhile; the hit is then sent again on another one.
            loop {
                let (mut conn, is_new) = self.connection(marshal).await?;
                if wire::write(&mut &conn.stream, &text).await.is_err() {
                    if is_new { return None } else { continue }
                }
                if !std::mem::replace(&mut recorded, true) {
                    self.0.checker.lock().hit_sent(&id, request.clone(), self.0.clock.now());
                }
                match conn.messages.next(&mut &conn.stream).await {
                    Ok(Some(answer)) => {
                        lock(&self.0.idle_connections).push((marshal, conn));
                        return Some(answer);
                    }
                    _ if is_new => return None,
                    _ => {}
                }
            }
        };
        let answer = or(async { Some(exchange.await) }, async {
            give_up.await;
            None
        });
        let answer = answer.await;
        let now = self.0.clock.now();
        match answer {
            Some(Some(answer)) => self.record_answer(&id, &answer),
            // The connection ended, or none could be opened.
            Some(None) => {
                self.0.checker.lock().client_left(&id, false, now);
                TryOutcome::Unanswered
            }
            None => {
                self.0.checker.lock().client_left(&id, recorded, now);
                TryOutcome::Unanswered
            }
        }
    }

    fn record_answer(&self, id: &str, answer: &Message) -> TryOutcome {
        let (outcome, try_outcome) = match answer {
            Message::Bulk(value) if value.starts_with(id.as_bytes()) => {
                (Outcome::Delivered, TryOutcome::Delivered)
            }
            Message::Bulk(_) => (Outcome::WrongValue, TryOutcome::Errored),
            Message::Line(line) if line.starts_with("-BUSY") => {
                let retry_after = line.split(' ').nth(1).and_then(|ms| ms.parse().ok()).map(Span::millis);
                (Outcome::Bounced, TryOutcome::Bounced(retry_after))
            }
            _ => (Outcome::Errored, TryOutcome::Errored),
        };
        self.0.checker.lock().hit_answered(id, outcome, self.0.clock.now());
        try_outcome
    }

    /// An idle connection to the marshal, or a new one, and whether it is new.
    async fn connection(&self, marshal: usize) -> Option<(Connection, bool)> {
        let permit = loop {
            let idle = {
                let mut idle = lock(&self.0.idle_connections);
                let position = idle.iter().rposition(|(to, _)| *to == marshal);
                position.map(|position| idle.swap_remove(position).1)
            };
            if let Some(conn) = idle {
                return Some((conn, false));
            }
            if let Some(permit) = Permit::take(&self.0.open_connections, self.0.plan.max_connections) {
                break permit;
            }
            Timer::after(Duration::from_millis(1)).await;
        };
        let stream = Stream::connect(self.0.addrs[marshal]).await.ok()?;
        let _ = stream.get_ref().set_nodelay(true);
        Some((Connection { stream, messages: MessageReader::default(), _permit: permit }, true))
    }
}

/// Outcome of a try; a bounce has the retry-after delay, if the answer stated one.
enum TryOutcome {
    Delivered,
    Bounced(Option<Span>),
    Errored,
    Unanswered,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Command of a hit, and its idempotency key if the path group is tagged.
pub fn encode_hit(
    group: &PathGroup, id: &str, key: u64, idempotency_key: u64, kind: &HitKind, is_retry: bool,
) -> (Vec<u8>, Option<String>) {
    let mut fields = format!("c={},t=acme,d={}", group.name, kind.client_timeout.as_millis());
    let tagged = matches!(group.effect, Effect::Tagged { .. });
    let idempotency_key = tagged.then(|| format!("{idempotency_key:016x}"));
    if let Some(idempotency_key) = &idempotency_key {
        fields += &format!(",k={idempotency_key}");
    }
    if is_retry {
        fields += ",r=1";
    }
    let (key, body) = (format!("{key:016x}"), vec![b'b'; kind.body_bytes]);
    let text = match group.effect {
        Effect::Repeatable => {
            wire::encode_command(&[b"SVC.QUERY", key.as_bytes(), id.as_bytes(), fields.as_bytes()])
        }
        _ => wire::encode_command(&[b"SVC.SUBMIT", key.as_bytes(), id.as_bytes(), fields.as_bytes(), &body]),
    };
    (text, idempotency_key)
}
