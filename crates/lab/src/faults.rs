//! Schedule of faults for long runs: each cycle has every fault once, in an order drawn from a seed.

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The fault in one phase of a run. Scenario files name it by its variant in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No fault.
    Calm,
    /// Half of the nodes do not reply.
    Silent,
    /// No node replies.
    AllSilent,
    /// Work takes eight times as long.
    Slow,
    /// Half of the nodes reset connections.
    Resets,
    /// A tenth of the replies cannot be read.
    Spoilt,
    /// One node accepts connections and never reads.
    Deaf,
    /// Values of 60 kB.
    LargeValues,
    /// Nodes restart, one after the other.
    Restarts,
    /// Clients send hits with large bodies as fast as they are answered.
    Flood,
    /// Clients never read their answers.
    NeverRead,
    /// Clients leave out the last byte of a command.
    Half,
    /// Clients connect and send nothing.
    Mute,
    /// Clients send a hit and disconnect at once.
    Leave,
    /// Clients send one hit and keep an idle connection.
    Stay,
    /// Discovery is down and the platform does not answer.
    Outage,
    /// A build that works well is released.
    GoodBuild,
    /// A build that returns errors is released.
    BadBuild,
}

/// All faults, in the order of the variants.
pub const ALL_FAULTS: [Fault; 18] = [
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
    /// Name of the fault in scenario files.
    pub fn name(self) -> String {
        format!("{self:?}").to_lowercase()
    }

    /// The fault of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        ALL_FAULTS.into_iter().find(|fault| fault.name() == name)
    }
}

/// Phases of equal length, in cycles; the same seed gives the same schedule.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    phases: Vec<Fault>,
    phase_duration: Duration,
}

impl FaultSchedule {
    /// A schedule of `cycles` cycles of these faults. The fault of each phase is on during its first half only.
    pub fn generate(faults: &[Fault], cycles: usize, phase_duration: Duration, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut cycle = faults.to_vec();
        cycle.shuffle(&mut rng);
        // The order is the same in all cycles, so that they can be compared.
        let phases = std::iter::repeat_n(cycle, cycles).flatten().collect();
        FaultSchedule { phases, phase_duration }
    }

    /// Length of all phases together.
    pub fn duration(&self) -> Duration {
        self.phase_duration * self.phases.len() as u32
    }

    /// Number of the phase, its fault, and whether the fault is on at this time; none after the end.
    pub fn phase_at(&self, elapsed: Duration) -> Option<(usize, Fault, bool)> {
        let number = (elapsed.as_nanos() / self.phase_duration.as_nanos().max(1)) as usize;
        let time_in_phase = elapsed - self.phase_duration * number as u32;
        self.phases.get(number).map(|fault| (number, *fault, time_in_phase < self.phase_duration / 2))
    }
}
