//! Decisions about connections, without I/O: the order of replies on a client's connection and how many commands it may
//! have open ([`reply_queue`]), which hit ids may be used ([`hit_ids`]), to which forward the input of a connection to a
//! node belongs ([`exchange`]), when such a connection may be used again ([`reuse_rest`]) and when another one is opened
//! ([`placement`]), and what an error of a socket call means ([`socket_errors`]).

pub mod exchange;
pub mod hit_ids;
pub mod placement;
pub mod reply_queue;
pub mod reuse_rest;
pub mod socket_errors;

pub use exchange::{Exchange, ForwardKey, GiveUp};
pub use hit_ids::{HitId, HitIds};
pub use reply_queue::{NextReply, ReplyQueue};
