//! Starts every part of a node and keeps it running.

use crate::{
    admin, gossip,
    ingress::{self, Ingress},
    leave, opening,
    rollout::{self, Moves},
    runtime,
    serve::Server,
    settings::Settings,
    state::State,
    sync,
    target::Client,
    telemetry,
};
use smol::future::or;
use std::{io, net::SocketAddr, sync::Arc};
use trillium::{Conn, Handler};

/// Runs a node until it is told to leave.
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
    let admin = settings.admin;
    let client = Client::new(settings.target);
    let state = Arc::new(State::new(settings));
    let moves = Arc::new(Moves::default());
    let believing = (Arc::clone(&state), Arc::clone(&moves));
    listen(admin, move |conn: Conn| {
        let (state, moves) = believing.clone();
        async move { admin::handle(&state, &moves, conn).await }
    });
    rollout::start(&state, &moves);
    let ingress = Arc::new(Ingress::new(Arc::clone(&state), Arc::clone(&moves)));
    let callers = accept_callers(Arc::clone(&state), Arc::clone(&ingress));
    let syncing = Arc::clone(&state);
    runtime::spawn(async move { sync::run(syncing).await });
    let gossiping = Arc::clone(&state);
    runtime::spawn(async move {
        if let Err(error) = gossip::run(gossiping).await {
            log::error!("gossip: {error}");
        }
    });
    let server = Arc::new(Server::new(Arc::clone(&state), client, moves));
    let serving = Arc::clone(&server);
    let leaving = leave::run(state, server, ingress);
    or(serving.run(), or(callers, leaving)).await
}

/// Accepts callers once the node knows enough; ends only where it cannot.
async fn accept_callers(state: Arc<State>, ingress: Arc<Ingress>) -> io::Result<()> {
    opening::wait(&state).await;
    log::info!(address:% = state.settings.callers; "open to callers");
    ingress::listen(ingress).await?;
    std::future::pending().await
}

fn listen(address: SocketAddr, handler: impl Handler) {
    let server = trillium_smol::config()
        .with_socketaddr(address)
        .with_nodelay()
        .without_signals();
    runtime::spawn(server.run_async(handler));
}
