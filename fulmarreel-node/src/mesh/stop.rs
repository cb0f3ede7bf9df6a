//! The planned end of a node, and changed settings.

use super::{announce, caller::RequestHandler, context::Context, serve::Server};
use async_signal::{Signal, Signals};
use fulmarreel_platform::Settings;
use smol::{Timer, stream::StreamExt};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// How long callers are still served after the node has said that it is not ready.
const LINGER: Duration = Duration::from_millis(2_200);

/// Time before the platform's own limit at which the process ends in any case.
const RESERVE: Duration = Duration::from_millis(700);

/// How long after the signal requests are still taken; later ones might not end in time.
const LAST_CALL: Duration = Duration::from_millis(2_700);

/// How often the end of requests is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the last bytes to be written.
const FLUSH: Duration = Duration::from_millis(100);

/// How often the settings file is looked at without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT, then lets every request end.
///
/// # Errors
///
/// The signals cannot be watched.
pub async fn run(
    context: Arc<Context>,
    server: Arc<Server>,
    handler: Arc<RequestHandler>,
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
    let end = start + context.settings().grace.saturating_sub(RESERVE);
    context.stop(end);
    server.announce_leaving();
    let (retiring, target) = (Arc::clone(&context), Arc::clone(&server));
    crate::runtime::spawn(async move { announce::retire(&retiring, &target).await });
    Timer::after(LINGER).await;
    while Instant::now() < start + LAST_CALL && server.in_flight() + handler.in_flight() > 0 {
        Timer::after(CHECK_INTERVAL).await;
    }
    // What arrives from here on is refused, so that the process ends with no request half served.
    handler.close();
    Timer::after(FLUSH).await;
    while Instant::now() < end && server.in_flight() + handler.in_flight() > 0 {
        Timer::after(CHECK_INTERVAL).await;
    }
    let unfinished = server.in_flight() + handler.in_flight();
    let after_ms = start.elapsed().as_millis() as u64;
    log::info!(after_ms, unfinished; "stopped");
    Ok(())
}

/// Looks at the settings file until the process ends; it may change without a signal.
pub async fn watch_settings(context: Arc<Context>) {
    loop {
        Timer::after(SETTINGS_INTERVAL).await;
        reload(&context);
    }
}

fn reload(context: &Context) {
    match Settings::load() {
        Ok(settings) => context.reload(settings),
        Err(error) => log::warn!("settings kept as they were: {error}"),
    }
}
