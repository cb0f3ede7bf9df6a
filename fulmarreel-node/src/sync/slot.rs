//! A watcher's slot in the store: one of a few keys of its region or zone, attached to a lease.
//!
//! The lease only limits the number of watchers. A watcher that was paused past the end of its
//! lease is harmless: what it sends is at worst outdated, and the highest revision wins.

use crate::state::State;
use fulmarreel_distribution::duty::{Scope, WATCHER_SLOTS, WATCHERS_PER_REGION};
use fulmarreel_store::{
    Entry, Error, LeaseId, Outcome, Store, Transaction,
    etcd::Client,
    keys::{self, Key},
};
use smol::Timer;
use std::time::{Duration, Instant};

/// Time to live of a slot's lease.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Time between two renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// A slot that this node holds.
#[derive(Debug)]
pub(super) struct Slot {
    /// Its number among the slots of the region or zone.
    pub(super) number: u32,
    lease: LeaseId,
}

/// Tries to acquire a free slot; `None` if there are enough watchers or another node was faster.
pub(super) async fn acquire(
    state: &State,
    client: &Client,
    scope: Scope,
) -> Result<Option<Slot>, Error> {
    let name = match scope {
        Scope::Region => &state.settings.region,
        Scope::Zone => &state.settings.zone,
    };
    let Ok(prefix) = keys::watchers(name) else {
        log::error!("watcher: '{name}' cannot be part of a store key");
        return Ok(None);
    };
    let listing = client.list(&prefix).await?;
    let holders = listing
        .entries
        .iter()
        .filter(|entry| has_live_holder(state, entry));
    if holders.count() >= WATCHERS_PER_REGION {
        // There are enough watchers; their membership records have not reached this node yet.
        return Ok(None);
    }
    let mut free = (0..WATCHER_SLOTS).filter_map(|number| {
        let key = Key::Watcher {
            zone: name,
            slot: number,
        }
        .to_string();
        let taken = listing.entries.iter().any(|entry| entry.key == key);
        (!taken).then_some((number, key))
    });
    let Some((number, key)) = free.next() else {
        return Ok(None);
    };
    let lease = client.grant(LEASE_TTL).await?;
    let value = format!("{} {}", state.settings.advertise, state.started_at_ms);
    let transaction =
        Transaction::new()
            .when_absent(&key)
            .put_leased(&key, value.as_bytes(), lease);
    match client.commit_with_read_back(&transaction).await {
        Ok(Outcome::Written(_)) => Ok(Some(Slot { number, lease })),
        Ok(Outcome::Conflict(_)) => {
            client.revoke(lease).await?;
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Whether the holder of a slot may still be alive.
fn has_live_holder(state: &State, entry: &Entry) -> bool {
    let holder = std::str::from_utf8(&entry.value).ok().and_then(|text| {
        let (address, started_at_ms) = text.split_once(' ')?;
        Some((address.parse().ok()?, started_at_ms.parse().ok()?))
    });
    holder.is_some_and(|(address, started_at_ms)| state.may_be_watcher(address, started_at_ms))
}

/// Renews a slot's lease; returns when the lease has expired.
pub(super) async fn renew_until_lost(client: &Client, slot: &Slot) {
    let mut expires_at = Instant::now() + LEASE_TTL;
    loop {
        Timer::after(RENEWAL_INTERVAL).await;
        let requested_at = Instant::now();
        match client.keep_alive(slot.lease).await {
            Ok(ttl) => expires_at = requested_at + ttl,
            Err(Error::LeaseExpired { .. }) => return,
            Err(error) => log::info!("watcher: the slot's lease could not be renewed: {error}"),
        }
        if Instant::now() >= expires_at {
            return;
        }
    }
}

/// Releases a slot by revoking its lease.
pub(super) async fn release(client: &Client, slot: &Slot) {
    if let Err(error) = client.revoke(slot.lease).await {
        log::info!("watcher: the slot could not be released: {error}");
    }
}
