//! Addresses of first contact in the store: the relays of each zone keep theirs there, and a node
//! that no seed of its settings answers reads them.

use crate::state::State;
use fastrand::Rng;
use fulmarreel_distribution::backoff::Backoff;
use fulmarreel_store::{
    Error, Lease, Store, Transaction,
    etcd::Client,
    keys::{self, Key},
};
use smol::Timer;
use std::time::Duration;

/// How long an address stays after its node has gone.
const LEASE: Duration = Duration::from_secs(60);

/// Time between two looks at whether this node is to keep its address in the store.
const INTERVAL: Duration = Duration::from_secs(20);

/// How long a node tries the seeds of its settings alone.
const PATIENCE: Duration = Duration::from_secs(2);

/// The pause after the first vain read, at most.
const LEAST_PAUSE: Duration = Duration::from_secs(2);

/// The pause after many vain reads, at most.
const MOST_PAUSE: Duration = Duration::from_secs(30);

/// Reads seeds while this node is alone, and keeps its own while it is a relay.
pub(super) async fn run(state: &State, client: &Client) {
    let mut rng = Rng::new();
    Timer::after(PATIENCE.mul_f64(0.5 + 0.5 * rng.f64())).await;
    find(state, client, &mut rng).await;
    let mut held = None;
    loop {
        held = match turn(state, client, held).await {
            Ok(held) => held,
            Err(error) => {
                log::info!("seed: {error}");
                None
            }
        };
        Timer::after(INTERVAL.mul_f64(0.5 + 0.5 * rng.f64())).await;
    }
}

/// Reads seeds until another node is known, or none is registered but this one.
async fn find(state: &State, client: &Client, rng: &mut Rng) {
    let mut backoff = Backoff::new(LEAST_PAUSE, MOST_PAUSE);
    while state.is_alone() {
        match client.list(keys::SEEDS).await {
            Ok(listing) if listing.entries.is_empty() => return,
            Ok(listing) => {
                let keys = listing.entries.iter();
                let seeds = keys.filter_map(|entry| match Key::try_from(entry.key.as_str()) {
                    Ok(Key::Seed { addr, .. }) => Some(addr),
                    _ => None,
                });
                state.add_seeds(seeds.collect());
            }
            Err(error) => log::info!("seed: {error}"),
        }
        Timer::after(backoff.next(rng)).await;
    }
}

async fn turn(state: &State, client: &Client, held: Option<Lease>) -> Result<Option<Lease>, Error> {
    match (held, state.is_relay()) {
        (None, false) => Ok(None),
        (None, true) => register(state, client).await.map(Some),
        (Some(lease), true) => client.keep_alive(lease).await.map(|_| Some(lease)),
        (Some(lease), false) => client.revoke(lease).await.map(|()| None),
    }
}

async fn register(state: &State, client: &Client) -> Result<Lease, Error> {
    let lease = client.grant(LEASE).await?;
    let settings = &state.settings;
    let key = Key::Seed {
        zone: &settings.zone,
        addr: settings.advertise,
    };
    let boot = state.boot.to_string();
    let transaction = Transaction::new().put_leased(&key.to_string(), boot.as_bytes(), lease);
    client.commit(&transaction).await?;
    Ok(lease)
}
