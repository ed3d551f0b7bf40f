//! The decisions of one marshal, without wire formats or I/O: see `policy` for the decisions and `host` for
//! the calls that they make of the program around them.

pub mod answered_keys;
pub mod host;
pub mod index;
pub mod list_lease;
pub mod load_shedding;
pub mod outcomes;
pub mod policy;
pub mod settings;
pub mod start_times;
pub mod state;
pub mod time;
