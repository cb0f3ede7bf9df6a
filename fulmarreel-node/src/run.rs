//! Starts all parts of a node and runs it until its end.

use crate::{
    admin, gossip,
    ingress::{self, Ingress},
    leave, readiness,
    rollout::{self, Rollouts},
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

/// Runs a node until SIGTERM or SIGINT ends it.
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
    let rollouts = Arc::new(Rollouts::default());
    let admin_args = (Arc::clone(&state), Arc::clone(&rollouts));
    serve_http(admin, move |conn: Conn| {
        let (state, rollouts) = admin_args.clone();
        async move { admin::handle(&state, &rollouts, conn).await }
    });
    rollout::start(&state, &rollouts);
    let ingress = Arc::new(Ingress::new(Arc::clone(&state), Arc::clone(&rollouts)));
    let callers = accept_callers(Arc::clone(&state), Arc::clone(&ingress));
    let sync_state = Arc::clone(&state);
    runtime::spawn(async move { sync::run(sync_state).await });
    let gossip_state = Arc::clone(&state);
    runtime::spawn(async move {
        if let Err(error) = gossip::run(gossip_state).await {
            log::error!("gossip: {error}");
        }
    });
    let server = Arc::new(Server::new(Arc::clone(&state), client, rollouts));
    let peer_server = Arc::clone(&server);
    let leaving = leave::run(state, server, ingress);
    or(peer_server.run(), or(callers, leaving)).await
}

/// Accepts callers once the node is ready for them; returns only with an error.
///
/// # Errors
///
/// The callers' address cannot be bound.
async fn accept_callers(state: Arc<State>, ingress: Arc<Ingress>) -> io::Result<()> {
    readiness::wait_until_ready(&state).await;
    log::info!(address:% = state.settings.callers; "open to callers");
    ingress::listen(ingress).await?;
    std::future::pending().await
}

fn serve_http(address: SocketAddr, handler: impl Handler) {
    let server = trillium_smol::config()
        .with_socketaddr(address)
        .with_nodelay()
        .without_signals();
    runtime::spawn(server.run_async(handler));
}
