//! A packed update in parts that each fit into a frame.

use super::packing::{Error, check};
use serde::{Deserialize, Serialize};

/// The most bytes of a packed update in one part.
pub const PART_BYTES: usize = 64 * 1_024;

/// A part of a packed update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The bytes that follow those of the parts before.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether no part follows.
    pub last: bool,
}

/// The parts of a packed update, at least one.
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

/// Puts the parts of packed updates together, in the order in which they arrive.
#[derive(Debug, Default)]
pub struct Assembler {
    bytes: Vec<u8>,
}

impl Assembler {
    /// Adds a part; the whole packed update after the last one.
    ///
    /// # Errors
    ///
    /// The packed update is too long; what was added so far is dropped.
    pub fn add(&mut self, part: &Part) -> Result<Option<Vec<u8>>, Error> {
        if let Err(error) = check(self.bytes.len() + part.bytes.len()) {
            self.bytes = Vec::new();
            return Err(error);
        }
        self.bytes.extend_from_slice(&part.bytes);
        Ok(part.last.then(|| std::mem::take(&mut self.bytes)))
    }
}
