//! Documents from the platform's store.

use crate::state::State;
use fulmarreel_distribution::catalog;
use fulmarreel_platform::{
    Entry, Error, Event, Store,
    etcd::{Client, Options},
    keys,
    watch::Watch,
};
use smol::Timer;
use std::{sync::Arc, time::Duration};

/// How long one call to the store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A watch without a byte for that long is given up.
const WATCH_IDLE: Duration = Duration::from_secs(15);

/// The longest pause before the store is tried again.
const MAX_PAUSE_MS: u64 = 2_000;

/// Follows the store until the process ends.
pub async fn run(state: Arc<State>) {
    let options = Options {
        peers: state
            .settings
            .store
            .iter()
            .map(ToString::to_string)
            .collect(),
        timeout: STORE_TIMEOUT,
    };
    let client = Client::new(options);
    loop {
        if let Err(error) = follow(&state, &client).await {
            log::warn!("store: {error}");
        }
        Timer::after(Duration::from_millis(fastrand::u64(..MAX_PAUSE_MS))).await;
    }
}

async fn follow(state: &State, client: &Client) -> Result<(), Error> {
    let listing = client.list(keys::DOCUMENTS).await?;
    for entry in &listing.entries {
        offer_entry(state, entry);
    }
    let from = listing.revision.next();
    let mut watch = client.watch(keys::DOCUMENTS, from, WATCH_IDLE).await?;
    loop {
        for event in watch.next().await?.events {
            match &event {
                Event::Put(entry) => offer_entry(state, entry),
                Event::Delete { key, revision } => offer(state, key, revision.0, None),
            }
        }
    }
}

fn offer_entry(state: &State, entry: &Entry) {
    match std::str::from_utf8(&entry.value) {
        Ok(text) => offer(state, &entry.key, entry.revision.0, Some(text)),
        Err(error) => log::error!("document {} at {}: {error}", entry.key, entry.revision),
    }
}

fn offer(state: &State, key: &str, revision: u64, value: Option<&str>) {
    let Some(service) = key.strip_prefix(keys::DOCUMENTS) else {
        return;
    };
    match state.offer(service, revision, value) {
        catalog::Outcome::Taken => log::info!("document {service} revision {revision} in force"),
        catalog::Outcome::Older => {}
        catalog::Outcome::Malformed(error) => {
            log::error!("document {service} revision {revision} refused: {error}");
        }
    }
}
