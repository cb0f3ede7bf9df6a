//! The key-value store: the [`Store`] trait, a client for etcd's JSON gateway, and the key layout.
//!
//! [`Store`] is what the rest of the system needs from a store: compare-and-swap, leases, watches
//! and one global revision. [`etcd::Client`] implements it over the JSON gateway of etcd v3.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod commit;
pub mod entry;
pub mod error;
pub mod etcd;
pub mod keys;
pub mod store;
pub mod watch;

pub use commit::{Outcome, Transaction};
pub use entry::{Entry, LeaseId, Listing, Revision};
pub use error::Error;
pub use store::Store;
pub use watch::{Batch, Event};
