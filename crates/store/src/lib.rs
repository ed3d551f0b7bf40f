//! Structures made for the job of a marshal's core: hits by number (`slots`) and timers that can be taken back
//! (`wheel`). What they cost against plain ones stands in docs/results-memory.md.

pub mod slots;
pub mod wheel;

pub use slots::Slots;
pub use wheel::{Set, Wheel};
