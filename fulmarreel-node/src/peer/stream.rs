//! Reads and writes length-prefixed frames on a byte stream.

use super::{Identity, turns::Turns};
use fulmarreel_wire::{Hello, PROTOCOL, Purpose, call::Frame, framing};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};
use smol::{
    Timer,
    channel::Receiver,
    future::or,
    net::{Shutdown, TcpStream},
};
use socket2::SockRef;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Queued frames are encoded into one batch until it has this many bytes.
const BATCH_BYTES: usize = 65_536;

/// Over a narrow link, the system holds at most this many bytes that it has not sent, since what it
/// holds is no longer written in turns.
const NARROW_UNSENT_BYTES: u32 = 16_384;

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

/// Writes frames to a peer until the channel is closed or the stream fails, then closes both. Calls take
/// turns while `in_turns` is set.
pub async fn write_call_frames(
    mut tcp: TcpStream,
    frames: Receiver<Frame>,
    in_turns: Arc<AtomicBool>,
) {
    if let Err(error) = write_all_frames(&mut tcp, &frames, &in_turns, |_| true).await {
        log::debug!("peer connection: {error}");
    }
    frames.close();
    // Fails if the peer closed the connection first.
    let _ = tcp.shutdown(Shutdown::Both);
}

/// Writes queued frames in batches until the channel is closed; calls take turns while `in_turns` is set.
/// `before_write` is called with each frame before any of its bytes are written, and says whether it still
/// has to be; a frame that does not is left out while calls take turns.
///
/// # Errors
///
/// The stream failed, a batch was not written within `WRITE_TIMEOUT`, or a frame is too long.
pub async fn write_all_frames(
    tcp: &mut TcpStream,
    frames: &Receiver<Frame>,
    in_turns: &AtomicBool,
    mut before_write: impl FnMut(&Frame) -> bool,
) -> io::Result<()> {
    let mut turns = Turns::default();
    let mut batch = Vec::new();
    let mut is_limited = false;
    while let Ok(first) = frames.recv().await {
        batch.clear();
        if !in_turns.load(Ordering::Relaxed) {
            fill_batch(first, frames, &mut batch, &mut before_write)?;
            write_batch(tcp, &batch).await?;
            continue;
        }
        if !is_limited {
            // Without this limit, which some systems lack, small frames wait longer; nothing else changes.
            let _ = SockRef::from(&*tcp).set_tcp_notsent_lowat(NARROW_UNSENT_BYTES);
            is_limited = true;
        }
        turns.push(first);
        loop {
            while turns.has_room()
                && let Ok(frame) = frames.try_recv()
            {
                turns.push(frame);
            }
            let turn = turns.next_turn();
            if turn.is_empty() {
                break;
            }
            batch.clear();
            for frame in turn.iter().filter(|frame| before_write(frame)) {
                framing::encode(frame, &mut batch).map_err(invalid_data)?;
            }
            write_batch(tcp, &batch).await?;
        }
    }
    Ok(())
}

/// Encodes a frame and those that are queued into one batch.
fn fill_batch(
    first: Frame,
    frames: &Receiver<Frame>,
    batch: &mut Vec<u8>,
    before_write: &mut impl FnMut(&Frame) -> bool,
) -> io::Result<()> {
    let mut next = Some(first);
    while let Some(frame) = next {
        before_write(&frame);
        framing::encode(&frame, batch).map_err(invalid_data)?;
        next = (batch.len() < BATCH_BYTES)
            .then(|| frames.try_recv().ok())
            .flatten();
    }
    Ok(())
}

async fn write_batch(tcp: &mut TcpStream, batch: &[u8]) -> io::Result<()> {
    or(tcp.write_all(batch), async {
        Timer::after(WRITE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

fn invalid_data(error: framing::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
