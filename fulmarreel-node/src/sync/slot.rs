//! A watcher's slot in the store: one of a few keys of its region or zone, held by a lease.
//!
//! The lease only bounds how many nodes watch. A watcher whose lease has lapsed while it was paused
//! does no harm: what it passes on is at most outdated, and the highest revision wins.

use crate::state::State;
use fulmarreel_distribution::duty::{SLOTS, Scope, WATCHERS};
use fulmarreel_store::{
    Entry, Error, Lease, Outcome, Store, Transaction,
    etcd::Client,
    keys::{self, Key},
};
use smol::Timer;
use std::time::{Duration, Instant};

/// How long a slot is held without renewal.
const LEASE: Duration = Duration::from_secs(10);

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(3);

/// A slot that this node holds.
#[derive(Debug)]
pub(super) struct Slot {
    /// Its number among the slots of the region or zone.
    pub(super) number: u32,
    lease: Lease,
}

/// Tries for a free slot; none where all are taken.
pub(super) async fn take(
    state: &State,
    client: &Client,
    scope: Scope,
) -> Result<Option<Slot>, Error> {
    let name = match scope {
        Scope::Region => &state.settings.region,
        Scope::Zone => &state.settings.zone,
    };
    let Ok(prefix) = keys::watchers(name) else {
        log::error!("watcher: {name} is no name for a key");
        return Ok(None);
    };
    let listing = client.list(&prefix).await?;
    let holders = listing.entries.iter().filter(|entry| held(state, entry));
    if holders.count() >= WATCHERS {
        // Their records are still under way.
        return Ok(None);
    }
    let mut free = (0..SLOTS).filter_map(|number| {
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
    let lease = client.grant(LEASE).await?;
    let value = format!("{} {}", state.settings.advertise, state.boot);
    let transaction =
        Transaction::new()
            .when_absent(&key)
            .put_leased(&key, value.as_bytes(), lease);
    match client.commit_checked(&transaction).await {
        Ok(Outcome::Written(_)) => Ok(Some(Slot { number, lease })),
        Ok(Outcome::Conflict(_)) => {
            client.revoke(lease).await?;
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Whether a slot's holder may still live.
fn held(state: &State, entry: &Entry) -> bool {
    let holder = std::str::from_utf8(&entry.value).ok().and_then(|text| {
        let (address, boot) = text.split_once(' ')?;
        Some((address.parse().ok()?, boot.parse().ok()?))
    });
    holder.is_some_and(|(address, boot)| state.may_be_watcher(address, boot))
}

/// Keeps a slot until it is lost.
pub(super) async fn keep(client: &Client, slot: &Slot) {
    let mut lapses = Instant::now() + LEASE;
    loop {
        Timer::after(RENEWAL).await;
        let asked = Instant::now();
        match client.keep_alive(slot.lease).await {
            Ok(left) => lapses = asked + left,
            Err(Error::Expired { .. }) => return,
            Err(error) => log::info!("watcher: {error}"),
        }
        if Instant::now() >= lapses {
            return;
        }
    }
}

/// Gives a slot up.
pub(super) async fn release(client: &Client, slot: &Slot) {
    if let Err(error) = client.revoke(slot.lease).await {
        log::info!("watcher: {error}");
    }
}
