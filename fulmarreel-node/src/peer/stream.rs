//! Reads and writes length-prefixed frames on a byte stream.

use super::Identity;
use fulmarreel_wire::{Hello, PROTOCOL, Purpose, call::Frame, framing};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};
use smol::{
    Timer,
    channel::Receiver,
    future::or,
    net::{Shutdown, TcpStream},
};
use std::{io, time::Duration};

/// Queued frames are encoded into one batch until it has this many bytes.
const BATCH_BYTES: usize = 65_536;

/// How long one batch may take to write before the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads one frame.
///
/// # Errors
///
/// The stream ended or failed, or the bytes are not a valid frame.
pub async fn read<T, R>(stream: &mut R) -> io::Result<T>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let mut prefix = [0; framing::PREFIX_BYTES];
    stream.read_exact(&mut prefix).await?;
    let length = framing::decode_length(prefix).map_err(invalid_data)?;
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    framing::decode(&bytes).map_err(invalid_data)
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
    framing::encode(frame, &mut bytes).map_err(invalid_data)?;
    stream.write_all(&bytes).await
}

/// Completes the handshake with a peer that opens calls. Returns the generation of its connection,
/// and whether it opened calls on an earlier connection to this process.
///
/// # Errors
///
/// The stream failed, or the peer's first frame is not [`Frame::Begin`].
pub async fn accept_handshake(tcp: &mut TcpStream, own: Identity) -> io::Result<(u64, bool)> {
    let greeting = Hello {
        protocol: PROTOCOL,
        address: own.address,
        boot: own.started_at_ms,
        purpose: Purpose::Calls,
    };
    write(tcp, &greeting).await?;
    match read(tcp).await? {
        Frame::Begin {
            generation,
            resumed,
        } => Ok((generation, resumed)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Writes frames to a peer until the channel is closed or the stream fails, then closes both.
pub async fn write_call_frames(mut tcp: TcpStream, frames: Receiver<Frame>) {
    if let Err(error) = write_all_frames(&mut tcp, &frames, |_| {}).await {
        log::debug!("peer connection: {error}");
    }
    frames.close();
    // Fails if the peer closed the connection first.
    let _ = tcp.shutdown(Shutdown::Both);
}

/// Writes queued frames in batches until the channel is closed; `before_write` is called with each
/// frame before any of its bytes are written.
///
/// # Errors
///
/// The stream failed, a batch was not written within `WRITE_TIMEOUT`, or a frame is too long.
pub async fn write_all_frames<T, W>(
    stream: &mut W,
    frames: &Receiver<T>,
    mut before_write: impl FnMut(&T),
) -> io::Result<()>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    let mut batch = Vec::new();
    while let Ok(first) = frames.recv().await {
        batch.clear();
        let mut next = Some(first);
        while let Some(frame) = next {
            before_write(&frame);
            framing::encode(&frame, &mut batch).map_err(invalid_data)?;
            next = (batch.len() < BATCH_BYTES)
                .then(|| frames.try_recv().ok())
                .flatten();
        }
        or(stream.write_all(&batch), async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        })
        .await?;
    }
    Ok(())
}

fn invalid_data(error: framing::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
