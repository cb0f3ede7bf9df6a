//! Graceful shutdown of a node, and reloading of its settings.

use super::{caller::RequestHandler, context::Context, publish::Publisher, serve::Server};
use async_signal::{Signal, Signals};
use fulmarreel_platform::Settings;
use smol::{Timer, stream::StreamExt};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// The shortest time for which the node goes on serving after it reports that it is not ready.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_200);

/// The process ends at the latest this long before the end of the platform's grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// The longest time after the signal for which new requests are accepted; later ones might not end in
/// time.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_700);

/// How often to check whether all requests have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the last responses to be written to their connections.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// How often the settings file is reloaded without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings at SIGHUP, and returns after SIGTERM or SIGINT once all requests have ended or
/// the grace period is nearly over.
///
/// # Errors
///
/// The signals cannot be watched.
pub async fn run(
    context: Arc<Context>,
    server: Arc<Server>,
    handler: Arc<RequestHandler>,
    publisher: Arc<Publisher>,
) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    loop {
        match signals.next().await {
            Some(Ok(Signal::Hup)) => reload(&context),
            Some(Ok(signal)) => {
                log::info!(signal:? = signal; "stopping");
                break;
            }
            Some(Err(error)) => return Err(error),
            None => std::future::pending().await,
        }
    }
    let start = Instant::now();
    let end = start
        + context
            .settings()
            .shutdown_grace
            .saturating_sub(EXIT_MARGIN);
    context.stop(end);
    server.announce_leaving();
    crate::runtime::spawn(async move { publisher.retire().await });
    Timer::after(MIN_DRAIN_TIME).await;
    while Instant::now() < start + MAX_ACCEPT_TIME && server.in_flight() + handler.in_flight() > 0 {
        Timer::after(CHECK_INTERVAL).await;
    }
    // New requests are refused from here on, so that none is cut off when the process ends.
    handler.close();
    Timer::after(FLUSH_TIME).await;
    while Instant::now() < end && server.in_flight() + handler.in_flight() > 0 {
        Timer::after(CHECK_INTERVAL).await;
    }
    let unfinished = server.in_flight() + handler.in_flight();
    let after_ms = start.elapsed().as_millis() as u64;
    log::info!(after_ms, unfinished; "stopped");
    Ok(())
}

/// Reloads the settings file at intervals until the process ends, as it may change without a signal.
pub async fn watch_settings(context: Arc<Context>) {
    loop {
        Timer::after(SETTINGS_INTERVAL).await;
        reload(&context);
    }
}

fn reload(context: &Context) {
    match Settings::load() {
        Ok(settings) => context.reload(settings),
        Err(error) => log::warn!("settings not reloaded: {error}"),
    }
}
