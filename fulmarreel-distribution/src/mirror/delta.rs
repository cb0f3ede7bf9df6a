//! Deltas: a value encoded as ranges copied from an earlier value, the base, and new bytes.

use super::history::{Chunk, Version};
use fulmarreel_wire::mirror::{MAX_UPDATE_BYTES, Piece};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_128;

/// Why a delta cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// A copied range lies outside the base.
    #[error("the range of {length} bytes at offset {offset} lies outside the base value")]
    Range {
        /// Where the range begins, in bytes.
        offset: u32,
        /// Its length in bytes.
        length: u32,
    },
    /// The result is longer than an update may be.
    #[error("the result is longer than {MAX_UPDATE_BYTES} bytes")]
    TooLong,
    /// The result is not the value of the sender.
    #[error("the result does not have the expected hash")]
    Hash,
}

/// The pieces that rebuild `value`, whose chunks are those of `version`, from an earlier version.
pub(super) fn pieces(base: &Version, version: &Version, value: &[u8]) -> Vec<Piece> {
    let index_by_hash: HashMap<u128, usize> = base
        .chunks
        .iter()
        .enumerate()
        .map(|(index, chunk)| (chunk.hash, index))
        .collect();
    let mut pieces = Vec::new();
    // The base chunk after the last copied one: usually the next to copy.
    let mut next = 0;
    for chunk in &version.chunks {
        let is_next = base
            .chunks
            .get(next)
            .is_some_and(|base_chunk| base_chunk.hash == chunk.hash);
        let found = if is_next {
            Some(next)
        } else {
            index_by_hash.get(&chunk.hash).copied()
        };
        match found {
            Some(index) => {
                push_copy(&mut pieces, &base.chunks[index]);
                next = index + 1;
            }
            None => push_bytes(&mut pieces, &value[chunk.range()]),
        }
    }
    pieces
}

/// The result of applying pieces to a base.
///
/// # Errors
///
/// The pieces do not fit the base, or the result does not have the expected hash.
pub(super) fn apply(base: &[u8], pieces: &[Piece], hash: u128) -> Result<Vec<u8>, DeltaError> {
    let bytes = pieces
        .iter()
        .map(piece_length)
        .fold(0, usize::saturating_add);
    if bytes > MAX_UPDATE_BYTES {
        return Err(DeltaError::TooLong);
    }
    let mut value = Vec::with_capacity(bytes);
    for piece in pieces {
        value.extend_from_slice(piece_bytes(base, piece)?);
    }
    if xxh3_128(&value) != hash {
        return Err(DeltaError::Hash);
    }
    Ok(value)
}

/// Adds a copied chunk, merged into the last piece if it continues that range.
fn push_copy(pieces: &mut Vec<Piece>, chunk: &Chunk) {
    if let Some(Piece::Copy { offset, length }) = pieces.last_mut()
        && *offset + *length == chunk.offset
    {
        *length += chunk.length;
        return;
    }
    pieces.push(Piece::Copy {
        offset: chunk.offset,
        length: chunk.length,
    });
}

/// Adds new bytes, merged into the last piece if that has new bytes too.
fn push_bytes(pieces: &mut Vec<Piece>, bytes: &[u8]) {
    if let Some(Piece::Bytes(last)) = pieces.last_mut() {
        last.extend_from_slice(bytes);
        return;
    }
    pieces.push(Piece::Bytes(bytes.to_vec()));
}

fn piece_length(piece: &Piece) -> usize {
    match piece {
        Piece::Copy { length, .. } => *length as usize,
        Piece::Bytes(bytes) => bytes.len(),
    }
}

fn piece_bytes<'a>(base: &'a [u8], piece: &'a Piece) -> Result<&'a [u8], DeltaError> {
    match piece {
        Piece::Bytes(bytes) => Ok(bytes),
        Piece::Copy { offset, length } => {
            let (offset, length) = (*offset, *length);
            let start = offset as usize;
            let end = start.saturating_add(length as usize);
            base.get(start..end)
                .ok_or(DeltaError::Range { offset, length })
        }
    }
}
