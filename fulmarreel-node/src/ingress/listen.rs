//! Connections of callers, and their graceful end.
//!
//! The library's own server keeps its socket while it shuts down, and what connects meanwhile is
//! reset. This one closes the socket first, so that later callers are refused, which proves to
//! them that nothing ran.

use super::Ingress;
use crate::transport::Transport;
use smol::{
    future::or,
    net::{TcpListener, TcpStream},
};
use std::{io, net, os::fd::AsFd, sync::Arc, time::Duration};
use trillium_http::HttpContext;

/// How long a caller's connection is kept without a byte.
const IDLE_LIMIT: Duration = Duration::from_hours(24);

/// Accepts callers until the ingress is closing.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(ingress: Arc<Ingress>) -> io::Result<()> {
    let listener = TcpListener::bind(ingress.state.settings.callers).await?;
    loop {
        let accepted = or(async { Some(listener.accept().await) }, async {
            ingress.closing().await;
            None
        });
        match accepted.await {
            Some(Ok((tcp, _))) => serve(&ingress, tcp),
            Some(Err(error)) => log::warn!("accept: {error}"),
            None => break,
        }
    }
    // Those whose connection was opened already are served. What connects between the last look and
    // the close is reset, so nothing else happens between these two: the reactor, which takes its
    // time to let go of a socket, does so before.
    let last = net::TcpListener::from(listener.as_fd().try_clone_to_owned()?);
    drop(listener);
    while let Ok((tcp, _)) = last.accept() {
        serve(&ingress, TcpStream::try_from(tcp)?);
    }
    drop(last);
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
