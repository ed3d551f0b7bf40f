//! Named levels of pressure. A level is entered at a higher mark than it is left at, so that a load that hovers at a
//! mark changes it once and not at every step.

/// How pressed a purpose is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing is done.
    #[default]
    Easy,
    /// What is only a convenience goes.
    Tight,
    /// Room is made at others' cost, by the purpose's own rule.
    Short,
}

/// What may be held of `reach` bytes for no level but the easy one to last.
pub fn easy(reach: usize) -> usize {
    (reach as f64 * TIGHT.leave) as usize
}

impl Level {
    pub fn name(self) -> &'static str {
        match self {
            Level::Easy => "easy",
            Level::Tight => "tight",
            Level::Short => "short",
        }
    }
}

/// Marks of a level, as parts of what the purpose can reach at the time.
#[derive(Clone, Copy, Debug)]
struct Marks {
    enter: f64,
    leave: f64,
}

/// Tight leaves a third of the room for what is under way, short a tenth; either is left when a sixth of it (a
/// tenth) has come back, more than the largest single thing that comes and goes, a value of 64 KiB in a mebibyte.
const TIGHT: Marks = Marks { enter: 0.70, leave: 0.55 };
const SHORT: Marks = Marks { enter: 0.90, leave: 0.78 };

/// The level of one purpose, and how often it changed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauge {
    level: Level,
    changes: u64,
}

impl Gauge {
    pub fn level(&self) -> Level {
        self.level
    }

    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes in that `held` of `reach` bytes are in use; true where the level is another now. The only place where
    /// a level changes.
    pub fn see(&mut self, held: usize, reach: usize) -> bool {
        // By far the most often nothing is pressed: that is told without a division.
        if self.level == Level::Easy && held < reach / 2 {
            return false;
        }
        let fill = if reach == 0 { 1.0 } else { held as f64 / reach as f64 };
        let at_least = |marks: Marks, now: bool| fill >= if now { marks.leave } else { marks.enter };
        let next = if at_least(SHORT, self.level == Level::Short) {
            Level::Short
        } else if at_least(TIGHT, self.level >= Level::Tight) {
            Level::Tight
        } else {
            Level::Easy
        };
        let changed = next != self.level;
        self.level = next;
        self.changes += u64::from(changed);
        changed
    }
}
