//! The state of single calls: admission, hand-over, answer and fences, without I/O.
//!
//! A node keeps one [`Ledger`] for each [`Origin`], that is, for each process that opens calls at
//! it. A call is queued, then handed over to the target, then answered. It can be refused only
//! while it is queued. After a lost connection the origin asks the [`Ledger`] for a call's
//! [`Fate`] over a new connection of a higher generation; from then on nothing that still arrives
//! on a connection of a lower generation opens a call, so that "not run" stays true.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod ledger;
mod origin;
pub mod retry;

pub use ledger::{Fate, Ledger};
pub use origin::Origin;
