//! A timetable of troubles: each cycle brings every kind once, in an order drawn from a seed.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// What one phase of a run brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
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

pub const ALL: [Fault; 18] = [
    Fault::Calm,
    Fault::Silent,
    Fault::AllSilent,
    Fault::Slow,
    Fault::Resets,
    Fault::Spoilt,
    Fault::Deaf,
    Fault::LargeValues,
    Fault::Restarts,
    Fault::Flood,
    Fault::NeverRead,
    Fault::Half,
    Fault::Mute,
    Fault::Leave,
    Fault::Stay,
    Fault::Outage,
    Fault::GoodBuild,
    Fault::BadBuild,
];

impl Fault {
    pub fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    pub fn from_name(name: &str) -> Option<Self> {
        ALL.into_iter().find(|t| t.name() == name)
    }
}

/// Phases of equal length over cycles; the same seed gives the same timetable.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    phases: Vec<Fault>,
    phase_duration: Duration,
}

impl FaultSchedule {
    /// So many cycles over these kinds. Each phase has a calm second half.
    pub fn generate(kinds: &[Fault], cycles: usize, phase_duration: Duration, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut cycle = kinds.to_vec();
        cycle.shuffle(&mut rng);
        // The same order in each, so that one cycle can be held against the next.
        let phases = std::iter::repeat_n(cycle, cycles).flatten().collect();
        FaultSchedule { phases, phase_duration }
    }

    pub fn duration(&self) -> Duration {
        self.phase_duration * self.phases.len() as u32
    }

    /// The phase at `at`, and whether its trouble is on; none after the end.
    pub fn phase_at(&self, elapsed: Duration) -> Option<(usize, Fault, bool)> {
        let number = (elapsed.as_nanos() / self.phase_duration.as_nanos().max(1)) as usize;
        let within = elapsed - self.phase_duration * number as u32;
        self.phases.get(number).map(|fault| (number, *fault, within < self.phase_duration / 2))
    }
}
