//! A watcher's work: reads the store, follows its changes and tells the region or the zone.

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

/// A watch without a byte for that long is given up; the store reports progress more often.
const WATCH_IDLE: Duration = Duration::from_secs(5);

/// The pause after the first failure, at most.
const LEAST_PAUSE: Duration = Duration::from_millis(200);

/// The pause after many failures, at most.
const MOST_PAUSE: Duration = Duration::from_secs(4);

/// How long each further watcher of a region waits for the push of those before it.
const HEAD_START: Duration = Duration::from_millis(100);

/// Follows the store for as long as it is polled.
pub(super) async fn run(state: &Arc<State>, client: &Client, scope: Scope, slot: u32) {
    let mut rng = Rng::new();
    let mut backoff = Backoff::new(LEAST_PAUSE, MOST_PAUSE);
    loop {
        let started = Instant::now();
        if let Err(error) = follow(state, client, scope, slot).await {
            log::warn!("store: {error}");
        }
        if started.elapsed() > MOST_PAUSE {
            backoff.reset();
        }
        Timer::after(backoff.next(&mut rng)).await;
    }
}

async fn follow(state: &Arc<State>, client: &Client, scope: Scope, slot: u32) -> Result<(), Error> {
    let mut documents = open(state, client, scope, keys::DOCUMENTS).await?;
    let mut moves = open(state, client, scope, keys::MOVES).await?;
    state.record_store_read();
    loop {
        let batch = documents.next().or(moves.next()).await?;
        if scope == Scope::Region {
            state.record_store_contact();
        }
        if batch.events.is_empty() {
            continue;
        }
        // A push that comes first makes this watcher's own unnecessary.
        Timer::after(HEAD_START * slot).await;
        tell(state, scope, &state.apply_updates(&entries(batch), &[]));
    }
}

async fn open(
    state: &Arc<State>,
    client: &Client,
    scope: Scope,
    prefix: &str,
) -> Result<Watch, Error> {
    let listing: Listing = client.list(prefix).await?;
    let entries: Vec<Entry> = listing.entries.into_iter().map(entry).collect();
    let news = state.apply_listing(prefix, listing.revision.0, &entries);
    tell(state, scope, &news);
    let from = listing.revision.next();
    client.watch(prefix, from, WATCH_IDLE).await
}

fn tell(state: &Arc<State>, scope: Scope, news: &Updates) {
    let settings = &state.settings;
    match scope {
        Scope::Region => push::spread(state, news, |record| record.region == settings.region),
        Scope::Zone => push::spread(state, news, |record| record.zone == settings.zone),
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
        revision: entry.revision.0,
        value: Some(entry.value.into()),
    }
}
