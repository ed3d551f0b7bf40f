//! Decisions about client connections, without I/O: the order of replies on one connection and how many commands it may
//! have open ([`reply_queue`]), and which hit ids may be used ([`hit_ids`]).

pub mod hit_ids;
pub mod reply_queue;

pub use hit_ids::{HitId, HitIds};
pub use reply_queue::{NextReply, ReplyQueue};
