//! Distribution decisions: which revision of each entry is known and in force, and who passes what
//! to whom, without I/O.
//!
//! [`Log`] holds every distributed key at the highest revision seen, [`Verdicts`] the versions that
//! were taken back; both only grow, so that loss, repetition and order do not matter. [`Catalog`]
//! decides which document is in force.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod backoff;
pub mod catalog;
pub mod duty;
pub mod entry;
pub mod fanout;
pub mod freshness;
pub mod log;
pub mod pace;
pub mod readiness;
pub mod verdict;

pub use catalog::Catalog;
pub use entry::Entry;
pub use log::Log;
pub use verdict::{Verdict, Verdicts};
