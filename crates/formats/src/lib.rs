//! Incremental parsers and writers for the protocols that stonescale speaks on sockets, without I/O.
//!
//! All of them are bounded: a length announced by a peer allocates no memory before the bytes have arrived, and
//! no input causes a panic.

pub mod http;
pub mod json_objects;
pub mod json_rpc;
pub mod lines;
pub mod resp;
