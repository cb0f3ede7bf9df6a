//! What nodes tell one another of the store: a [`Pull`] names what a node knows, an [`Update`] is
//! what it lacks. An update travels compressed, in [`Part`]s.

mod packing;
mod part;

pub use packing::{Error, MAX_UPDATE_BYTES, pack, unpack};
pub use part::{Assembler, PART_BYTES, Part, parts};

use serde::{Deserialize, Serialize};

/// Asks a peer for what it knows beyond this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The revision up to which the sender is complete; 0 where it knows nothing.
    pub after: u64,
    /// The large items that the sender holds.
    pub held: Vec<Held>,
    /// Whether values must not be sent as deltas.
    pub whole: bool,
}

/// A large item that the sender of a [`Pull`] holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The whole key.
    pub key: String,
    /// The revision of its last write.
    pub revision: u64,
}

/// Changes of the store's items up to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The changes are complete after this revision; 0 where they list all items.
    pub from: u64,
    /// The revision up to which they are complete.
    pub revision: u64,
    /// The last change of each key.
    pub changes: Vec<Change>,
}

/// The last change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The whole key.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// What the key holds since.
    pub value: Value,
}

/// What a key holds after a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// Nothing.
    Removed,
    /// These bytes.
    Whole(#[serde(with = "serde_bytes")] Vec<u8>),
    /// What results from applying the pieces to an earlier value of the key.
    Delta {
        /// The revision of the value that the pieces apply to.
        base: u64,
        /// The result, in order.
        pieces: Vec<Piece>,
        /// The result's XXH3 hash of 128 bits.
        hash: u128,
    },
}

/// A piece of the result of a delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Piece {
    /// A range of the base.
    Copy {
        /// Where it begins, in bytes.
        offset: u32,
        /// Its length in bytes.
        length: u32,
    },
    /// Bytes that the base lacks.
    Bytes(#[serde(with = "serde_bytes")] Vec<u8>),
}
