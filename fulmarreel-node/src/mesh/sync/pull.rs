//! Transfer of store changes between nodes.

use crate::{mesh::context::Context, peer::stream, telemetry::metrics};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    mirror::{Assembler, Part, Pull, Update, pack, parts, unpack},
};
use smol::{Timer, future::or, io::BufReader, net::TcpStream};
use std::{fmt::Display, io, net::SocketAddr, time::Duration};

/// How long a connection to another node may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a read or write may make no progress once the connection is open.
const IO_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a whole update may take to arrive.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a peer the store changes that it lacks.
///
/// # Errors
///
/// The connection failed, or the peer's request is malformed.
pub async fn serve(context: &Context, mut tcp: TcpStream) -> io::Result<()> {
    let request: Pull = with_timeout(IO_TIMEOUT, stream::read(&mut tcp)).await?;
    let update = context.read(|mirror| {
        mirror.update_for(&request).unwrap_or_else(|| Update {
            after_revision: request.known_revision,
            up_to_revision: mirror.revision(),
            changes: Vec::new(),
        })
    });
    let packed = pack(&update).map_err(invalid)?;
    for part in parts(&packed) {
        with_timeout(IO_TIMEOUT, stream::write(&mut tcp, &part)).await?;
    }
    Ok(())
}

/// Fetches the store changes that a peer knows and this node lacks. If the update does not fit the
/// mirror, asks once more for whole values in place of deltas.
///
/// # Errors
///
/// The peer cannot be reached, is silent, or sends no update that fits the mirror.
pub async fn pull(context: &Context, peer: SocketAddr) -> io::Result<()> {
    let request = context.read(|mirror| mirror.pull_request());
    let update = with_timeout(TRANSFER_TIMEOUT, fetch(context, peer, &request)).await?;
    let Err(error) = context.apply_update(update) else {
        return Ok(());
    };
    log::info!(peer:% = peer, after = request.known_revision; "asked for whole values: {error}");
    let request = Pull {
        without_deltas: true,
        ..request
    };
    let update = with_timeout(TRANSFER_TIMEOUT, fetch(context, peer, &request)).await?;
    context.apply_update(update).map_err(invalid)
}

async fn fetch(context: &Context, peer: SocketAddr, request: &Pull) -> io::Result<Update> {
    let mut tcp = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await?;
    tcp.set_nodelay(true)?;
    let hello = Hello {
        protocol: PROTOCOL,
        address: context.settings().peer_address,
        boot: context.started_at_ms,
        purpose: Purpose::Mirror,
    };
    stream::write(&mut tcp, &hello).await?;
    stream::write(&mut tcp, request).await?;
    let mut tcp = BufReader::new(tcp);
    let mut assembler = Assembler::default();
    loop {
        let part: Part = with_timeout(IO_TIMEOUT, stream::read(&mut tcp)).await?;
        if let Some(packed) = assembler.add(&part).map_err(invalid)? {
            metrics::update_received(packed.len() as u64);
            return unpack(&packed).map_err(invalid);
        }
    }
}

/// Fails with [`TimedOut`](io::ErrorKind::TimedOut) if `work` takes longer than `timeout`.
async fn with_timeout<T>(
    timeout: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    or(work, async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

fn invalid(error: impl Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}
