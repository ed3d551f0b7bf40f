//! Which hit ids are in use. Every request has a new id, a client's retry included, so a hit whose id is open already, or
//! belonged to a hit that may have run, is a copy: forwarding it could run the request twice.

use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use stonescale::time::{Span, Time};

/// Time for which the id of a hit that may have run is remembered after its end. A cancelled forward may still run until
/// the client's stated wait is over.
pub const ID_RETENTION: Span = Span::millis(60_000);

/// The id of an admitted hit, as a hash that is keyed anew in each process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HitId(u64);

/// The id belongs to another hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdInUse;

/// Why an id may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// Its hit has not ended.
    Open,
    /// Its hit ended at this time, and may have run.
    MayHaveRun(Time),
}

/// The ids of open hits, and of those that ended lately and may have run.
pub struct HitIds {
    hasher: RandomState,
    uses: HashMap<HitId, Use>,
    /// Ids of ended hits, in the order of their ends.
    ended: VecDeque<(Time, HitId)>,
    /// Most ids of ended hits that are remembered; above it the oldest are forgotten.
    max_ended: usize,
}

impl HitIds {
    /// An empty record that remembers up to `max_ended` ids of ended hits.
    pub fn new(max_ended: usize) -> Self {
        HitIds {
            hasher: RandomState::new(),
            uses: HashMap::new(),
            ended: VecDeque::new(),
            max_ended: max_ended.max(1),
        }
    }

    /// Number of ids of ended hits that are remembered.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Opens a hit with this id; fails if the id is that of an open hit, or of one that may have run.
    pub fn open(&mut self, id: &[u8], now: Time) -> Result<HitId, IdInUse> {
        self.forget_expired(now);
        let id = HitId(self.hasher.hash_one(id));
        if self.uses.contains_key(&id) {
            return Err(IdInUse);
        }
        self.uses.insert(id, Use::Open);
        Ok(id)
    }

    /// Ends an open hit. Its id may be used again at once unless `may_not_run_again`.
    pub fn end(&mut self, id: HitId, may_not_run_again: bool, now: Time) {
        if !may_not_run_again {
            self.uses.remove(&id);
            return;
        }
        self.uses.insert(id, Use::MayHaveRun(now));
        self.ended.push_back((now, id));
        if self.ended.len() > self.max_ended {
            self.forget_oldest();
        }
    }

    fn forget_expired(&mut self, now: Time) {
        while self.ended.front().is_some_and(|(at, _)| now - *at >= ID_RETENTION) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, id)) = self.ended.pop_front() else { return };
        if self.uses.get(&id) == Some(&Use::MayHaveRun(at)) {
            self.uses.remove(&id);
        }
    }
}
