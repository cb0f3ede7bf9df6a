//! Takes a slot as a watcher when this node's turn comes, and gives it up again.

use super::{slot, watch};
use crate::state::State;
use fastrand::Rng;
use fulmarreel_distribution::{
    backoff::Backoff,
    duty::{self, Scope, WATCHERS},
};
use fulmarreel_store::etcd::Client;
use futures_lite::FutureExt;
use smol::Timer;
use std::{sync::Arc, time::Duration};

/// Time between two looks at whether a watcher is wanted.
const INTERVAL: Duration = Duration::from_millis(500);

/// The longest time after its start that a node first listens to its peers.
const START_JITTER: Duration = Duration::from_millis(1_500);

/// The pause after the first failed attempt, at most.
const LEAST_PAUSE: Duration = Duration::from_secs(1);

/// The pause after many failed attempts, at most.
const MOST_PAUSE: Duration = Duration::from_secs(16);

/// Takes a slot when this node's turn comes, until the process ends.
pub(super) async fn run(state: &Arc<State>, client: &Client) {
    let mut rng = Rng::new();
    let mut backoff = Backoff::new(LEAST_PAUSE, MOST_PAUSE);
    Timer::after(START_JITTER.mul_f64(0.3 + 0.7 * rng.f64())).await;
    loop {
        Timer::after(INTERVAL.mul_f64(0.5 + 0.5 * rng.f64())).await;
        let Some(scope) = duty::wanted(&state.duty_situation()) else {
            backoff.reset();
            continue;
        };
        match slot::take(state, client, scope).await {
            Ok(Some(slot)) => {
                backoff.reset();
                log::info!("watcher: {scope:?} slot {} taken", slot.number);
                serve(state, client, scope, &slot).await;
                log::info!("watcher: {scope:?} slot {} given up", slot.number);
                continue;
            }
            Ok(None) => {}
            Err(error) => log::warn!("watcher: {error}"),
        }
        Timer::after(backoff.next(&mut rng)).await;
    }
}

async fn serve(state: &Arc<State>, client: &Client, scope: Scope, slot: &slot::Slot) {
    state.set_watcher(scope == Scope::Region);
    let lost = slot::keep(client, slot);
    let surplus = surplus(state, scope);
    let watching = watch::run(state, client, scope, slot.number);
    watching.or(lost).or(surplus).await;
    state.set_watcher(false);
    slot::release(client, slot).await;
}

/// Waits until this watcher is not needed any more.
async fn surplus(state: &State, scope: Scope) {
    loop {
        Timer::after(INTERVAL).await;
        let surplus = match scope {
            Scope::Region => state.watchers_before() >= WATCHERS,
            Scope::Zone => duty::relieved(&state.duty_situation()),
        };
        if surplus {
            return;
        }
    }
}
