//! Frames on a TCP stream.

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

/// Bytes of frames that are written at once.
const BATCH_BYTES: usize = 65_536;

/// How long one batch may take to write before the connection is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Greets a peer that opens calls, and reads how its connection follows on earlier ones: its
/// generation, and whether it opened calls here before.
///
/// # Errors
///
/// The stream failed, or the peer's first frame is another one.
pub async fn greet(tcp: &mut TcpStream, own: Identity) -> io::Result<(u64, bool)> {
    let greeting = Hello {
        protocol: PROTOCOL,
        address: own.address,
        boot: own.boot,
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

/// Writes the frames to a peer until the channel is closed or the stream fails, then closes both.
pub async fn pump_calls(mut tcp: TcpStream, frames: Receiver<Frame>) {
    if let Err(error) = pump(&mut tcp, &frames, |_| {}).await {
        log::debug!("peer connection: {error}");
    }
    frames.close();
    // The peer may have closed it first.
    let _ = tcp.shutdown(Shutdown::Both);
}

/// Writes frames as they come, those that wait together at once, until the channel is closed;
/// `before` sees each frame before any of its bytes are written.
///
/// # Errors
///
/// The stream failed or took no bytes for too long, or a frame is too long.
pub async fn pump<T, W>(
    stream: &mut W,
    frames: &Receiver<T>,
    mut before: impl FnMut(&T),
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
            before(&frame);
            framing::encode(&frame, &mut batch).map_err(invalid)?;
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

fn invalid(error: framing::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
