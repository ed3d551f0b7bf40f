//! Memory by purpose. Every byte that a marshal holds for others belongs to one purpose; each purpose has a cap
//! that it never passes and a reserve that no other may take, and what lies between is lent and given back.
//!
//! - [`purpose`]: the purposes, and the one table of what is done when one is under pressure.
//! - [`plan`]: caps and reserves, computed from the limits of the process; what can't be kept is refused.
//! - [`pool`]: the accounts, in plain figures.
//! - [`level`]: named levels of pressure with different marks for entry and exit.
//! - [`ledger`]: charges as guards, which give back what they hold when they are dropped.
//! - [`buffer`]: a growing buffer whose capacity is charged before it grows.
//! - [`victims`]: whose memory goes first where room must be made.
//!
//! Nothing here does I/O or reads a clock.

pub mod buffer;
pub mod ledger;
pub mod level;
pub mod plan;
pub mod pool;
pub mod purpose;
pub mod victims;

pub use buffer::Buffer;
pub use ledger::{Charge, Ledger, Refused};
pub use level::Level;
pub use plan::{Plan, Process, Shares};
pub use purpose::Purpose;
