//! The laboratory: experiments with a marshal on the loopback interface. No other program is needed.
//!
//! - [`runtime`]: the thread on which all stand-ins run, and their clock.
//! - [`node`], [`discovery`], [`platform`]: stand-ins for the other parties, written from the operators' protocol
//!   page.
//! - [`load`]: well-behaved clients that send hits in an open loop; [`misbehaving`]: clients that violate the protocol
//!   or flood the marshal; [`raw_client`]: one blocking client that sends any bytes;
//!   [`background`]: threads that play them.
//! - [`wire`]: RESP messages of the stand-ins.
//! - [`site`]: settings and configuration of a small site; [`program`]: a marshal as a child process, observed from
//!   outside.
//! - [`world`]: a running site, made of all of these and one marshal.
//! - [`checker`]: records every hit and forward independently of the marshal, and reports violations of the five rules.
//! - [`release`], [`faults`]: the state machine of a release and the schedule of faults, without I/O; [`rollout`]
//!   carries a release out.
//! - [`list_calls`]: calls of many marshals to a discovery that was down, in virtual time.
//! - [`cost`], [`sizes`]: measured processor time per hit, and measured memory per hit and per connection.
//! - [`soak_clients`]: clients of the seeded soaks.
//! - [`soak`], [`demo`]: soak test and demonstration; [`trend`] tests samples for growth, [`plot`] draws them.
//!
//! Handles are plain values: tests are written as ordinary sequential code, while the stand-ins run on their own
//! thread.

pub mod background;
pub mod checker;
pub mod cost;
pub mod demo;
pub mod discovery;
pub mod faults;
pub mod list_calls;
pub mod load;
pub mod misbehaving;
pub mod node;
pub mod platform;
pub mod plot;
pub mod program;
pub mod raw_client;
pub mod release;
pub mod rollout;
pub mod runtime;
pub mod site;
pub mod sizes;
pub mod soak;
pub mod soak_clients;
pub mod trend;
pub mod wire;
pub mod world;

pub use runtime::Runtime;
pub use world::World;
