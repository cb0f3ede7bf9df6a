//! The planned end of a node, which cuts off no call.

use crate::{ingress::Ingress, serve::Server, state::State};
use async_signal::{Signal, Signals};
use smol::{Timer, stream::StreamExt};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// How long connections that callers keep open are still served, and the last record spreads.
const LINGER: Duration = Duration::from_millis(1_000);

/// How long calls may take to end.
const PATIENCE: Duration = Duration::from_secs(30);

/// How often the end of calls is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last frames to be written.
const FLUSH: Duration = Duration::from_millis(100);

/// Waits for SIGTERM or SIGINT, then ends every call well.
///
/// The order matters: peers hear first that the target takes no new calls, then callers are
/// refused, then what runs is finished.
///
/// # Errors
///
/// The signals cannot be watched.
pub async fn run(state: Arc<State>, server: Arc<Server>, ingress: Arc<Ingress>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let signal = signals.next().await;
    log::info!(signal:? = signal; "leaving");
    server.leave();
    state.leave();
    ingress.close();
    let start = Instant::now();
    Timer::after(LINGER).await;
    while start.elapsed() < PATIENCE && server.in_flight() + ingress.in_flight() > 0 {
        Timer::after(CHECK_INTERVAL).await;
    }
    ingress.close_idle();
    Timer::after(FLUSH).await;
    let after_ms = start.elapsed().as_millis() as u64;
    let unfinished = server.in_flight() + ingress.in_flight();
    log::info!(after_ms, unfinished; "left");
    Ok(())
}
