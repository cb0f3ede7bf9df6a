//! The work of a watcher: reads the store, follows its changes and sends them to its region or
//! zone.

use super::push;
use crate::state::{State, Updates};
use fastrand::Rng;
use fulmarreel_distribution::{Entry, backoff::Backoff, duty::Scope};
use fulmarreel_store::{
    Batch, Error, Event, Listing, Store,
    etcd::{Client, Watch},
    keys,
    watch::Watch as _,
};
use futures_lite::FutureExt;
use smol::Timer;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// A watch that delivers nothing for this long is given up; the store sends progress notifications
/// more often.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Upper bound of the backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Upper bound of the backoff after many failures.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How long a watcher waits, for each slot before its own, for the push of that slot's watcher.
const PUSH_DELAY_PER_SLOT: Duration = Duration::from_millis(100);

/// Follows the store, starting again after failures; runs until it is dropped.
pub(super) async fn run(state: &Arc<State>, client: &Client, scope: Scope, slot: u32) {
    let mut rng = Rng::new();
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    loop {
        let started = Instant::now();
        if let Err(error) = follow(state, client, scope, slot).await {
            log::warn!("store: {error}");
        }
        if started.elapsed() > MAX_BACKOFF {
            backoff.reset();
        }
        Timer::after(backoff.next(&mut rng)).await;
    }
}

/// Reads all documents and rollout states, then follows their changes until a failure.
async fn follow(state: &Arc<State>, client: &Client, scope: Scope, slot: u32) -> Result<(), Error> {
    let mut documents = list_and_watch(state, client, scope, keys::DOCUMENTS).await?;
    let mut rollouts = list_and_watch(state, client, scope, keys::MOVES).await?;
    state.record_store_read();
    loop {
        let batch = documents.next().or(rollouts.next()).await?;
        if scope == Scope::Region {
            state.record_store_contact();
        }
        if batch.events.is_empty() {
            continue;
        }
        // If another watcher's push arrives meanwhile, this watcher has nothing new to send.
        Timer::after(PUSH_DELAY_PER_SLOT * slot).await;
        broadcast_in_scope(state, scope, &state.apply_updates(&entries(batch), &[]));
    }
}

/// Reads all entries of a prefix, sends what is new and watches the prefix from there on.
async fn list_and_watch(
    state: &Arc<State>,
    client: &Client,
    scope: Scope,
    prefix: &str,
) -> Result<Watch, Error> {
    let listing: Listing = client.list(prefix).await?;
    let entries: Vec<Entry> = listing.entries.into_iter().map(entry).collect();
    let updates = state.apply_listing(prefix, listing.revision.0, &entries);
    broadcast_in_scope(state, scope, &updates);
    let from = listing.revision.next();
    client.watch(prefix, from, WATCH_IDLE_TIMEOUT).await
}

/// Sends updates to the nodes of this watcher's region or zone.
fn broadcast_in_scope(state: &Arc<State>, scope: Scope, updates: &Updates) {
    let settings = &state.settings;
    match scope {
        Scope::Region => push::broadcast(state, updates, |record| record.region == settings.region),
        Scope::Zone => push::broadcast(state, updates, |record| record.zone == settings.zone),
    }
}

fn entries(batch: Batch) -> Vec<Entry> {
    let events = batch.events.into_iter();
    events
        .map(|event| match event {
            Event::Put(put) => entry(put),
            Event::Delete { key, revision } => Entry {
                key,
                revision: revision.0,
                value: None,
            },
        })
        .collect()
}

fn entry(entry: fulmarreel_store::Entry) -> Entry {
    Entry {
        key: entry.key,
        revision: entry.mod_revision.0,
        value: Some(entry.value.into()),
    }
}
