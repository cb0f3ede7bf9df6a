//! The accepting side of a connection.

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

/// How long a connection may take altogether.
const LIFETIME: Duration = Duration::from_secs(5);

/// Comparisons served at once; whoever is turned away tries another peer.
const MAX_COMPARISONS: usize = 8;

static COMPARISONS: AtomicUsize = AtomicUsize::new(0);

/// Serves a connection that a peer opened for [`Purpose::Sync`](fulmarreel_wire::Purpose::Sync).
///
/// # Errors
///
/// The connection failed, or the peer broke the protocol.
pub async fn accept(state: &Arc<State>, tcp: TcpStream, hello: &Hello) -> io::Result<()> {
    let deadline = Instant::now() + LIFETIME;
    let mut stream = Stream::accepted(state, tcp, hello.address);
    match stream.read(deadline).await? {
        Frame::Push(frame) => {
            push::take(state, frame).await;
            Ok(())
        }
        Frame::Compare(frame) => {
            let Some(_permit) = Permit::take() else {
                return Ok(());
            };
            exchange::serve(state, &mut stream, hello.address, &frame, deadline).await
        }
        Frame::Differ(_) | Frame::News(_) => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// One of the comparisons that are served at once.
struct Permit;

impl Permit {
    fn take() -> Option<Self> {
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
