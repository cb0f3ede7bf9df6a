//! Taking the ownership of a move that has no owner.

use super::{LEASE_TTL, Ownership, later, publish};
use crate::{
    rollout::Move,
    state::{State, unix_millis},
};
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{Comparison, Publication};
use fulmarreel_store::{Error, Outcome, Revision, Store, Transaction, keys::Key};

/// Becomes the owner if there is none.
pub async fn acquire<S: Store>(state: &State, store: &S, entry: &Move) -> Option<Ownership> {
    match try_acquire(state, store, entry).await {
        Ok(ownership) => ownership,
        Err(error) => {
            log::info!(service = entry.service(); "move: no ownership: {error}");
            None
        }
    }
}

async fn try_acquire<S: Store>(
    state: &State,
    store: &S,
    entry: &Move,
) -> Result<Option<Ownership>, Error> {
    let Some(key) = owner_key(entry) else {
        return Ok(None);
    };
    if store.get(&key).await?.is_some() {
        return Ok(None);
    }
    let asked_at = Timestamp(unix_millis());
    let lease = store.grant(LEASE_TTL).await?;
    let own = state.settings.advertise;
    // The lease is in the value, so that no two writes of this key are alike.
    let value = format!("{own} {lease}");
    let claim = Transaction::new()
        .when_absent(&key)
        .put_leased(&key, value.as_bytes(), lease);
    let created = match store.commit_checked(&claim).await {
        Ok(Outcome::Written(created)) => created,
        Ok(Outcome::Conflict(_)) => {
            store.revoke(lease).await?;
            return Ok(None);
        }
        Err(error) => return Err(error),
    };
    let seen = read_published(store, entry).await?;
    let mut ownership = Ownership {
        revision: entry.revision,
        lease,
        created,
        seen,
        renewed_at: asked_at,
        lease_until: later(asked_at, LEASE_TTL),
        comparison: Comparison::new(entry.plan.fault, Timestamp(unix_millis())),
        reporters: 0,
        unpublished: true,
    };
    log::info!(service = entry.service(); "move: this node is its owner");
    entry.set_owner(own);
    let kept = publish::publish(state, store, entry, &mut ownership, &entry.state()).await;
    Ok(kept.then_some(ownership))
}

/// Joins what the store holds of the move; returns the revision of its key.
pub(super) async fn read_published<S: Store>(store: &S, entry: &Move) -> Result<Revision, Error> {
    let Some(key) = move_key(entry) else {
        return Ok(Revision::ABSENT);
    };
    let Some(stored) = store.get(&key).await? else {
        return Ok(Revision::ABSENT);
    };
    match Publication::decode(&stored.value) {
        Ok(publication) => entry.take(&publication),
        Err(error) => log::error!("{key} at {}: {error}", stored.revision),
    }
    Ok(stored.revision)
}

pub(super) fn owner_key(entry: &Move) -> Option<String> {
    let service = entry.service();
    Key::Owner { service }.checked().ok()
}

pub(super) fn move_key(entry: &Move) -> Option<String> {
    let service = entry.service();
    Key::Move { service }.checked().ok()
}
