//! At-most-once execution of calls: their state at the node in front of the target, and the rules
//! for retries, without I/O.
//!
//! A node keeps one [`Ledger`] for each [`Origin`], that is, for each process that opens calls at
//! it. A call is queued, then handed over to the target, then answered. It can be refused only
//! while it is queued. After a lost connection the origin opens a new one with a higher generation
//! and queries the [`CallStatus`] of its calls. From then on, frames that still arrive on a
//! connection of a lower generation open no calls, so that a call reported as not run stays that
//! way.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod ledger;
mod origin;
pub mod retry;

pub use ledger::{CallStatus, Ledger};
pub use origin::Origin;
