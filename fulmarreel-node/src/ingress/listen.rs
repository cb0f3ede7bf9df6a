//! Accepts callers' connections, and shuts the listener down gracefully.
//!
//! The HTTP library's own server keeps its listening socket open while it shuts down, and resets
//! connections that are opened meanwhile. This one closes the socket first, so that later callers
//! are refused, which proves to them that nothing ran.

use super::Ingress;
use crate::transport::Transport;
use smol::{
    future::or,
    net::{TcpListener, TcpStream},
};
use std::{io, net, os::fd::AsFd, sync::Arc, time::Duration};
use trillium_http::HttpContext;

/// How long an idle connection of a caller is kept open.
const IDLE_LIMIT: Duration = Duration::from_hours(24);

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
    // Connections that were opened already are served. Those opened between the last `accept` and
    // the closing of the socket are reset, so nothing else may happen between these two. The async
    // listener is dropped before, since the reactor takes a while to release a socket.
    let blocking_listener = net::TcpListener::from(listener.as_fd().try_clone_to_owned()?);
    drop(listener);
    while let Ok((tcp, _)) = blocking_listener.accept() {
        serve(&ingress, TcpStream::try_from(tcp)?);
    }
    drop(blocking_listener);
    Ok(())
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
