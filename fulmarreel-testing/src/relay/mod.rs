//! A relay for TCP and UDP at the address that a node advertises, with faults that are switched
//! while it runs.

mod control;
mod tcp;
mod udp;

pub use control::{Control, Fault};

use smol::net::{TcpListener, UdpSocket};
use std::{io, net::SocketAddr, sync::Arc};

/// Relays both protocols until the process ends; the addresses are bound when this returns.
///
/// # Errors
///
/// An address cannot be bound.
pub async fn start(
    listen: SocketAddr,
    forward: SocketAddr,
    control: Arc<Control>,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let socket = UdpSocket::bind(listen).await?;
    let streams = Arc::clone(&control);
    smol::spawn(async move { tcp::run(&listener, forward, &streams).await }).detach();
    smol::spawn(async move { udp::run(socket, forward, control).await }).detach();
    Ok(())
}
