//! Length-prefixed frames on a byte stream: four bytes of length, little endian, then `postcard`.

use serde::{Serialize, de::DeserializeOwned};

/// Bytes in front of each frame that hold its length.
pub const PREFIX_BYTES: usize = 4;

/// The largest encoded frame in bytes: a document of one megabyte and its envelope.
pub const MAX_FRAME_BYTES: usize = 1_048_576 + 4_096;

/// Why a frame could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer announced, or the caller passed, a frame that is too long.
    #[error("a frame of {bytes} bytes, at most {MAX_FRAME_BYTES} are accepted")]
    TooLong {
        /// Length in bytes.
        bytes: usize,
    },
    /// The bytes are not a frame of the expected type.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Appends `frame` with its length prefix to `out`.
pub fn encode<T: Serialize>(frame: &T, out: &mut Vec<u8>) -> Result<(), Error> {
    let start = out.len();
    out.extend_from_slice(&[0; PREFIX_BYTES]);
    *out = postcard::to_extend(frame, std::mem::take(out))?;
    let bytes = out.len() - start - PREFIX_BYTES;
    if bytes > MAX_FRAME_BYTES {
        out.truncate(start);
        return Err(Error::TooLong { bytes });
    }
    let prefix = (bytes as u32).to_le_bytes();
    out[start..start + PREFIX_BYTES].copy_from_slice(&prefix);
    Ok(())
}

/// Reads the length of the frame that follows a prefix.
pub fn length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, Error> {
    let bytes = u32::from_le_bytes(prefix) as usize;
    if bytes > MAX_FRAME_BYTES {
        return Err(Error::TooLong { bytes });
    }
    Ok(bytes)
}

/// Decodes one frame without its prefix.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    Ok(postcard::from_bytes(bytes)?)
}

/// Encodes a value without a prefix, to be carried inside a frame.
///
/// # Errors
///
/// It cannot be encoded.
pub fn encode_bare<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(value)?)
}
