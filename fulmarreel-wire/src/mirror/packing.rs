//! The compressed form of an update: `postcard`, then an LZ4 block behind its size.

use super::Update;
use lz4_flex::block;

/// The largest update in bytes, before compression.
pub const MAX_UPDATE_BYTES: usize = 64 * 1_024 * 1_024;

/// Why an update could not be packed, assembled or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The update is too long.
    #[error("an update of {bytes} bytes or more, at most {MAX_UPDATE_BYTES} are accepted")]
    TooLong {
        /// Length in bytes, as far as it is known.
        bytes: usize,
    },
    /// The bytes cannot be decompressed.
    #[error("decompressing an update: {0}")]
    Compression(#[from] block::DecompressError),
    /// What was compressed is not an update.
    #[error("malformed update: {0}")]
    Malformed(#[from] postcard::Error),
}

/// The compressed form of an update.
///
/// # Errors
///
/// The update is too long or cannot be encoded.
pub fn pack(update: &Update) -> Result<Vec<u8>, Error> {
    let encoded = postcard::to_stdvec(update)?;
    check(encoded.len())?;
    Ok(block::compress_prepend_size(&encoded))
}

/// Reads what [`pack`] returned.
///
/// # Errors
///
/// The update is too long, or the bytes are not a packed update.
pub fn unpack(bytes: &[u8]) -> Result<Update, Error> {
    let (size, compressed) = block::uncompressed_size(bytes)?;
    check(size)?;
    let encoded = block::decompress(compressed, size)?;
    Ok(postcard::from_bytes(&encoded)?)
}

/// Refuses a length beyond the bound.
pub(super) fn check(bytes: usize) -> Result<(), Error> {
    if bytes > MAX_UPDATE_BYTES {
        return Err(Error::TooLong { bytes });
    }
    Ok(())
}
