//! The connection that carries one push or one comparison.

use crate::{
    peer::stream,
    state::{
        State,
        traffic::{Direction, Kind},
    },
};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    framing::{self, PREFIX_BYTES},
    sync::Frame,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Timer, net::TcpStream};
use std::{io, net::SocketAddr, time::Instant};

/// A connection between two nodes for one push or one comparison.
pub(super) struct Stream<'a> {
    state: &'a State,
    tcp: TcpStream,
    peer: SocketAddr,
}

impl<'a> Stream<'a> {
    /// Connects to a peer.
    pub(super) async fn connect(
        state: &'a State,
        peer: SocketAddr,
        deadline: Instant,
    ) -> io::Result<Self> {
        let hello = Hello {
            protocol: PROTOCOL,
            address: state.settings.advertise,
            boot: state.started_at_ms,
            purpose: Purpose::Sync,
        };
        let connect = async {
            let mut tcp = TcpStream::connect(peer).await?;
            tcp.set_nodelay(true)?;
            stream::write(&mut tcp, &hello).await?;
            Ok(tcp)
        };
        let tcp = with_deadline(deadline, connect).await?;
        Ok(Self { state, tcp, peer })
    }

    /// Wraps a connection whose hello has been read.
    pub(super) fn accepted(state: &'a State, tcp: TcpStream, peer: SocketAddr) -> Self {
        Self { state, tcp, peer }
    }

    /// Reads one frame and counts it as control traffic.
    pub(super) async fn read(&mut self, deadline: Instant) -> io::Result<Frame> {
        let read = async {
            let mut prefix = [0; PREFIX_BYTES];
            self.tcp.read_exact(&mut prefix).await?;
            let length = framing::decode_length(prefix).map_err(io::Error::other)?;
            let mut bytes = vec![0; length];
            self.tcp.read_exact(&mut bytes).await?;
            Ok(bytes)
        };
        let bytes = with_deadline(deadline, read).await?;
        let frame = framing::decode(&bytes).map_err(io::Error::other)?;
        self.count(&frame, Direction::Received, bytes.len() + PREFIX_BYTES);
        Ok(frame)
    }

    /// Writes one frame and counts it as control traffic.
    pub(super) async fn write(&mut self, frame: &Frame, deadline: Instant) -> io::Result<()> {
        let mut bytes = Vec::new();
        framing::encode(frame, &mut bytes).map_err(io::Error::other)?;
        with_deadline(deadline, self.tcp.write_all(&bytes)).await?;
        self.count(frame, Direction::Sent, bytes.len());
        Ok(())
    }

    fn count(&self, frame: &Frame, direction: Direction, bytes: usize) {
        let kind = match frame {
            Frame::Push(_) => Kind::Push,
            Frame::Compare(_) | Frame::Differences(_) | Frame::Transfer(_) => Kind::Exchange,
        };
        let distance = self.state.distance(self.peer);
        self.state.traffic.count(kind, distance, direction, bytes);
    }
}

/// Limits an operation by a deadline.
async fn with_deadline<T>(
    deadline: Instant,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        Timer::at(deadline).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timeout).await
}
