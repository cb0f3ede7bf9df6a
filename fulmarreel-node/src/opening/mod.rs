//! When a node that has just started opens to callers.
//!
//! Until then its callers' address takes no connection, which proves to callers and to whatever
//! balances them that nothing ran there.

use crate::state::{Reason, State};
use smol::Timer;
use std::time::{Duration, Instant};

/// How long a start waits for targets of every document; later ones may have none for good.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// How often the conditions are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether callers may be sent here: documents were heard, and, soon after the start, none of them
/// waits for targets that are merely not known yet.
///
/// # Errors
///
/// What is still waited for.
pub fn check(state: &State, now: Instant) -> Result<(), Reason> {
    state.ready()?;
    let settling = now < state.started + SETTLE_TIME;
    match state.held().into_values().next() {
        Some(reason) if settling => Err(reason),
        _ => Ok(()),
    }
}

/// Waits until callers may be sent here.
pub async fn wait(state: &State) {
    while check(state, Instant::now()).is_err() {
        Timer::after(CHECK_INTERVAL).await;
    }
}
