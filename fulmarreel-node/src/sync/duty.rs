//! Makes this node a watcher of the store when its region or zone lacks one, and ends that when
//! there are enough others.

use super::{slot, watch};
use crate::state::State;
use fastrand::Rng;
use fulmarreel_distribution::{
    backoff::Backoff,
    duty::{self, Scope, WATCHERS_PER_REGION},
};
use fulmarreel_store::etcd::Client;
use futures_lite::FutureExt;
use smol::Timer;
use std::{sync::Arc, time::Duration};

/// Upper bound of the time between two checks whether this node should be a watcher.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Upper bound of the random delay before a started node's first check; until then it learns of
/// existing watchers from its peers.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);

/// Upper bound of the backoff after the first failed attempt.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Upper bound of the backoff after many failed attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Acquires a watcher's slot whenever this node should be a watcher, and watches the store while it
/// holds the slot, until the process ends.
pub(super) async fn run(state: &Arc<State>, client: &Client) {
    let mut rng = Rng::new();
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    Timer::after(MAX_START_DELAY.mul_f64(0.3 + 0.7 * rng.f64())).await;
    loop {
        Timer::after(CHECK_INTERVAL.mul_f64(0.5 + 0.5 * rng.f64())).await;
        let Some(scope) = duty::wanted_scope(&state.duty_situation()) else {
            backoff.reset();
            continue;
        };
        match slot::acquire(state, client, scope).await {
            Ok(Some(slot)) => {
                backoff.reset();
                log::info!("watcher: {scope:?} slot {} acquired", slot.number);
                watch_with_slot(state, client, scope, &slot).await;
                log::info!("watcher: {scope:?} slot {} released", slot.number);
                continue;
            }
            Ok(None) => {}
            Err(error) => log::warn!("watcher: a slot could not be acquired: {error}"),
        }
        Timer::after(backoff.next(&mut rng)).await;
    }
}

/// Watches the store until the slot is lost or this watcher is surplus, then releases the slot.
async fn watch_with_slot(state: &Arc<State>, client: &Client, scope: Scope, slot: &slot::Slot) {
    state.set_watcher(scope == Scope::Region);
    let lost = slot::renew_until_lost(client, slot);
    let surplus = until_surplus(state, scope);
    let watching = watch::run(state, client, scope, slot.number);
    watching.or(lost).or(surplus).await;
    state.set_watcher(false);
    slot::release(client, slot).await;
}

/// Waits until this watcher is no longer needed.
async fn until_surplus(state: &State, scope: Scope) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let surplus = match scope {
            Scope::Region => state.watchers_before() >= WATCHERS_PER_REGION,
            Scope::Zone => duty::may_stop_zone_watch(&state.duty_situation()),
        };
        if surplus {
            return;
        }
    }
}
