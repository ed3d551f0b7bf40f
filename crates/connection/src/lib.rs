//! Decisions about connections, without I/O: the order of replies on a client's connection and how many commands it may
//! have open ([`reply_queue`]), which hit ids may be used ([`hit_ids`]), what becomes of the forwards on a connection to a
//! node ([`forward_queue`]), and what an error of a socket call means ([`socket_errors`]).

pub mod forward_queue;
pub mod hit_ids;
pub mod reply_queue;
pub mod socket_errors;

pub use forward_queue::{ForwardKey, ForwardQueue, GiveUp};
pub use hit_ids::{HitId, HitIds};
pub use reply_queue::{NextReply, ReplyQueue};
