//! Seeds in the store: the relays of each zone register their addresses there, and a node that gets
//! no response from the seeds in its settings reads them.

use crate::state::State;
use fastrand::Rng;
use fulmarreel_distribution::backoff::Backoff;
use fulmarreel_store::{
    Error, LeaseId, Store, Transaction,
    etcd::Client,
    keys::{self, Key},
};
use smol::Timer;
use std::time::Duration;

/// Time to live of a registered address after its node has gone.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// Upper bound of the time between two updates of this node's registration.
const UPDATE_INTERVAL: Duration = Duration::from_secs(20);

/// Upper bound of the time for which a node tries only the seeds in its settings.
const SETTINGS_SEEDS_TIME: Duration = Duration::from_secs(2);

/// Upper bound of the backoff after the first read of the seeds that led to no other node.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);

/// Upper bound of the backoff after many such reads.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Reads seeds while this node knows no other, then keeps its own address registered while it is a
/// relay.
pub(super) async fn run(state: &State, client: &Client) {
    let mut rng = Rng::new();
    Timer::after(SETTINGS_SEEDS_TIME.mul_f64(0.5 + 0.5 * rng.f64())).await;
    find_peers(state, client, &mut rng).await;
    let mut held = None;
    loop {
        held = match update_registration(state, client, held).await {
            Ok(held) => held,
            Err(error) => {
                log::info!("seed: {error}");
                None
            }
        };
        Timer::after(UPDATE_INTERVAL.mul_f64(0.5 + 0.5 * rng.f64())).await;
    }
}

/// Reads seeds until another node is known or the store lists none.
async fn find_peers(state: &State, client: &Client, rng: &mut Rng) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    while state.is_alone() {
        match client.list(keys::SEEDS).await {
            Ok(listing) if listing.entries.is_empty() => return,
            Ok(listing) => {
                let entries = listing.entries.iter();
                let seeds = entries.filter_map(|entry| match Key::try_from(entry.key.as_str()) {
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

/// Registers, renews or revokes this node's address; `held` is the lease of its registration.
async fn update_registration(
    state: &State,
    client: &Client,
    held: Option<LeaseId>,
) -> Result<Option<LeaseId>, Error> {
    match (held, state.is_relay()) {
        (None, false) => Ok(None),
        (None, true) => register(state, client).await.map(Some),
        (Some(lease), true) => client.keep_alive(lease).await.map(|_| Some(lease)),
        (Some(lease), false) => client.revoke(lease).await.map(|()| None),
    }
}

async fn register(state: &State, client: &Client) -> Result<LeaseId, Error> {
    let lease = client.grant(LEASE_TTL).await?;
    let settings = &state.settings;
    let key = Key::Seed {
        zone: &settings.zone,
        addr: settings.advertise,
    };
    let started_at_ms = state.started_at_ms.to_string();
    let transaction =
        Transaction::new().put_leased(&key.to_string(), started_at_ms.as_bytes(), lease);
    client.commit(&transaction).await?;
    Ok(lease)
}
