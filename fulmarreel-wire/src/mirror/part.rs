//! Packed updates, split into parts that fit into a frame.

use super::packing::{Error, check_length};
use serde::{Deserialize, Serialize};

/// Limit of the bytes of a packed update in one part.
pub const PART_BYTES: usize = 64 * 1_024;

/// One part of a packed update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The bytes that follow those of the previous part.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether this is the last part.
    pub last: bool,
}

/// Splits a packed update into parts, at least one.
pub fn parts(packed: &[u8]) -> impl Iterator<Item = Part> {
    let count = packed.len().div_ceil(PART_BYTES).max(1);
    (0..count).map(move |index| {
        let start = index * PART_BYTES;
        let end = packed.len().min(start + PART_BYTES);
        Part {
            bytes: packed[start..end].to_vec(),
            last: index + 1 == count,
        }
    })
}

/// Assembles packed updates from their parts, which have to be added in order.
#[derive(Debug, Default)]
pub struct Assembler {
    bytes: Vec<u8>,
}

impl Assembler {
    /// Adds a part; returns the complete packed update after its last part.
    ///
    /// # Errors
    ///
    /// The packed update is too long; the parts added so far are dropped.
    pub fn add(&mut self, part: &Part) -> Result<Option<Vec<u8>>, Error> {
        if let Err(error) = check_length(self.bytes.len() + part.bytes.len()) {
            self.bytes = Vec::new();
            return Err(error);
        }
        self.bytes.extend_from_slice(&part.bytes);
        Ok(part.last.then(|| std::mem::take(&mut self.bytes)))
    }
}
