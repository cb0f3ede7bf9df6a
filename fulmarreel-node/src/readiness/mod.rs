//! When a node that has just started accepts callers.
//!
//! Until then nothing listens on its address for callers: a refused connection proves to a caller
//! or its load balancer that nothing ran here.

use crate::state::{Reason, State};
use smol::Timer;
use std::time::{Duration, Instant};

/// How long after its start the node waits for targets of every document. A document may lack
/// targets for good, so later on such a document does not make the node unready.
const STARTUP_WAIT_FOR_TARGETS: Duration = Duration::from_secs(5);

/// How often readiness is checked while the node waits to accept callers.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Checks whether callers may be sent to this node: documents were received and, until
/// `STARTUP_WAIT_FOR_TARGETS` after the start, none of them waits for targets that are not known
/// yet.
///
/// # Errors
///
/// What the node still waits for.
pub fn check(state: &State, now: Instant) -> Result<(), Reason> {
    state.ready()?;
    let settling = now < state.started + STARTUP_WAIT_FOR_TARGETS;
    match state.held().into_values().next() {
        Some(reason) if settling => Err(reason),
        _ => Ok(()),
    }
}

/// Waits until callers may be sent to this node.
pub async fn wait_until_ready(state: &State) {
    while check(state, Instant::now()).is_err() {
        Timer::after(CHECK_INTERVAL).await;
    }
}
