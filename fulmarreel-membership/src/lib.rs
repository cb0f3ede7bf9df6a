//! Membership decisions: which nodes and targets exist, without I/O.
//!
//! Each [`Record`] belongs to one node, which alone raises its [`Incarnation`]; everyone else only
//! passes it on. Of two records of one node the one with the higher incarnation counts.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod convert;
pub mod record;
pub mod table;

pub use record::{Incarnation, Record, Target};
pub use table::Table;
