//! What stonescale speaks on sockets, as incremental parsers and writers that do no I/O. All are bounded:
//! a length that a peer states takes no memory before the bytes have come, and no input makes them panic.

pub mod http;
pub mod json_rpc;
pub mod lines;
pub mod resp;
