//! The decisions of one marshal, free of wire and I/O: see `policy` for the decisions and `host` for
//! the interface that the module is called through and calls back.

pub mod host;
pub mod index;
pub mod ledger;
pub mod policy;
pub mod state;
pub mod terms;
pub mod time;
pub mod waits;
