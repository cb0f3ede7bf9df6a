//! Deltas: a value told as ranges of an earlier one and the bytes that it lacked.

use super::history::{Chunk, Version};
use fulmarreel_wire::mirror::{MAX_UPDATE_BYTES, Piece};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_128;

/// Why a delta cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A piece lies outside of the base.
    #[error("a piece of {length} bytes at {offset} lies outside of the base")]
    Range {
        /// Where the piece begins, in bytes.
        offset: u32,
        /// Its length in bytes.
        length: u32,
    },
    /// The result is too long.
    #[error("the result has more than {MAX_UPDATE_BYTES} bytes")]
    TooLong,
    /// The result is not the value that the sender holds.
    #[error("the result has another hash")]
    Hash,
}

/// The pieces that make a version of `value` from an earlier one.
pub(super) fn pieces(base: &Version, version: &Version, value: &[u8]) -> Vec<Piece> {
    let by_hash: HashMap<u128, usize> = base
        .chunks
        .iter()
        .enumerate()
        .map(|(index, chunk)| (chunk.hash, index))
        .collect();
    let mut pieces = Vec::new();
    let mut next = 0;
    for chunk in &version.chunks {
        let follows = base
            .chunks
            .get(next)
            .is_some_and(|at| at.hash == chunk.hash);
        let found = if follows {
            Some(next)
        } else {
            by_hash.get(&chunk.hash).copied()
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
/// The pieces do not fit the base, or the result has another hash.
pub(super) fn apply(base: &[u8], pieces: &[Piece], hash: u128) -> Result<Vec<u8>, Fault> {
    let bytes = pieces.iter().map(length).fold(0, usize::saturating_add);
    if bytes > MAX_UPDATE_BYTES {
        return Err(Fault::TooLong);
    }
    let mut value = Vec::with_capacity(bytes);
    for piece in pieces {
        value.extend_from_slice(part(base, piece)?);
    }
    if xxh3_128(&value) != hash {
        return Err(Fault::Hash);
    }
    Ok(value)
}

/// Adds a copied chunk, to the last piece where it continues that one.
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

/// Adds new bytes, to the last piece where that one has new bytes too.
fn push_bytes(pieces: &mut Vec<Piece>, bytes: &[u8]) {
    if let Some(Piece::Bytes(last)) = pieces.last_mut() {
        last.extend_from_slice(bytes);
        return;
    }
    pieces.push(Piece::Bytes(bytes.to_vec()));
}

fn length(piece: &Piece) -> usize {
    match piece {
        Piece::Copy { length, .. } => *length as usize,
        Piece::Bytes(bytes) => bytes.len(),
    }
}

fn part<'a>(base: &'a [u8], piece: &'a Piece) -> Result<&'a [u8], Fault> {
    match piece {
        Piece::Bytes(bytes) => Ok(bytes),
        Piece::Copy { offset, length } => {
            let (offset, length) = (*offset, *length);
            let start = offset as usize;
            let end = start.saturating_add(length as usize);
            base.get(start..end).ok_or(Fault::Range { offset, length })
        }
    }
}
