//! Starts every part of the node and keeps it running.

use super::{
    announce,
    caller::RequestHandler,
    context::Context,
    listen::listen,
    notices::Notices,
    ready,
    serve::Server,
    stop, sync,
    takeover::{self, Moves},
    targets::TargetStats,
};
use crate::{peer::Pool, runtime, telemetry::metrics};
use fulmarreel_platform::Settings;
use smol::{Timer, future::or};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use trillium::{Conn, Handler};

/// How often it is looked which nodes are to be probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// A delay of tasks that is logged.
const LONG_DELAY: Duration = Duration::from_millis(250);

/// Runs a node on the platform until it is told to stop, with metrics at a port of their own if one is
/// given.
///
/// # Errors
///
/// An address cannot be bound.
pub fn run(settings: Settings, metrics_port: Option<u16>) -> io::Result<()> {
    runtime::init();
    metrics::init().map_err(io::Error::other)?;
    runtime::block_on(start(settings, metrics_port))
}

async fn start(settings: Settings, metrics_port: Option<u16>) -> io::Result<()> {
    log::info!(
        instance = settings.instance.as_str(),
        zone = settings.zone.as_str(),
        service = settings.service.as_str();
        "started"
    );
    let (ready_at, announced_at) = (settings.ready, settings.announcements);
    let context = Arc::new(Context::new(settings));
    let moves = Arc::new(Moves::default());
    let server = Arc::new(Server::new(Arc::clone(&context)));
    let handler = Arc::new(RequestHandler::new(
        Arc::clone(&context),
        Arc::clone(&server),
        Arc::clone(&moves),
    ));
    let notices = Notices::bind(Arc::clone(&context)).await?;

    let metrics_at = metrics_port.map(|port| SocketAddr::new(ready_at.ip(), port));
    for address in [Some(ready_at), metrics_at].into_iter().flatten() {
        let asked = Arc::clone(&context);
        serve(address, move |conn: Conn| {
            let context = Arc::clone(&asked);
            async move { ready::handle(&context, conn) }
        });
    }
    let hearing = (Arc::clone(&context), Arc::clone(&server));
    serve(announced_at, move |conn: Conn| {
        let (context, server) = hearing.clone();
        async move { announce::handle(&context, &server, conn).await }
    });
    spawn(sync::run(Arc::clone(&context)));
    spawn(announce::publish(Arc::clone(&context), Arc::clone(&server)));
    spawn(Arc::clone(&notices).tell());
    spawn(Arc::clone(&notices).receive(Arc::clone(&moves)));
    spawn(takeover::run(Arc::clone(&context), moves, notices));
    spawn(stop::watch_settings(Arc::clone(&context)));
    let (targets, pool) = handler.targets_and_pool();
    spawn(probe(Arc::clone(&context), targets, pool));

    let serving = Arc::clone(&server).run();
    let callers = listen(Arc::clone(&context), Arc::clone(&handler));
    or(serving, or(callers, stop::run(context, server, handler))).await
}

/// Tries nodes that could not be reached, so that no request waits for them. How late that task can run
/// tells how late this node hears of anything.
async fn probe(context: Arc<Context>, targets: Arc<TargetStats>, pool: Arc<Pool>) {
    loop {
        let delay = Timer::after(PROBE_INTERVAL).await.elapsed();
        metrics::task_delayed(delay);
        if delay >= LONG_DELAY {
            log::info!(delay_ms = delay.as_millis() as u64; "tasks were delayed");
        }
        let view = context.view();
        targets.retain(|address| view.nodes.iter().any(|node| node.0 == address));
        for address in targets.take_due_probes(Instant::now()) {
            let (targets, pool) = (Arc::clone(&targets), Arc::clone(&pool));
            spawn(async move {
                if pool.get(address).await.is_ok() {
                    targets.set_reachable(address, true);
                }
            });
        }
    }
}

fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    runtime::spawn(future);
}

fn serve(address: SocketAddr, handler: impl Handler) {
    let server = trillium_smol::config()
        .with_socketaddr(address)
        .with_nodelay()
        .without_signals();
    spawn(async move {
        server.run_async(handler).await;
    });
}
