//! Frames that carry documents and the state of moves between nodes.

use serde::{Deserialize, Serialize};

/// One message about distributed entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Entries, each at one revision.
    Entries(Vec<Entry>),
}

/// One key of the store at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The store's key.
    pub key: String,
    /// The store's revision.
    pub revision: u64,
    /// The value; `None` where the key was deleted at that revision.
    pub value: Option<serde_bytes::ByteBuf>,
}
