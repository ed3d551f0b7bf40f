//! Counts of outcomes by build, path group and source, in grains of time.

use crate::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    pub n: f64,
    /// Failed or late.
    pub bad: f64,
    /// Of those, failed.
    pub failed: f64,
    /// Answers of warm nodes, and the sum of their times against what was expected.
    pub timed: f64,
    pub time: f64,
}

impl Count {
    pub fn add(&mut self, other: Count) {
        self.n += other.n;
        self.bad += other.bad;
        self.failed += other.failed;
        self.timed += other.timed;
        self.time += other.time;
    }

    /// The same with lateness left aside.
    pub fn failures(self) -> Count {
        Count { bad: self.failed, ..self }
    }

    pub fn of(counts: &[Count]) -> Count {
        let mut sum = Count::default();
        counts.iter().for_each(|c| sum.add(*c));
        sum
    }

    /// Bad ones among all; zero where there are none.
    pub fn share(&self) -> f64 {
        self.bad / self.n.max(1.0)
    }

    /// Mean time of an answer against what was expected.
    pub fn pace(&self) -> f64 {
        self.time / self.timed.max(1.0)
    }
}

/// Counts of one source after the other, each by path group.
pub type Sources = Vec<(usize, Vec<Count>)>;

pub fn total(sources: &[(usize, Vec<Count>)]) -> Count {
    Count::of(&sources.iter().map(|(_, counts)| Count::of(counts)).collect::<Vec<_>>())
}

pub fn by_group(sources: &[(usize, Vec<Count>)], groups: usize) -> Vec<Count> {
    let mut sums = vec![Count::default(); groups];
    sources.iter().for_each(|(_, counts)| sums.iter_mut().zip(counts).for_each(|(sum, c)| sum.add(*c)));
    sums
}

#[derive(Default)]
pub struct Ledger {
    rows: BTreeMap<(u16, usize, usize), VecDeque<(Time, Count)>>,
}

impl Ledger {
    pub fn note(&mut self, build: u16, group: usize, source: usize, at: Time, grain: Span, count: Count) {
        let row = self.rows.entry((build, group, source)).or_default();
        match row.back_mut() {
            Some((start, sum)) if at - *start < grain => sum.add(count),
            _ => row.push_back((at, count)),
        }
    }

    pub fn forget(&mut self, before: Time) {
        for row in self.rows.values_mut() {
            while row.front().is_some_and(|(start, _)| *start < before) {
                row.pop_front();
            }
        }
        self.rows.retain(|_, row| !row.is_empty());
    }

    /// What came in since `from` of the builds that `of` picks.
    pub fn by_source(&self, from: Time, groups: usize, of: impl Fn(u16) -> bool) -> Sources {
        let mut sources: BTreeMap<usize, Vec<Count>> = BTreeMap::new();
        for (&(_, group, source), row) in self.rows.iter().filter(|(key, _)| of(key.0)) {
            for (_, count) in row.iter().rev().take_while(|(start, _)| *start >= from) {
                let counts = sources.entry(source).or_insert_with(|| vec![Count::default(); groups]);
                counts[group].add(*count);
            }
        }
        sources.into_iter().collect()
    }
}
