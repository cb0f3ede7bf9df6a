//! Entries of the store and their revisions.

use std::fmt;

/// A revision of the whole store; 0 stands for "absent" in conditions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of a key that is absent.
    pub const ABSENT: Self = Self(0);

    /// The revision after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The id of a lease; the store never grants 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

impl fmt::Display for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The whole key.
    pub key: String,
    /// The value, at most [`MAX_VALUE`](crate::store::MAX_VALUE) bytes.
    pub value: Vec<u8>,
    /// The revision of the last write.
    pub revision: Revision,
    /// The revision that created the key.
    pub created: Revision,
    /// How many writes the key has seen since it was created.
    pub version: u64,
    /// The lease that the key ends with.
    pub lease: Option<Lease>,
}

/// The entries below a prefix, all as of one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The store's revision at the read: a watch from the next one misses nothing.
    pub revision: Revision,
    /// The entries in the order of their keys.
    pub entries: Vec<Entry>,
}
