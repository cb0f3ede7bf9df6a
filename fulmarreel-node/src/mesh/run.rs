//! Starts every part of the node.

use super::{
    announce::Handler as AnnouncementHandler,
    caller::RequestHandler,
    context::Context,
    listen::listen,
    notices::NoticeSocket,
    publish::Publisher,
    quota::{self, Quotas},
    ready,
    serve::Server,
    stop, sync,
    takeover::{self, Rollouts},
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

/// How often unreachable nodes are checked for a probe that is due.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The shortest task delay that is logged.
const LONG_TASK_DELAY: Duration = Duration::from_millis(250);

/// Runs a node on the platform until it is told to stop. If `metrics_port` is given, metrics are served
/// at that port too.
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
    let (ready_address, announcement_address) = (
        settings.readiness_listen_address,
        settings.announcement_listen_address,
    );
    let context = Arc::new(Context::new(settings));
    let rollouts = Arc::new(Rollouts::default());
    let server = Arc::new(Server::new(Arc::clone(&context)));
    let quotas = Quotas::new(Arc::clone(&context));
    let handler = Arc::new(RequestHandler::new(
        Arc::clone(&context),
        Arc::clone(&server),
        Arc::clone(&rollouts),
        Arc::clone(&quotas),
    ));
    let notices = NoticeSocket::bind(Arc::clone(&context)).await?;

    let metrics_address = metrics_port.map(|port| SocketAddr::new(ready_address.ip(), port));
    for address in [Some(ready_address), metrics_address].into_iter().flatten() {
        let ready_context = Arc::clone(&context);
        serve_http(address, move |conn: Conn| {
            let context = Arc::clone(&ready_context);
            async move { ready::handle(&context, conn) }
        });
    }
    let publisher = Arc::new(Publisher::new(Arc::clone(&context), Arc::clone(&server)));
    let announcements = AnnouncementHandler {
        context: Arc::clone(&context),
        server: Arc::clone(&server),
        publisher: Arc::clone(&publisher),
    };
    serve_http(announcement_address, move |conn: Conn| {
        let announcements = announcements.clone();
        async move { announcements.handle(conn).await }
    });
    spawn(sync::run(Arc::clone(&context)));
    spawn(Arc::clone(&publisher).run());
    spawn(Arc::clone(&notices).send_store_notices());
    spawn(Arc::clone(&notices).receive(Arc::clone(&rollouts), Arc::clone(&quotas)));
    spawn(quota::driver::run(
        Arc::clone(&quotas),
        Arc::clone(&notices),
    ));
    spawn(quota::claim::run(quotas, Arc::clone(&notices)));
    spawn(takeover::run(Arc::clone(&context), rollouts, notices));
    spawn(stop::watch_settings(Arc::clone(&context)));
    let (targets, pool) = handler.targets_and_pool();
    spawn(probe_unreachable(Arc::clone(&context), targets, pool));

    let serving = Arc::clone(&server).run();
    let callers = listen(Arc::clone(&context), Arc::clone(&handler));
    or(
        serving,
        or(callers, stop::run(context, server, handler, publisher)),
    )
    .await
}

/// Probes unreachable nodes, so that no request has to wait for them, and drops the statistics of nodes
/// that are gone. Also measures how late this task's timer fires: all other tasks of the process are
/// delayed alike.
async fn probe_unreachable(context: Arc<Context>, targets: Arc<TargetStats>, pool: Arc<Pool>) {
    loop {
        let delay = Timer::after(PROBE_INTERVAL).await.elapsed();
        metrics::task_delayed(delay);
        if delay >= LONG_TASK_DELAY {
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

fn serve_http(address: SocketAddr, handler: impl Handler) {
    let server = trillium_smol::config()
        .with_socketaddr(address)
        .with_nodelay()
        .without_signals();
    spawn(async move {
        server.run_async(handler).await;
    });
}
