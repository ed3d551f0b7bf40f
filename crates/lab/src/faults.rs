//! A timetable of troubles: each cycle brings every kind once, in an order drawn from a seed.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// What one phase of a run brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Trouble {
    Calm,
    /// Half of the nodes say nothing; all of them.
    Silent,
    AllSilent,
    /// Every answer takes eight times as long.
    Slow,
    Resets,
    /// A tenth of the answers can't be read.
    Spoilt,
    /// One node takes connections and never reads.
    Deaf,
    /// Values of 60 KB.
    LargeValues,
    /// Nodes die and come back, one after the other.
    Restarts,
    /// Clients: floods of large bodies, none that read, half commands, mute ones, leavers, those that ask once.
    Flood,
    NeverRead,
    Half,
    Mute,
    Leave,
    Stay,
    /// Discovery and platform go away and come back.
    Outage,
    /// A build is offered that is good, or one that fails.
    GoodBuild,
    BadBuild,
}

pub const ALL: [Trouble; 18] = [
    Trouble::Calm,
    Trouble::Silent,
    Trouble::AllSilent,
    Trouble::Slow,
    Trouble::Resets,
    Trouble::Spoilt,
    Trouble::Deaf,
    Trouble::LargeValues,
    Trouble::Restarts,
    Trouble::Flood,
    Trouble::NeverRead,
    Trouble::Half,
    Trouble::Mute,
    Trouble::Leave,
    Trouble::Stay,
    Trouble::Outage,
    Trouble::GoodBuild,
    Trouble::BadBuild,
];

impl Trouble {
    pub fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    pub fn named(name: &str) -> Option<Self> {
        ALL.into_iter().find(|t| t.name() == name)
    }
}

/// Phases of equal length over cycles; the same seed gives the same timetable.
#[derive(Clone, Debug)]
pub struct Timetable {
    phases: Vec<Trouble>,
    phase: Duration,
}

impl Timetable {
    /// So many cycles over these kinds. Each phase has a calm second half.
    pub fn draw(kinds: &[Trouble], cycles: usize, phase: Duration, seed: u64) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut cycle = kinds.to_vec();
        cycle.shuffle(&mut chance);
        // The same order in each, so that one cycle can be held against the next.
        let phases = std::iter::repeat_n(cycle, cycles).flatten().collect();
        Timetable { phases, phase }
    }

    pub fn length(&self) -> Duration {
        self.phase * self.phases.len() as u32
    }

    /// The phase at `at`, and whether its trouble is on; none after the end.
    pub fn at(&self, at: Duration) -> Option<(usize, Trouble, bool)> {
        let number = (at.as_nanos() / self.phase.as_nanos().max(1)) as usize;
        let within = at - self.phase * number as u32;
        self.phases.get(number).map(|trouble| (number, *trouble, within < self.phase / 2))
    }
}
