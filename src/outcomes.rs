//! Counts of outcomes by build, path group and source, in short intervals of time.

use crate::time::{Span, Time};
use std::collections::{BTreeMap, VecDeque};

/// How many forwards ended, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    pub total: f64,
    /// Failed or late.
    pub bad: f64,
    /// Of those, failed.
    pub failed: f64,
    /// Answers of warm nodes, and forwards to them that ended late without one.
    pub timed: f64,
    /// Sum of their slowdowns: latency ratio over the usual one of the node's kind, bounded for each.
    pub slowdown_sum: f64,
}

impl OutcomeCounts {
    pub fn add(&mut self, other: OutcomeCounts) {
        self.total += other.total;
        self.bad += other.bad;
        self.failed += other.failed;
        self.timed += other.timed;
        self.slowdown_sum += other.slowdown_sum;
    }

    /// The same counts with only failures as bad ones, not lateness.
    pub fn failures_only(self) -> OutcomeCounts {
        OutcomeCounts { bad: self.failed, ..self }
    }

    pub fn sum(counts: &[OutcomeCounts]) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        counts.iter().for_each(|c| sum.add(*c));
        sum
    }

    /// Bad outcomes over all; zero where there are none.
    pub fn bad_share(&self) -> f64 {
        self.bad / self.total.max(1.0)
    }

    /// Mean slowdown of an answer; 1 is the usual time.
    pub fn mean_slowdown(&self) -> f64 {
        self.slowdown_sum / self.timed.max(1.0)
    }
}

/// Counts by source (a node's index, or zero for the platform's counts), in its order, each by path group.
pub type CountsBySource = Vec<(usize, Vec<OutcomeCounts>)>;

/// Sum over all sources and path groups.
pub fn sum_all(sources: &[(usize, Vec<OutcomeCounts>)]) -> OutcomeCounts {
    OutcomeCounts::sum(&sources.iter().map(|(_, counts)| OutcomeCounts::sum(counts)).collect::<Vec<_>>())
}

/// Sum over all sources, by path group.
pub fn sum_by_group(sources: &[(usize, Vec<OutcomeCounts>)], groups: usize) -> Vec<OutcomeCounts> {
    let mut sums = vec![OutcomeCounts::default(); groups];
    sources.iter().for_each(|(_, counts)| sums.iter_mut().zip(counts).for_each(|(sum, c)| sum.add(*c)));
    sums
}

/// Counts over time: by build, path group and source, the start of each interval and its counts.
#[derive(Default)]
pub struct OutcomeLog {
    rows: BTreeMap<(u16, usize, usize), VecDeque<(Time, OutcomeCounts)>>,
}

impl OutcomeLog {
    /// Adds counts; those within `interval` of the row's last start are summed up.
    pub fn record(
        &mut self, build: u16, group: usize, source: usize, at: Time, interval: Span, counts: OutcomeCounts,
    ) {
        let row = self.rows.entry((build, group, source)).or_default();
        match row.back_mut() {
            Some((start, sum)) if at - *start < interval => sum.add(counts),
            _ => row.push_back((at, counts)),
        }
    }

    /// Forgets the intervals that started before a point in time.
    pub fn drop_before(&mut self, before: Time) {
        for row in self.rows.values_mut() {
            while row.front().is_some_and(|(start, _)| *start < before) {
                row.pop_front();
            }
        }
        self.rows.retain(|_, row| !row.is_empty());
    }

    /// Counts since `from` of the builds that `includes_build` selects.
    pub fn by_source(
        &self, from: Time, groups: usize, includes_build: impl Fn(u16) -> bool,
    ) -> CountsBySource {
        let mut sources: BTreeMap<usize, Vec<OutcomeCounts>> = BTreeMap::new();
        for (&(_, group, source), row) in self.rows.iter().filter(|(key, _)| includes_build(key.0)) {
            for (_, counts) in row.iter().rev().take_while(|(start, _)| *start >= from) {
                let sums = sources.entry(source).or_insert_with(|| vec![OutcomeCounts::default(); groups]);
                sums[group].add(*counts);
            }
        }
        sources.into_iter().collect()
    }
}
