//! Data structures of a marshal's core: in-flight hits by key ([`slots`]) and timers that can be cancelled
//! ([`wheel`]). docs/results-memory.md compares their cost with that of standard collections.

pub mod slots;
pub mod wheel;

pub use slots::Slots;
pub use wheel::{TimerHandle, TimerWheel};
