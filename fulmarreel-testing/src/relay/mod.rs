//! A relay for TCP and UDP at the address that a node advertises, into which tests inject faults while
//! it runs.

mod control;
mod link;
mod tcp;
mod udp;

pub use control::{Control, Faults};
pub use link::{CarriedBytes, Link};

use smol::net::{TcpListener, UdpSocket};
use std::{io, net::SocketAddr, sync::Arc};

/// Starts to relay TCP and UDP from `listen` to `forward`, until the process ends. Both sockets are bound
/// when this returns.
///
/// # Errors
///
/// A socket cannot be bound.
pub async fn start(
    listen: SocketAddr,
    forward: SocketAddr,
    control: Arc<Control>,
) -> io::Result<()> {
    start_on(listen, forward, control, &Arc::new(Link::unlimited())).await
}

/// As [`start`], over a link that other relays may share.
///
/// # Errors
///
/// A socket cannot be bound.
pub async fn start_on(
    listen: SocketAddr,
    forward: SocketAddr,
    control: Arc<Control>,
    link: &Arc<Link>,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let socket = UdpSocket::bind(listen).await?;
    let (stream_control, stream_link) = (Arc::clone(&control), Arc::clone(link));
    smol::spawn(async move { tcp::run(&listener, forward, &stream_control, &stream_link).await })
        .detach();
    let link = Arc::clone(link);
    smol::spawn(async move { udp::run(socket, forward, control, link).await }).detach();
    Ok(())
}
