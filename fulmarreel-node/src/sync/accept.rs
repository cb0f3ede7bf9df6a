//! Serves pushes and comparisons that peers open.

use super::{exchange, push, stream::Stream};
use crate::state::State;
use fulmarreel_wire::{Hello, sync::Frame};
use smol::net::TcpStream;
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Total time limit of an accepted connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit of comparisons served at the same time; a peer that is refused tries another node.
const MAX_COMPARISONS: usize = 8;

/// Comparisons that are being served.
static COMPARISONS: AtomicUsize = AtomicUsize::new(0);

/// Serves a connection that a peer opened for [`Purpose::Sync`](fulmarreel_wire::Purpose::Sync).
///
/// # Errors
///
/// The connection failed, or the peer violated the protocol.
pub async fn accept(state: &Arc<State>, tcp: TcpStream, hello: &Hello) -> io::Result<()> {
    let deadline = Instant::now() + CONNECTION_TIMEOUT;
    let mut stream = Stream::accepted(state, tcp, hello.address);
    match stream.read(deadline).await? {
        Frame::Push(frame) => {
            push::receive(state, frame).await;
            Ok(())
        }
        Frame::Compare(frame) => {
            let Some(_permit) = Permit::try_acquire() else {
                return Ok(());
            };
            exchange::serve(state, &mut stream, hello.address, &frame, deadline).await
        }
        Frame::Differences(_) | Frame::Transfer(_) => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Permission to serve one comparison, returned on drop.
struct Permit;

impl Permit {
    fn try_acquire() -> Option<Self> {
        if COMPARISONS.fetch_add(1, Ordering::AcqRel) >= MAX_COMPARISONS {
            COMPARISONS.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        Some(Self)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        COMPARISONS.fetch_sub(1, Ordering::AcqRel);
    }
}
