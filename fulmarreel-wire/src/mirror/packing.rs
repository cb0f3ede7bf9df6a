//! The compressed form of an update: encoded with `postcard`, then compressed to one LZ4 block,
//! which is prefixed with the uncompressed size.

use super::Update;
use lz4_flex::block;

/// Limit of an encoded update in bytes, before compression.
pub const MAX_UPDATE_BYTES: usize = 64 * 1_024 * 1_024;

/// Reason for which an update was not packed, assembled or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The update exceeds [`MAX_UPDATE_BYTES`].
    #[error("an update of {bytes} bytes or more, at most {MAX_UPDATE_BYTES} are accepted")]
    TooLong {
        /// Known length in bytes; the update may be longer.
        bytes: usize,
    },
    /// The bytes cannot be decompressed.
    #[error("cannot decompress update: {0}")]
    Compression(#[from] block::DecompressError),
    /// The decompressed bytes are not an update.
    #[error("malformed update: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes and compresses an update.
///
/// # Errors
///
/// The update is too long or cannot be encoded.
pub fn pack(update: &Update) -> Result<Vec<u8>, Error> {
    let encoded = postcard::to_stdvec(update)?;
    check_length(encoded.len())?;
    Ok(block::compress_prepend_size(&encoded))
}

/// Decompresses and decodes an update from [`pack`].
///
/// # Errors
///
/// The update is too long, or the bytes are not a packed update.
pub fn unpack(bytes: &[u8]) -> Result<Update, Error> {
    let (size, compressed) = block::uncompressed_size(bytes)?;
    check_length(size)?;
    let encoded = block::decompress(compressed, size)?;
    Ok(postcard::from_bytes(&encoded)?)
}

/// Refuses a length beyond [`MAX_UPDATE_BYTES`].
pub(super) fn check_length(bytes: usize) -> Result<(), Error> {
    if bytes > MAX_UPDATE_BYTES {
        return Err(Error::TooLong { bytes });
    }
    Ok(())
}
