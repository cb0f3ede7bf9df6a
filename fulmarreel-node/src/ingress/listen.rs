//! Connections of callers, and their graceful end.
//!
//! The library's own server keeps its socket while it shuts down, and what connects meanwhile is
//! reset. This one closes the socket first, so that later callers are refused, which proves to
//! them that nothing ran.

use super::Ingress;
use smol::{
    future::or,
    net::{TcpListener, TcpStream},
};
use std::{io, net, os::fd::AsFd, sync::Arc};
use trillium_http::HttpContext;
use trillium_smol::SmolTransport;

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
    let transport = SmolTransport::from(tcp);
    let served = context.run(transport, |conn| async {
        let conn = ingress.handle(conn.into()).await;
        conn.into_inner()
    });
    served.await.map(|_| ())
}
