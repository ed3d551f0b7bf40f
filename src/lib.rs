//! The decisions of one marshal, free of wire and I/O: see `policy` for the decisions and `host` for
//! the interface that the module is called through and calls back.

pub mod host;
pub mod index;
pub mod load_shedding;
pub mod outcomes;
pub mod policy;
pub mod settings;
pub mod state;
pub mod time;
