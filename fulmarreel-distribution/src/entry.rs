//! One key of the store at one revision.

use fulmarreel_wire::sync;
use std::sync::Arc;

/// One key of the store at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The whole key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The value; `None` if the key was deleted at that revision.
    pub value: Option<Arc<[u8]>>,
}

impl From<&Entry> for sync::Entry {
    fn from(entry: &Entry) -> Self {
        Self {
            key: entry.key.clone(),
            revision: entry.revision,
            value: entry.value.as_ref().map(|value| value.to_vec().into()),
        }
    }
}

impl From<sync::Entry> for Entry {
    fn from(entry: sync::Entry) -> Self {
        Self {
            key: entry.key,
            revision: entry.revision,
            value: entry.value.map(|value| value.into_vec().into()),
        }
    }
}
