//! Distribution of the store's contents to all nodes, without I/O: which revision of each entry is
//! known and active, and which node forwards what to whom.
//!
//! [`VersionedEntries`] holds every distributed key at the highest revision seen, [`Verdicts`] the
//! versions that were rolled back. Both only grow, so that lost, repeated and reordered messages do
//! no harm. [`Catalog`] decides which document is active. [`Mirror`] is a full copy of a small
//! store, for a store that distributes a single configuration.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod backoff;
pub mod catalog;
pub mod comparison;
pub mod contact;
pub mod copy_freshness;
pub mod copy_proof;
pub mod duty;
pub mod entry;
pub mod fanout;
pub mod mirror;
pub mod readers;
pub mod readiness;
pub mod verdict;
pub mod versioned_entries;
pub mod watcher_contact;

pub use catalog::Catalog;
pub use contact::{AnnouncementSchedule, StoreContact};
pub use copy_freshness::CopyFreshness;
pub use copy_proof::CopyProof;
pub use entry::Entry;
pub use mirror::Mirror;
pub use readers::Readers;
pub use verdict::{Verdict, Verdicts};
pub use versioned_entries::VersionedEntries;
