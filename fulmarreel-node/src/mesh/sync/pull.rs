//! Learns from another node what changed in the store, and tells others.

use crate::{mesh::context::Context, peer::stream, telemetry::metrics};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    mirror::{Assembler, Part, Pull, Update, pack, parts, unpack},
};
use smol::{Timer, future::or, io::BufReader, net::TcpStream};
use std::{fmt::Display, io, net::SocketAddr, time::Duration};

/// How long a connection to another node may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long another node may send nothing, once the connection is open.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long all of an update may take to arrive.
const TRANSFER_LIMIT: Duration = Duration::from_secs(10);

/// Sends a peer what it lacks of the store.
///
/// # Errors
///
/// The connection failed, or the peer asks for nothing that can be read.
pub async fn serve(context: &Context, mut tcp: TcpStream) -> io::Result<()> {
    let asked: Pull = within(SILENCE_TIMEOUT, stream::read(&mut tcp)).await?;
    let update = context.read(|mirror| {
        mirror.update_for(&asked).unwrap_or_else(|| Update {
            from: asked.after,
            revision: mirror.revision(),
            changes: Vec::new(),
        })
    });
    let packed = pack(&update).map_err(invalid)?;
    for part in parts(&packed) {
        within(SILENCE_TIMEOUT, stream::write(&mut tcp, &part)).await?;
    }
    Ok(())
}

/// Learns what a peer knows beyond this node.
///
/// # Errors
///
/// The peer cannot be reached, is silent, or sends no update that fits.
pub async fn pull(context: &Context, peer: SocketAddr) -> io::Result<()> {
    let asked = context.read(|mirror| mirror.pull());
    let update = within(TRANSFER_LIMIT, fetch(context, peer, &asked)).await?;
    let Err(error) = context.take(update) else {
        return Ok(());
    };
    log::info!(peer:% = peer, after = asked.after; "asked for whole values: {error}");
    let whole = Pull {
        whole: true,
        ..asked
    };
    let update = within(TRANSFER_LIMIT, fetch(context, peer, &whole)).await?;
    context.take(update).map_err(invalid)
}

async fn fetch(context: &Context, peer: SocketAddr, asked: &Pull) -> io::Result<Update> {
    let mut tcp = within(CONNECT_TIMEOUT, TcpStream::connect(peer)).await?;
    tcp.set_nodelay(true)?;
    let hello = Hello {
        protocol: PROTOCOL,
        address: context.settings().peers,
        boot: context.boot,
        purpose: Purpose::Mirror,
    };
    stream::write(&mut tcp, &hello).await?;
    stream::write(&mut tcp, asked).await?;
    let mut tcp = BufReader::new(tcp);
    let mut assembler = Assembler::default();
    loop {
        let part: Part = within(SILENCE_TIMEOUT, stream::read(&mut tcp)).await?;
        if let Some(packed) = assembler.add(&part).map_err(invalid)? {
            metrics::update_received(packed.len() as u64);
            return unpack(&packed).map_err(invalid);
        }
    }
}

/// Fails what takes longer.
async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    or(work, async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

fn invalid(error: impl Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}
