//! Starts every part of a node and keeps it running.

use crate::{
    admin, gossip, ingress::Ingress, runtime, serve, settings::Settings, state::State, sync,
    target::Client, telemetry,
};
use std::{io, net::SocketAddr, sync::Arc};
use trillium::{Conn, Handler};

/// Runs a node until the process ends.
///
/// # Errors
///
/// An address cannot be bound.
pub fn run(settings: Settings) -> io::Result<()> {
    runtime::init();
    telemetry::metrics::init().map_err(io::Error::other)?;
    runtime::block_on(start(settings))
}

async fn start(settings: Settings) -> io::Result<()> {
    let (callers, admin) = (settings.callers, settings.admin);
    let client = Arc::new(Client::new(settings.target));
    let state = Arc::new(State::new(settings));
    let believing = Arc::clone(&state);
    listen(admin, move |conn: Conn| {
        let state = Arc::clone(&believing);
        async move { admin::handle(&state, conn).await }
    });
    let ingress = Arc::new(Ingress::new(Arc::clone(&state)));
    listen(callers, move |conn: Conn| {
        let ingress = Arc::clone(&ingress);
        async move { ingress.handle(conn).await }
    });
    let syncing = Arc::clone(&state);
    runtime::spawn(async move { sync::run(syncing).await });
    let gossiping = Arc::clone(&state);
    runtime::spawn(async move {
        if let Err(error) = gossip::run(gossiping).await {
            log::error!("gossip: {error}");
        }
    });
    serve::run(state, client).await
}

fn listen(address: SocketAddr, handler: impl Handler) {
    let server = trillium_smol::config()
        .with_socketaddr(address)
        .with_nodelay()
        .without_signals();
    runtime::spawn(server.run_async(handler));
}
