//! Length-prefixed frames on a byte stream: a length of four bytes, little endian, then a message
//! encoded with `postcard`.

use serde::{Serialize, de::DeserializeOwned};

/// Size of the length prefix in bytes.
pub const PREFIX_BYTES: usize = 4;

/// Limit of an encoded frame in bytes, without its prefix: a document of 1 MiB and 4 KiB for the
/// fields around it.
pub const MAX_FRAME_BYTES: usize = 1_048_576 + 4_096;

/// Reason for which a frame was not encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A frame to be sent, or one announced by the peer, exceeds [`MAX_FRAME_BYTES`].
    #[error("a frame of {bytes} bytes, at most {MAX_FRAME_BYTES} are accepted")]
    TooLong {
        /// Length of the frame in bytes.
        bytes: usize,
    },
    /// The bytes are not a message of the expected type.
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

/// Decodes a length prefix and checks it against [`MAX_FRAME_BYTES`].
pub fn decode_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, Error> {
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

/// Encodes a value without a prefix, for datagrams and for bytes inside a frame.
///
/// # Errors
///
/// The value cannot be encoded.
pub fn encode_unframed<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(value)?)
}
