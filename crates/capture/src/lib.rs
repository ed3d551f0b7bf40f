//! Traffic out of capture files, without I/O.
//!
//! - [`half`]: one direction of a TCP connection, put together from its segments.

pub mod half;
