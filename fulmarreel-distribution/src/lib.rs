//! Distribution decisions: which revision of each entry is known and active, and who passes what
//! to whom, without I/O.
//!
//! [`Log`] holds every distributed key at the highest revision seen, [`Verdicts`] the versions that
//! were taken back; both only grow, so that loss, repetition and order do not matter. [`Catalog`]
//! decides which document is active. [`Mirror`] holds the whole of a small store, where one
//! configuration is all there is to distribute.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod backoff;
pub mod catalog;
pub mod contact;
pub mod duty;
pub mod entry;
pub mod fanout;
pub mod freshness;
pub mod knowledge;
pub mod log;
pub mod mirror;
pub mod pace;
pub mod readers;
pub mod readiness;
pub mod verdict;

pub use catalog::Catalog;
pub use contact::{Announcement, Contact};
pub use entry::Entry;
pub use knowledge::Knowledge;
pub use log::Log;
pub use mirror::Mirror;
pub use readers::Readers;
pub use verdict::{Verdict, Verdicts};
