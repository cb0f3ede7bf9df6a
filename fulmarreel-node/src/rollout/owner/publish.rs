//! Writes a step to the store.

use super::{
    Ownership,
    acquire::{owner_key, read_published, rollout_key},
};
use crate::{rollout::Rollout, state::State};
use fulmarreel_rollout::{Publication, State as Step};
use fulmarreel_store::{Error, Outcome, Store, Transaction, keys::Key};

/// Writes a step to the store and, once it is written, applies it on this node; returns whether
/// this node still owns the rollout.
pub async fn publish<S: Store>(
    state: &State,
    store: &S,
    rollout: &Rollout,
    ownership: &mut Ownership,
    step: &Step,
) -> bool {
    let publication = Publication {
        owner: state.settings.advertise,
        state: step.clone(),
    };
    let Some(transaction) = transaction(rollout, ownership, &publication) else {
        return false;
    };
    match store.commit_with_read_back(&transaction).await {
        Ok(Outcome::Written(revision)) => {
            ownership.rollout_revision = revision;
            ownership.publish_pending = false;
            rollout.apply(&publication);
            true
        }
        Ok(Outcome::Conflict(_)) | Err(Error::OutcomeUnknown { .. }) => {
            check_ownership(store, rollout, ownership).await
        }
        Err(error) => {
            log::warn!(service = rollout.service(); "move: the step could not be written: {error}");
            true
        }
    }
}

fn transaction(
    rollout: &Rollout,
    ownership: &Ownership,
    publication: &Publication,
) -> Option<Transaction> {
    let value = publication.encode().ok()?;
    let (owner, key) = (owner_key(rollout)?, rollout_key(rollout)?);
    let transaction = Transaction::new()
        .when_mod_revision(&key, ownership.rollout_revision)
        .when_create_revision(&owner, ownership.owner_key_revision)
        .put(&key, &value);
    if !publication.state.is_final() {
        return Some(transaction);
    }
    let history = Key::History {
        service: rollout.service(),
        number: rollout.revision,
    };
    Some(transaction.put(&history.try_format().ok()?, &value))
}

/// Checks the ownership after a write that conflicted or whose outcome is unknown. Returns false if
/// this node is no longer the owner; otherwise reads the rollout's key again, which may have been
/// written meanwhile.
async fn check_ownership<S: Store>(
    store: &S,
    rollout: &Rollout,
    ownership: &mut Ownership,
) -> bool {
    let Some(key) = owner_key(rollout) else {
        return false;
    };
    match store.get(&key).await {
        Ok(Some(owner)) if owner.create_revision == ownership.owner_key_revision => {
            if let Ok(revision) = read_published(store, rollout).await {
                ownership.rollout_revision = revision;
            }
            true
        }
        Ok(_) => {
            log::info!(service = rollout.service(); "move: this node has lost the ownership");
            false
        }
        Err(error) => {
            log::warn!(service = rollout.service(); "move: the owner's key could not be read: {error}");
            true
        }
    }
}
