//! Graceful shutdown of a node, which lets running calls finish.

use crate::{ingress::Ingress, serve::Server, state::State};
use async_signal::{Signal, Signals};
use smol::{Timer, stream::StreamExt};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// Minimum time for which callers' open connections are still served, and for this node's last
/// membership record to reach the others.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(1_000);

/// Limit of the time for which running calls may take to finish.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(30);

/// Time between two checks whether calls are still running.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the last frames to be written.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Waits for SIGTERM or SIGINT, then shuts the node down gracefully.
///
/// The order matters: first peers learn that the target accepts no new calls, then callers are
/// refused, then running calls finish.
///
/// # Errors
///
/// The signal handlers cannot be installed.
pub async fn run(state: Arc<State>, server: Arc<Server>, ingress: Arc<Ingress>) -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let signal = signals.next().await;
    log::info!(signal:? = signal; "leaving");
    server.leave();
    state.leave();
    ingress.close();
    let start = Instant::now();
    Timer::after(MIN_DRAIN_TIME).await;
    while start.elapsed() < MAX_DRAIN_TIME && server.in_flight() + ingress.in_flight() > 0 {
        Timer::after(CHECK_INTERVAL).await;
    }
    ingress.close_idle();
    Timer::after(FLUSH_TIME).await;
    let after_ms = start.elapsed().as_millis() as u64;
    let unfinished = server.in_flight() + ingress.in_flight();
    log::info!(after_ms, unfinished; "left");
    Ok(())
}
