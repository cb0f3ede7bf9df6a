//! Accepts callers' connections, and shuts the listener down gracefully.
//!
//! The HTTP library's own server keeps its listening socket open while it shuts down, and resets
//! connections that are opened meanwhile. This one closes the socket first, so that later callers
//! are refused, which proves to them that nothing ran.

use super::Ingress;
use crate::transport::Transport;
use smol::{
    Timer,
    future::or,
    net::{TcpListener, TcpStream},
};
use socket2::{SockFilter, SockRef};
use std::{io, net, os::fd::AsFd, sync::Arc, time::Duration};
use trillium_http::HttpContext;

/// How long an idle connection of a caller is kept open.
const IDLE_LIMIT: Duration = Duration::from_hours(24);

/// Time for the handshakes of connections that are being opened.
const HANDSHAKE_TIME: Duration = Duration::from_millis(20);

/// A socket filter that drops the segments that open connections: it loads the flags of the TCP header
/// at byte 13, and returns how many bytes are kept.
const DROP_SYN: [SockFilter; 4] = [
    SockFilter::new(BPF_LOAD_BYTE, 0, 0, 13),
    SockFilter::new(BPF_JUMP_IF_SET, 0, 1, SYN),
    SockFilter::new(BPF_RETURN, 0, 0, 0),
    SockFilter::new(BPF_RETURN, 0, 0, u32::MAX),
];

const BPF_LOAD_BYTE: u16 = 0x30;
const BPF_JUMP_IF_SET: u16 = 0x45;
const BPF_RETURN: u16 = 0x06;

/// The flag of a segment that opens a connection.
const SYN: u32 = 0x02;

/// Accepts callers until the ingress is closed.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(ingress: Arc<Ingress>) -> io::Result<()> {
    let listener = TcpListener::bind(ingress.state.settings.callers).await?;
    loop {
        let accepted = or(async { Some(listener.accept().await) }, async {
            ingress.closed().await;
            None
        });
        match accepted.await {
            Some(Ok((tcp, _))) => serve(&ingress, tcp),
            Some(Err(error)) => log::warn!("accept: {error}"),
            None => break,
        }
    }
    // The async listener is dropped first, since the reactor takes a while to release a socket.
    let blocking_listener = net::TcpListener::from(listener.as_fd().try_clone_to_owned()?);
    drop(listener);
    for tcp in close(blocking_listener).await {
        serve(&ingress, TcpStream::try_from(tcp)?);
    }
    Ok(())
}

/// Closes a non-blocking listener without resetting any connection: returns those that were opened
/// before. Later callers are refused.
pub async fn close(listener: net::TcpListener) -> Vec<net::TcpStream> {
    // Connections that are opened between the last `accept` and the closing of the socket would be
    // reset, so the socket first ignores new ones; their callers try again, and are refused.
    if let Err(error) = SockRef::from(&listener).attach_filter(&DROP_SYN) {
        log::debug!("connections may be reset as the listener closes: {error}");
    }
    Timer::after(HANDSHAKE_TIME).await;
    let mut opened = Vec::new();
    while let Ok((tcp, _)) = listener.accept() {
        opened.push(tcp);
    }
    opened
}

fn serve(ingress: &Arc<Ingress>, tcp: TcpStream) {
    let (ingress, context) = (Arc::clone(ingress), Arc::clone(&ingress.http));
    crate::runtime::spawn(async move {
        if let Err(error) = connection(&ingress, context, tcp).await {
            log::debug!("caller: {error}");
        }
    });
}

async fn connection(
    ingress: &Ingress,
    context: Arc<HttpContext>,
    tcp: TcpStream,
) -> trillium_http::Result<()> {
    tcp.set_nodelay(true)?;
    let transport = Transport::new(tcp, || IDLE_LIMIT);
    let watcher = transport.watcher();
    let served = context.run(transport, |conn| async {
        ingress.handle(conn.into(), &watcher).await.into_inner()
    });
    served.await.map(|_| ())
}
