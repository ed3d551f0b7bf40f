//! The laboratory: what a marshal is tried with, on loopback and without any other program.
//!
//! - [`runtime`]: the thread on which all stand-ins run, and their clock.
//! - [`node`], [`discovery`], [`platform`]: stand-ins for the other parties, after the operators' protocol page.
//! - [`load`]: usual clients, in an open loop; [`misbehaving`]: those that misbehave.
//! - [`site`]: settings and configuration of a small site; [`program`]: a marshal as a process, watched from outside.
//! - [`world`]: all of these put together, with one marshal.
//! - [`checker`]: books of its own on every hit and forward, and which of the five rules broke.
//! - [`release`], [`faults`]: what happens to a site, as decisions without I/O.
//! - [`cost`], [`sizes`]: what a hit and a connection cost in time and memory.
//! - [`soak`], [`demo`]: long and short runs of a world; [`trend`] judges what was seen, [`plot`] draws it.
//!
//! Handles are plain values: stories are written as ordinary code, while the stand-ins live on their own thread.

pub mod checker;
pub mod cost;
pub mod demo;
pub mod discovery;
pub mod faults;
pub mod load;
pub mod misbehaving;
pub mod node;
pub mod platform;
pub mod plot;
pub mod program;
pub mod release;
pub mod rollout;
pub mod runtime;
pub mod site;
pub mod sizes;
pub mod soak;
pub mod trend;
pub mod wire;
pub mod world;

pub use runtime::Runtime;
pub use world::World;
