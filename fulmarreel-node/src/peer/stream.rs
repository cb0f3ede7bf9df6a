//! Frames on a TCP stream.

use fulmarreel_wire::framing;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};
use std::io;

/// Reads one frame.
///
/// # Errors
///
/// The stream ended or failed, or the bytes are no frame.
pub async fn read<T, R>(stream: &mut R) -> io::Result<T>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let mut prefix = [0; framing::PREFIX_BYTES];
    stream.read_exact(&mut prefix).await?;
    let length = framing::length(prefix).map_err(invalid)?;
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    framing::decode(&bytes).map_err(invalid)
}

/// Writes one frame.
///
/// # Errors
///
/// The stream failed, or the frame is too long.
pub async fn write<T, W>(stream: &mut W, frame: &T) -> io::Result<()>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    let mut bytes = Vec::new();
    framing::encode(frame, &mut bytes).map_err(invalid)?;
    stream.write_all(&bytes).await
}

fn invalid(error: framing::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
