//! Memory accounting by purpose. Every byte that a marshal holds for others is charged to one purpose. Each purpose
//! has a cap that it never exceeds and a reserve that no other purpose can use; memory outside all reserves is shared
//! and borrowed on demand.
//!
//! - [`purpose`]: the purposes, and the rules for overflow and reclaim under memory pressure.
//! - [`plan`]: caps and reserves, computed from the limits of the process; rejects limits that are too small.
//! - [`pool`]: the accounts that share one total.
//! - [`level`]: pressure levels with hysteresis.
//! - [`ledger`]: charges as RAII guards, which release their bytes when dropped.
//! - [`buffer`]: a growable buffer whose capacity is charged before it grows.
//! - [`sizes`]: sizes that buffers and the plan have in common.
//! - [`eviction`]: selection of the client connections to close when memory or descriptors are needed.
//!
//! The crate does no I/O and reads no clock.

pub mod buffer;
pub mod eviction;
pub mod ledger;
pub mod level;
pub mod plan;
pub mod pool;
pub mod purpose;
pub mod sizes;

pub use buffer::Buffer;
pub use ledger::{BudgetExceeded, Charge, Ledger};
pub use level::Level;
pub use plan::{Plan, ProcessLimits, Shares};
pub use purpose::Purpose;
