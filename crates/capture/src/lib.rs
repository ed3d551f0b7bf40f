//! Processing of captured traffic, without I/O.
//!
//! - [`reassembly`]: reassembly of one direction of a TCP connection from its segments.

pub mod reassembly;
