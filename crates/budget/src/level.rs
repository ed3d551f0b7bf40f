//! Pressure levels with hysteresis: a level is entered at a higher fill than it is left at, so that a load that
//! hovers at a threshold changes the level once and not at every step.

/// Memory pressure of one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing is reclaimed.
    #[default]
    Normal,
    /// Memory that is only a convenience is reclaimed.
    Elevated,
    /// Memory is reclaimed at the expense of clients or nodes, by the rule of the purpose.
    Critical,
}

/// Bytes held, of `limit_bytes`, below which every level returns to normal.
pub fn normal_threshold_bytes(limit_bytes: usize) -> usize {
    (limit_bytes as f64 * ELEVATED.leave) as usize
}

impl Level {
    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Level::Normal => "easy",
            Level::Elevated => "tight",
            Level::Critical => "short",
        }
    }
}

/// Thresholds of a level, as fractions of the current limit of the purpose.
#[derive(Clone, Copy, Debug)]
struct Thresholds {
    enter: f64,
    leave: f64,
}

/// `ELEVATED` leaves about a third of the limit for work under way, `CRITICAL` a tenth. A level is left once about a
/// sixth (`ELEVATED`) or a tenth (`CRITICAL`) of the limit is free again. That is more than the largest single item
/// that comes and goes, a value of 64 KiB in 1 MiB.
const ELEVATED: Thresholds = Thresholds { enter: 0.70, leave: 0.55 };
const CRITICAL: Thresholds = Thresholds { enter: 0.90, leave: 0.78 };

/// The level of one purpose, and the number of its changes.
#[derive(Clone, Copy, Debug, Default)]
pub struct LevelTracker {
    level: Level,
    changes: u64,
}

impl LevelTracker {
    /// The level after the last update.
    pub fn level(&self) -> Level {
        self.level
    }

    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records that `held_bytes` of `limit_bytes` are in use; true if the level changed. The level changes nowhere
    /// else.
    pub fn update(&mut self, held_bytes: usize, limit_bytes: usize) -> bool {
        // Fast path without a division: most updates find no pressure.
        if self.level == Level::Normal && held_bytes < limit_bytes / 2 {
            return false;
        }
        let fill = if limit_bytes == 0 { 1.0 } else { held_bytes as f64 / limit_bytes as f64 };
        let reached = |thresholds: Thresholds, active: bool| {
            fill >= if active { thresholds.leave } else { thresholds.enter }
        };
        let next = if reached(CRITICAL, self.level == Level::Critical) {
            Level::Critical
        } else if reached(ELEVATED, self.level >= Level::Elevated) {
            Level::Elevated
        } else {
            Level::Normal
        };
        let changed = next != self.level;
        self.level = next;
        self.changes += u64::from(changed);
        changed
    }
}
