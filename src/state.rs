//! The module's state by how long it lives: for a forward, a hit, a node, the instance. Plain data; what it
//! means is decided in `policy`.

use crate::host::{BuildStatus, ForwardOutcome, NodeAttributes, Readiness, Verdict};
use crate::index::{Index, lot};
use crate::load_shedding::Waits;
use crate::outcomes::Ledger;
use crate::settings::{
    ExposureLimits, NodeListSettings, PathGroup, SiteLimits, Tenancy, VotingRules, WarmUp,
};
use crate::time::{Span, Time};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::ops::{Index as At, IndexMut as AtMut};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No forward out; held for room.
    Waiting,
    /// At least one forward out.
    Out,
    Delivered,
    Bounced,
    Errored,
    /// The client left, or was answered by other means.
    Left,
}

impl State {
    pub fn ended(self) -> bool {
        !matches!(self, State::Waiting | State::Out)
    }
}

/// Listed start of nodes that started a long time back.
pub const EPOCH: Time = Time::at(0);

/// A point in time that is not to come.
pub const NEVER: Time = Time::at(u64::MAX);

/// What a timer is for, as the token that comes back with it.
pub enum Timer {
    Evaluate,
    RequestList,
    Deadline(u32),
    Hedge(u32, u8),
}

impl Timer {
    pub fn token(self) -> u64 {
        match self {
            Timer::Evaluate => 0,
            Timer::RequestList => 1 << 48,
            Timer::Deadline(id) => 2 << 48 | u64::from(id),
            Timer::Hedge(id, hop) => 3 << 48 | u64::from(hop) << 32 | u64::from(id),
        }
    }
}

impl From<u64> for Timer {
    fn from(token: u64) -> Self {
        match token >> 48 {
            0 => Timer::Evaluate,
            1 => Timer::RequestList,
            2 => Timer::Deadline(token as u32),
            _ => Timer::Hedge(token as u32, (token >> 32) as u8),
        }
    }
}

/// Why a hit is forwarded: for the first time, again after a failure, or in a second copy because the
/// first takes long.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    First,
    Again,
    Copy,
}

#[derive(Clone, Copy)]
pub struct Forward {
    pub node: usize,
    pub place: NodeAttributes,
    pub build: u16,
    pub sent: Time,
    /// Own forwards that the node held then.
    pub held: f64,
    /// It tries a node in spite of its blame.
    pub curious: bool,
    pub fate: Option<ForwardOutcome>,
}

impl Forward {
    pub fn never_ran(&self) -> bool {
        matches!(
            self.fate,
            Some(ForwardOutcome::Rejected | ForwardOutcome::Unreached | ForwardOutcome::Unsent)
        )
    }
}

pub struct Hit {
    pub id: u32,
    pub group: usize,
    pub key: u64,
    pub taken: Time,
    /// When the final answer is due at the latest.
    pub ends: Time,
    /// Expected work in seconds.
    pub work: f64,
    /// Worth as a share of the best hit's.
    pub value: f64,
    /// Its lot with each node that not all hits are open to.
    pub luck: f64,
    pub state: State,
    pub forwards: Vec<Forward>,
}

impl Hit {
    pub fn taken(
        id: u32, group: usize, key: u64, taken: Time, ends: Time, work: f64, value: f64, luck: f64,
    ) -> Self {
        let (state, forwards) = (State::Waiting, Vec::new());
        Hit { id, group, key, taken, ends, work, value, luck, state, forwards }
    }

    pub fn out(&self) -> bool {
        self.forwards.iter().any(|f| f.fate.is_none())
    }
}

pub struct Node {
    pub id: u64,
    pub place: NodeAttributes,
    pub readiness: Readiness,
    pub build: u16,
    /// Listed start; zero for a long time back.
    pub started: Time,
    /// Own forwards out.
    pub open: u32,
    /// Answer time over expected work, the hits held that it was met with, and when last.
    pub pace: f64,
    pub usual: f64,
    pub timed: Time,
    /// Recent failures, 0 to 1, as of `blamed`.
    pub blame: f64,
    pub blamed: Time,
    /// Sending time of the first forward since the node was last heard, and how many were sent since.
    pub unheard: Option<Time>,
    pub since: u32,
    /// Sending time of the newest forward that it answered.
    pub answered: Time,
    /// From when on that counts as silence; not yet while too few were sent.
    pub due: Time,
    /// When it was last tried in spite of its blame.
    pub tried: Time,
    /// Its fair part of the own hits, and where that starts on the circle of all parts.
    pub part: f64,
    pub start: f64,
}

impl Node {
    /// Forwards are out, and nothing was heard by the time it was due.
    pub fn silent(&self, now: Time) -> bool {
        self.unheard.is_some() && now > self.due
    }

    /// The forward out is held up by others: neither is the node silent, nor did it answer a later one.
    pub fn queues(&self, forward: &Forward, now: Time) -> bool {
        !self.silent(now) && self.answered <= forward.sent
    }

    /// Books a forward to it; returns how many it held.
    pub fn sends(&mut self, now: Time) -> f64 {
        let held = f64::from(self.open);
        (self.open, self.since) = (self.open + 1, self.since + 1);
        self.unheard = self.unheard.or(Some(now));
        held
    }

    /// Books the end of a forward, and whether it was a word of the node; false where the process that the
    /// forward went to is gone.
    pub fn hears(&mut self, now: Time, forward: &Forward, word: bool) -> bool {
        self.open = self.open.saturating_sub(1);
        if forward.sent < self.started || forward.build != self.build {
            return false;
        }
        if word {
            (self.unheard, self.since, self.due) = ((self.open > 0).then_some(now), 0, NEVER);
            self.answered = self.answered.max(forward.sent);
        }
        true
    }

    /// Time since its listed start; without end if that was a long time back.
    pub fn age(&self, at: Time) -> Span {
        if self.started == EPOCH { Span::nanos(u64::MAX) } else { at - self.started }
    }

    /// A node of which nothing is known yet but its listing, and the pace and load of others.
    pub fn new(id: u64, place: NodeAttributes, readiness: Readiness, build: u16, started: Time) -> Self {
        let (blamed, tried, answered) = (Time::default(), Time::default(), Time::default());
        let (pace, usual, part, start) = (1.0, 0.0, 0.0, 0.0);
        let (open, blame, unheard, since, due) = (0, 0.0, None, 0, NEVER);
        Node {
            id,
            place,
            readiness,
            build,
            started,
            open,
            pace,
            usual,
            timed: tried,
            blame,
            blamed,
            unheard,
            since,
            answered,
            due,
            tried,
            part,
            start,
        }
    }
}

/// The nodes that lists have named, by their small index.
#[derive(Default)]
pub struct Nodes {
    pub rows: Vec<Node>,
    pub named: Index<u64>,
    /// Which ones the full list now coming in has named.
    mentioned: Option<Vec<bool>>,
}

impl Nodes {
    pub fn ready(&self) -> impl Iterator<Item = &Node> {
        self.rows.iter().filter(|n| n.readiness == Readiness::Ready)
    }

    /// The ready ones by build and zone, ranked by a hash of their number and that of the marshal.
    pub fn ranked(&self, me: usize) -> BTreeMap<(u16, u8), Vec<usize>> {
        let mut ranked: BTreeMap<(u16, u8), Vec<usize>> = BTreeMap::new();
        for (at, node) in self.rows.iter().enumerate().filter(|(_, n)| n.readiness == Readiness::Ready) {
            ranked.entry((node.build, node.place.zone)).or_default().push(at);
        }
        ranked.values_mut().for_each(|v| v.sort_by_key(|at| lot(self.rows[*at].id, me as u64)));
        ranked
    }

    pub fn begin_list(&mut self, full: bool) {
        self.mentioned = full.then(|| vec![false; self.rows.len()]);
    }

    /// Puts down one entry. A new process under an old id, or one that comes back, starts afresh, but for
    /// forwards still out.
    pub fn update_entry(&mut self, fresh: Node) {
        let at = self.named.enter(fresh.id);
        if let Some(mentioned) = &mut self.mentioned {
            mentioned.resize(mentioned.len().max(at + 1), false);
            mentioned[at] = true;
        }
        match self.rows.get_mut(at) {
            None => self.rows.push(fresh),
            Some(node)
                if node.readiness == Readiness::Gone
                    || (node.started, node.build) != (fresh.started, fresh.build) =>
            {
                *node = Node { open: node.open, ..fresh };
            }
            Some(node) => (node.readiness, node.place) = (fresh.readiness, fresh.place),
        }
    }

    /// Ends a list; what a full one left out is gone. Gone nodes are forgotten once all is home.
    pub fn end_list(&mut self) {
        for (at, named) in self.mentioned.take().into_iter().flatten().enumerate() {
            if !named {
                self.rows[at].readiness = Readiness::Gone;
            }
        }
        for (at, node) in self.rows.iter().enumerate() {
            if node.readiness == Readiness::Gone && node.open == 0 && self.named.find(node.id) == Some(at) {
                self.named.leave(node.id);
            }
        }
    }
}

/// The hits not yet done with, by their small index.
#[derive(Default)]
pub struct Hits {
    rows: Vec<Hit>,
    taken: Index<u32>,
}

impl Hits {
    pub fn enter(&mut self, hit: Hit) -> usize {
        let slot = self.taken.enter(hit.id);
        if slot < self.rows.len() {
            self.rows[slot] = hit;
        } else {
            self.rows.push(hit);
        }
        slot
    }

    pub fn find(&self, id: u32) -> Option<usize> {
        self.taken.find(id)
    }

    /// The forwards out for hits that are not answered yet.
    pub fn forwards_out(&self) -> impl Iterator<Item = &Forward> {
        let open = self.rows.iter().filter(|hit| !hit.state.ended());
        open.flat_map(|hit| &hit.forwards).filter(|f| f.fate.is_none())
    }

    /// Those of the hits that wait still, the most worthy first, and by lot among equals.
    pub fn waiting(&self, ids: Vec<u32>) -> Vec<usize> {
        let waits = |slot: &usize| self.rows[*slot].state == State::Waiting;
        let mut slots: Vec<_> = ids.into_iter().filter_map(|id| self.find(id)).filter(waits).collect();
        let rank = |slot: usize| (self.rows[slot].value, self.rows[slot].luck);
        slots.sort_by(|a, b| rank(*b).partial_cmp(&rank(*a)).unwrap_or(std::cmp::Ordering::Equal));
        slots
    }

    /// Frees an ended hit once all its forwards have come home.
    pub fn release(&mut self, slot: usize) {
        if self.rows[slot].state.ended() && !self.rows[slot].out() {
            self.taken.leave(self.rows[slot].id);
        }
    }
}

impl At<usize> for Hits {
    type Output = Hit;
    fn index(&self, slot: usize) -> &Hit {
        &self.rows[slot]
    }
}

impl AtMut<usize> for Hits {
    fn index_mut(&mut self, slot: usize) -> &mut Hit {
        &mut self.rows[slot]
    }
}

// ---- For the instance ----

/// The hits' side: path groups, what hits are worth, what they may still cost.
pub struct Desk {
    pub groups: Vec<PathGroup>,
    pub tenancy: Tenancy,
    pub handling: SiteLimits,
    /// Usual answer times by path group, and how long hits may wait.
    pub waits: Waits,
    /// Each tenant's hits within its share, ready to be taken.
    pub credits: Vec<f64>,
    pub extra: f64,
    /// Mean expected work of a hit, in seconds.
    pub work: f64,
}

/// What each build on trial may still get, by build and path group.
#[derive(Default)]
pub struct Exposure {
    pub trial: ExposureLimits,
    pub salt: u64,
    pub buckets: BTreeMap<(u16, usize), f64>,
    /// Keys that the newest build has answered.
    pub answered: HashSet<u64>,
}

/// The newest build's own record; it starts afresh with the next one.
#[derive(Default)]
pub struct Record {
    /// It was told on trial: there is an earlier one to go back to.
    pub offered: bool,
    /// How many marshals drew a lower lot for this stage.
    pub rank: usize,
    /// Outcomes in this stage, and net good ones in all.
    pub stage_outcomes: f64,
    pub good: f64,
    /// Odds (log) that it answers wrongly.
    pub odds: f64,
    /// Its share of the answers look by look, with the fleet's pace and work a node.
    pub course: VecDeque<(f64, f64, f64)>,
    pub slow_looks: u32,
    /// It is meant to go back until then.
    pub back_until: Time,
}

/// What is known of the newest build, what was seen of each build, and the marshal's vote.
#[derive(Default)]
pub struct Gate {
    pub ballot: VotingRules,
    /// The cap of stage 0, for builds not announced yet.
    pub first_cap: f64,
    /// Build, stage, standing, cap, and since when the stage stands.
    pub told: Option<(u16, u8, BuildStatus, f64, Time)>,
    pub seen: Ledger,
    /// Answers of warm nodes lately: when, their pace, by which build.
    pub answers: VecDeque<(Time, f64, u16)>,
    /// What the platform counted over all marshals.
    pub sums: Ledger,
    pub e: Vec<f64>,
    /// Share of hits shed lately.
    pub shed: f64,
    pub record: Record,
    /// The vote that may stand, when it was cast, and whether its answer is still to come.
    pub vote: (u16, u8, Verdict),
    pub cast: Time,
    pub pending: bool,
}

impl Gate {
    /// Pace of the answer that stands at one part in so many, quickest first.
    pub fn quicker(&self, parts: usize) -> f64 {
        let mut paces: Vec<f64> = self.answers.iter().map(|a| a.1).collect();
        paces.sort_by(f64::total_cmp);
        paces[paces.len() / parts]
    }
}

/// The nodes as last listed, and what cold ones may be sent.
#[derive(Default)]
pub struct Fleet {
    pub listed: NodeListSettings,
    pub warm_up: WarmUp,
    pub nodes: Nodes,
    pub waits: Span,
    /// Share of answers that go astray: later forwards to the same node are answered first.
    pub astray: f64,
    /// Usual pace of a node by its kind.
    pub paces: Vec<f64>,
    /// The nodes in use, and how many of a kind that may be.
    pub hand: Vec<usize>,
    pub width: usize,
    /// Hits taken since the last look, looks so far, and hits usually taken in a second.
    pub taken: f64,
    pub looks: f64,
    pub rate: f64,
    /// Hits a second in the long run.
    pub calm: f64,
}

impl Fleet {
    /// Usual pace of a kind; until known, a node needs the expected work.
    pub fn usual(&mut self, kind: u16) -> f64 {
        let kind = usize::from(kind);
        self.paces.resize(self.paces.len().max(kind + 1), 1.0);
        self.paces[kind]
    }

    /// Takes the last span's hits into the rates: a plain mean at first, then by `weight`, or by `slow`.
    pub fn measure(&mut self, seconds: f64, weight: f64, slow: f64) {
        self.looks += 1.0;
        self.calm += slow.max(1.0 / self.looks) * (self.taken / seconds - self.calm);
        self.rate += weight.max(1.0 / self.looks) * (self.taken / seconds - self.rate);
        self.taken = 0.0;
    }
}
