//! Membership of nodes and targets: a SWIM-like protocol without I/O.
//!
//! Each [`Record`] belongs to one node, and only that node raises its [`Incarnation`]; other nodes
//! only forward it. Nodes probe one another within their zone. What they learn spreads as
//! [`Claim`]s: by gossip to a few random peers of the zone, and through a few relay nodes to other
//! zones. [`Group`] is the protocol state of one node, [`exchange`] finds where the tables of two
//! nodes differ. [`announcement`] orders the messages in which a target describes itself to its
//! node.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod announcement;
mod claim;
mod convert;
pub mod exchange;
mod gossip_queue;
pub mod group;
mod loss_limiter;
mod probe;
mod record;
pub mod relay;
pub mod table;

pub use announcement::Announcement;
pub use claim::{Claim, Status};
pub use group::{Group, OutgoingDatagram};
pub use record::{Incarnation, Record, Target};
pub use table::{Member, Table};
