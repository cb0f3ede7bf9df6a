//! Entries of the store, revisions and leases.

use std::fmt;

/// A revision of the whole store; 0 means "absent" in conditions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// Stands for a key that is absent.
    pub const ABSENT: Self = Self(0);

    /// The revision after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The id of a lease; the store never grants 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The full key.
    pub key: String,
    /// The value, at most [`MAX_VALUE_BYTES`](crate::store::MAX_VALUE_BYTES) bytes.
    pub value: Vec<u8>,
    /// The revision of the last write.
    pub mod_revision: Revision,
    /// The revision that created the key.
    pub create_revision: Revision,
    /// The number of writes since the key was created, its creation included; 0 where the store does
    /// not count them.
    pub version: u64,
    /// The lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// The entries under a prefix, as of one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The store's revision at the time of the read: a watch from the next one misses no event.
    pub revision: Revision,
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
}
