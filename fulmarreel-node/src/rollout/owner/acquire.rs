//! Acquires the ownership of a rollout that has no owner.

use super::{LEASE_TTL, Ownership, later, publish};
use crate::{
    rollout::Rollout,
    state::{State, unix_millis},
};
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{Comparison, Publication};
use fulmarreel_store::{Error, Outcome, Revision, Store, Transaction, keys::Key};

/// Tries to become the owner; `None` where another node is, or the store failed.
pub async fn acquire<S: Store>(state: &State, store: &S, rollout: &Rollout) -> Option<Ownership> {
    match try_acquire(state, store, rollout).await {
        Ok(ownership) => ownership,
        Err(error) => {
            log::info!(service = rollout.service(); "move: the ownership could not be acquired: {error}");
            None
        }
    }
}

async fn try_acquire<S: Store>(
    state: &State,
    store: &S,
    rollout: &Rollout,
) -> Result<Option<Ownership>, Error> {
    let Some(key) = owner_key(rollout) else {
        return Ok(None);
    };
    if store.get(&key).await?.is_some() {
        return Ok(None);
    }
    let requested_at = Timestamp(unix_millis());
    let lease = store.grant(LEASE_TTL).await?;
    let own = state.settings.advertise;
    // The lease ID makes the value of each write of this key unique.
    let value = format!("{own} {lease}");
    let claim = Transaction::new()
        .when_absent(&key)
        .put_leased(&key, value.as_bytes(), lease);
    let owner_key_revision = match store.commit_with_read_back(&claim).await {
        Ok(Outcome::Written(revision)) => revision,
        Ok(Outcome::Conflict(_)) => {
            store.revoke(lease).await?;
            return Ok(None);
        }
        Err(error) => return Err(error),
    };
    let rollout_revision = read_published(store, rollout).await?;
    let mut ownership = Ownership {
        revision: rollout.revision,
        lease,
        owner_key_revision,
        rollout_revision,
        renewed_at: requested_at,
        lease_until: later(requested_at, LEASE_TTL),
        comparison: Comparison::new(rollout.plan.fault, Timestamp(unix_millis())),
        reporters: 0,
        publish_pending: true,
    };
    log::info!(service = rollout.service(); "move: this node is now the owner");
    rollout.set_owner(own);
    let still_owner =
        publish::publish(state, store, rollout, &mut ownership, &rollout.state()).await;
    Ok(still_owner.then_some(ownership))
}

/// Reads the rollout's state from the store and applies it; returns the revision of its key, or
/// [`Revision::ABSENT`].
pub(super) async fn read_published<S: Store>(
    store: &S,
    rollout: &Rollout,
) -> Result<Revision, Error> {
    let Some(key) = rollout_key(rollout) else {
        return Ok(Revision::ABSENT);
    };
    let Some(stored) = store.get(&key).await? else {
        return Ok(Revision::ABSENT);
    };
    match Publication::decode(&stored.value) {
        Ok(publication) => rollout.apply(&publication),
        Err(error) => log::error!("{key} at {}: {error}", stored.mod_revision),
    }
    Ok(stored.mod_revision)
}

pub(super) fn owner_key(rollout: &Rollout) -> Option<String> {
    let service = rollout.service();
    Key::Owner { service }.try_format().ok()
}

pub(super) fn rollout_key(rollout: &Rollout) -> Option<String> {
    let service = rollout.service();
    Key::Move { service }.try_format().ok()
}
