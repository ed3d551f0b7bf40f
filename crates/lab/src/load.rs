//! Usual clients: hits arrive by chance at a stated rate, whatever becomes of those before them (an open loop). Each
//! is sent on an idle connection or a new one, and what is bounced is tried again as it was told to.

use crate::checker::{Asked, Books, Outcome};
use crate::site::Group;
use crate::stage::{Clock, Stage, Stream, pause};
use crate::wire::{self, Message, Messages};
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

/// What a kind of hit is and how much of the traffic it makes.
#[derive(Clone, Debug)]
pub struct Kind {
    pub group: usize,
    pub share: f64,
    /// Bytes of the body, for hits that have one.
    pub body: usize,
    pub patience: Duration,
}

#[derive(Clone, Debug)]
pub struct Plan {
    /// Hits a second.
    pub rate: f64,
    pub kinds: Vec<Kind>,
    /// Connections at most; past it a hit waits for one.
    pub connections: usize,
    /// Tries of a hit that is bounced.
    pub tries: u32,
    pub seed: u64,
}

impl Plan {
    /// Reads only, at this rate.
    pub fn reads(rate: f64, seed: u64) -> Self {
        let kind =
            Kind { group: crate::site::READ, share: 1.0, body: 0, patience: Duration::from_millis(900) };
        Plan { rate, kinds: vec![kind], connections: 64, tries: 3, seed }
    }

    /// All path groups: seven reads, two pushes and a booking of ten.
    pub fn mixed(rate: f64, seed: u64) -> Self {
        let patience = Duration::from_millis(900);
        let kind = |group, share, body| Kind { group, share, body, patience };
        let kinds = vec![kind(0, 0.7, 0), kind(1, 0.2, 200), kind(2, 0.1, 200)];
        Plan { kinds, ..Plan::reads(rate, seed) }
    }
}

/// What became of the hits of one path group; a hit's tries count as one.
#[derive(Clone, Debug)]
pub struct Tally {
    pub asked: u64,
    pub delivered: u64,
    /// Delivered within the target latency, tries and waits between them counted in.
    pub in_time: u64,
    /// Ended by a bounce, by an error, without an answer.
    pub bounced: u64,
    pub errored: u64,
    pub unanswered: u64,
    /// Tries in all.
    pub tries: u64,
    /// Time to the last byte of a delivered hit's last try, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a minute");
        Tally { asked: 0, delivered: 0, in_time: 0, bounced: 0, errored: 0, unanswered: 0, tries: 0, latency }
    }
}

impl Tally {
    /// Share of the hits that were delivered in time.
    pub fn served(&self) -> f64 {
        self.in_time as f64 / (self.asked as f64).max(1.0)
    }
}

struct Shared {
    clock: Clock,
    books: Books,
    groups: Vec<Group>,
    addrs: Vec<SocketAddr>,
    plan: Plan,
    idle: Mutex<Vec<(usize, Conn)>>,
    open: Arc<AtomicU64>,
    ids: AtomicU64,
    tallies: Mutex<Vec<Tally>>,
    under_way: AtomicU64,
    ended: AtomicBool,
}

struct Conn {
    stream: Stream,
    messages: Messages,
    _permit: Permit,
}

/// One of the connections that may be open; given back however its holder ends, also in the middle of a wait.
struct Permit(Arc<AtomicU64>);

impl Permit {
    fn take(open: &Arc<AtomicU64>, most: usize) -> Option<Self> {
        let more = |now: u64| (now < most as u64).then_some(now + 1);
        open.fetch_update(Ordering::SeqCst, Ordering::SeqCst, more).ok()?;
        Some(Permit(open.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Clients that run until they are told to end; clones are handles to the same.
#[derive(Clone)]
pub struct Load(Arc<Shared>);

impl Load {
    /// Clients of the marshals at `addrs`, each hit at one of them by chance.
    pub fn start(
        stage: &Stage, books: Books, groups: Vec<Group>, addrs: Vec<SocketAddr>, plan: Plan,
    ) -> Self {
        let tallies = Mutex::new(vec![Tally::default(); groups.len()]);
        let load = Load(Arc::new(Shared {
            clock: stage.clock,
            books,
            groups,
            addrs,
            plan,
            idle: Mutex::default(),
            open: Arc::default(),
            ids: AtomicU64::new(0),
            tallies,
            under_way: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        }));
        stage.spawn(load.clone().arrivals(stage.tasks()));
        load
    }

    /// What became of the hits so far, by path group.
    pub fn tallies(&self) -> Vec<Tally> {
        lock(&self.0.tallies).clone()
    }

    /// Starts counting anew.
    pub fn count_anew(&self) -> Vec<Tally> {
        let mut tallies = lock(&self.0.tallies);
        let fresh = vec![Tally::default(); tallies.len()];
        std::mem::replace(&mut *tallies, fresh)
    }

    /// No further hits; waits in a story until all are done with.
    pub fn finish(&self) -> Vec<Tally> {
        self.0.ended.store(true, Ordering::SeqCst);
        let limit = Duration::from_secs(20);
        crate::stage::until(limit, || self.0.under_way.load(Ordering::SeqCst) == 0);
        lock(&self.0.idle).clear();
        self.tallies()
    }

    async fn arrivals(self, tasks: Arc<Executor<'static>>) {
        let plan = &self.0.plan;
        let mut chance = Pcg64Mcg::seed_from_u64(plan.seed);
        let Ok(gaps) = Exp::new(plan.rate) else { return };
        let shares: f64 = plan.kinds.iter().map(|k| k.share).sum();
        let mut next = Instant::now();
        while !self.0.ended.load(Ordering::SeqCst) {
            let mut lot = chance.random_range(0.0..shares);
            let kind = plan.kinds.iter().find(|k| {
                lot -= k.share;
                lot < 0.0
            });
            let Some(kind) = kind.or(plan.kinds.last()).cloned() else { return };
            let (at, key, mark) =
                (chance.random_range(0..self.0.addrs.len()), chance.random(), chance.random());
            self.0.under_way.fetch_add(1, Ordering::SeqCst);
            let load = self.clone();
            let hit = async move {
                load.hit(&kind, at, key, mark).await;
                load.0.under_way.fetch_sub(1, Ordering::SeqCst);
            };
            tasks.spawn(hit).detach();
            next += Duration::from_secs_f64(gaps.sample(&mut chance));
            Timer::at(next).await;
        }
    }

    fn tally(&self, group: usize, change: impl FnOnce(&mut Tally)) {
        change(&mut lock(&self.0.tallies)[group]);
    }

    /// One hit with its tries.
    async fn hit(&self, kind: &Kind, at: usize, key: u64, mark: u64) {
        let group = &self.0.groups[kind.group];
        let start = Instant::now();
        self.tally(kind.group, |t| t.asked += 1);
        for tries in 1..=self.0.plan.tries.max(1) {
            let sent = Instant::now();
            self.tally(kind.group, |t| t.tries += 1);
            let outcome = self.send(kind, at, key, mark, tries > 1).await;
            let took = sent.elapsed();
            match outcome {
                Ended::Delivered => {
                    let in_time = start.elapsed() <= group.target;
                    self.tally(kind.group, |t| {
                        t.delivered += 1;
                        t.in_time += u64::from(in_time);
                        t.latency.saturating_record(took.as_micros() as u64);
                    });
                    return;
                }
                Ended::Bounced(again) if tries < self.0.plan.tries => {
                    pause(again.unwrap_or(Span::millis(100))).await;
                }
                Ended::Bounced(_) => self.tally(kind.group, |t| t.bounced += 1),
                Ended::Errored => {
                    self.tally(kind.group, |t| t.errored += 1);
                    return;
                }
                Ended::Unanswered => {
                    self.tally(kind.group, |t| t.unanswered += 1);
                    return;
                }
            }
        }
    }

    /// One try of a hit, under an id of its own.
    async fn send(&self, kind: &Kind, at: usize, key: u64, mark: u64, again: bool) -> Ended {
        let group = &self.0.groups[kind.group];
        let id =
            format!("{:016x}", self.0.ids.fetch_add(1, Ordering::SeqCst) ^ self.0.plan.seed.rotate_left(32));
        let (text, mark) = words(group, &id, key, mark, kind, again);
        let asked = Asked {
            group: kind.group,
            effect: group.effect,
            mark,
            patience: Span::nanos(kind.patience.as_nanos() as u64),
        };
        let owed = Timer::after(kind.patience + Duration::from_millis(300));
        let mut told = false;
        let exchange = async {
            // A connection that the marshal closed meanwhile: the hit goes once more, on a new one.
            loop {
                let (mut conn, fresh) = self.connection(at).await?;
                if wire::write(&mut &conn.stream, &text).await.is_err() {
                    if fresh { return None } else { continue }
                }
                if !std::mem::replace(&mut told, true) {
                    self.0.books.lock().sent(&id, asked.clone(), self.0.clock.now());
                }
                match conn.messages.next(&mut &conn.stream).await {
                    Ok(Some(answer)) => {
                        lock(&self.0.idle).push((at, conn));
                        return Some(answer);
                    }
                    _ if fresh => return None,
                    _ => {}
                }
            }
        };
        let answer = or(async { Some(exchange.await) }, async {
            owed.await;
            None
        });
        let answer = answer.await;
        let now = self.0.clock.now();
        match answer {
            Some(Some(answer)) => self.ended(&id, &answer),
            // The connection ended, or there was none to be had.
            Some(None) => {
                self.0.books.lock().left(&id, false, now);
                Ended::Unanswered
            }
            None => {
                self.0.books.lock().left(&id, told, now);
                Ended::Unanswered
            }
        }
    }

    fn ended(&self, id: &str, answer: &Message) -> Ended {
        let (outcome, ended) = match answer {
            Message::Bulk(value) if value.starts_with(id.as_bytes()) => {
                (Outcome::Delivered, Ended::Delivered)
            }
            Message::Bulk(_) => (Outcome::Wrong, Ended::Errored),
            Message::Line(line) if line.starts_with("-BUSY") => {
                let again = line.split(' ').nth(1).and_then(|ms| ms.parse().ok()).map(Span::millis);
                (Outcome::Bounced, Ended::Bounced(again))
            }
            _ => (Outcome::Errored, Ended::Errored),
        };
        self.0.books.lock().answered(id, outcome, self.0.clock.now());
        ended
    }

    /// An idle connection, or a new one; says whether it is new.
    async fn connection(&self, at: usize) -> Option<(Conn, bool)> {
        let permit = loop {
            let idle = {
                let mut idle = lock(&self.0.idle);
                let place = idle.iter().rposition(|(to, _)| *to == at);
                place.map(|place| idle.swap_remove(place).1)
            };
            if let Some(conn) = idle {
                return Some((conn, false));
            }
            if let Some(permit) = Permit::take(&self.0.open, self.0.plan.connections) {
                break permit;
            }
            Timer::after(Duration::from_millis(1)).await;
        };
        let stream = Stream::connect(self.0.addrs[at]).await.ok()?;
        let _ = stream.get_ref().set_nodelay(true);
        Some((Conn { stream, messages: Messages::default(), _permit: permit }, true))
    }
}

enum Ended {
    Delivered,
    Bounced(Option<Span>),
    Errored,
    Unanswered,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A hit's command, and its mark if it has one.
pub fn words(
    group: &Group, id: &str, key: u64, mark: u64, kind: &Kind, again: bool,
) -> (Vec<u8>, Option<String>) {
    let mut list = format!("c={},t=acme,d={}", group.name, kind.patience.as_millis());
    let tagged = matches!(group.effect, Effect::Tagged { .. });
    let mark = tagged.then(|| format!("{mark:016x}"));
    if let Some(mark) = &mark {
        list += &format!(",k={mark}");
    }
    if again {
        list += ",r=1";
    }
    let (key, body) = (format!("{key:016x}"), vec![b'b'; kind.body]);
    let text = match group.effect {
        Effect::Repeatable => wire::command(&[b"SVC.QUERY", key.as_bytes(), id.as_bytes(), list.as_bytes()]),
        _ => wire::command(&[b"SVC.SUBMIT", key.as_bytes(), id.as_bytes(), list.as_bytes(), &body]),
    };
    (text, mark)
}
