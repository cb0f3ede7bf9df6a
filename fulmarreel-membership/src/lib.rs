//! Membership decisions: which nodes and targets exist, without I/O.
//!
//! Each [`Record`] belongs to one node, which alone raises its [`Incarnation`]; everyone else only
//! passes it on. Nodes probe one another within their zone; what they learn travels as [`Claim`]s:
//! at once to a few random peers of the zone, and by a few relays to other zones. [`Group`] is what
//! one node does, [`exchange`] finds where two nodes differ. [`announcement`] orders what a target
//! says of itself.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod announcement;
mod claim;
mod convert;
mod doubt;
pub mod exchange;
pub mod group;
mod news;
mod probe;
mod record;
pub mod relay;
pub mod table;

pub use announcement::Announcement;
pub use claim::{Claim, Status};
pub use group::{Group, Outgoing};
pub use record::{Incarnation, Record, Target};
pub use table::{Member, Table};
