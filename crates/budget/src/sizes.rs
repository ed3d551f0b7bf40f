//! Sizes that buffers and the plan have in common.

/// The smallest capacity of a buffer; most commands and replies fit.
pub const MIN_CAPACITY_BYTES: usize = 512;
