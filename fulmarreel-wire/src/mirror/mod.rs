//! Replication of the store's items between nodes. A [`Pull`] describes what a node has, and the
//! [`Update`] in reply holds what it lacks. An update is compressed and sent in [`Part`]s.

mod packing;
mod part;

pub use packing::{Error, MAX_UPDATE_BYTES, pack, unpack};
pub use part::{Assembler, PART_BYTES, Part, parts};

use serde::{Deserialize, Serialize};

/// Asks a peer for the changes that the sender lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The revision that the sender is up to date with; 0 if it has no items yet.
    pub known_revision: u64,
    /// The large items that the sender has, to which deltas may refer.
    pub base_items: Vec<BaseItem>,
    /// Whether values must be sent whole instead of as deltas.
    pub without_deltas: bool,
}

/// A large item that the sender of a [`Pull`] has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseItem {
    /// Full key of the item in the store.
    pub key: String,
    /// The revision of its last write.
    pub revision: u64,
}

/// The changes of the store's items between two revisions, or all its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The changes start after this revision; 0 if they hold all items.
    pub after_revision: u64,
    /// The last revision that they cover.
    pub up_to_revision: u64,
    /// The last change of each changed key.
    pub changes: Vec<Change>,
}

/// The last change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Full key of the item in the store.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The value of the key after the change.
    pub value: Value,
}

/// The value of a key after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// The key was deleted.
    Removed,
    /// The complete value.
    Whole(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The difference to an earlier value of the key.
    Delta {
        /// The revision of the earlier value.
        base: u64,
        /// The pieces whose concatenation is the new value.
        pieces: Vec<Piece>,
        /// 128-bit XXH3 hash of the new value.
        hash: u128,
    },
}

/// A piece of the value that a delta describes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// A range of the earlier value.
    Copy {
        /// Start of the range in bytes.
        offset: u32,
        /// Length of the range in bytes.
        length: u32,
    },
    /// Bytes that are not copied from the earlier value.
    Bytes(#[serde(with = "serde_bytes")] Vec<u8>),
}
