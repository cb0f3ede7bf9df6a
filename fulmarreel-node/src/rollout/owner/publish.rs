//! Writing a step to the store.

use super::{
    Ownership,
    acquire::{move_key, owner_key, read_published},
};
use crate::{rollout::Move, state::State};
use fulmarreel_rollout::{Publication, State as Step};
use fulmarreel_store::{Error, Outcome, Store, Transaction, keys::Key};

/// Writes a step, and makes it active here once it is written; returns whether this node still
/// owns the move.
pub async fn publish<S: Store>(
    state: &State,
    store: &S,
    entry: &Move,
    ownership: &mut Ownership,
    step: &Step,
) -> bool {
    let publication = Publication {
        owner: state.settings.advertise,
        state: step.clone(),
    };
    let Some(transaction) = transaction(entry, ownership, &publication) else {
        return false;
    };
    match store.commit_checked(&transaction).await {
        Ok(Outcome::Written(revision)) => {
            ownership.seen = revision;
            ownership.unpublished = false;
            entry.take(&publication);
            true
        }
        Ok(Outcome::Conflict(_)) | Err(Error::Unknown { .. }) => {
            reread(store, entry, ownership).await
        }
        Err(error) => {
            log::warn!(service = entry.service(); "move: step not written: {error}");
            true
        }
    }
}

fn transaction(
    entry: &Move,
    ownership: &Ownership,
    publication: &Publication,
) -> Option<Transaction> {
    let value = publication.encode().ok()?;
    let (owner, key) = (owner_key(entry)?, move_key(entry)?);
    let transaction = Transaction::new()
        .when_revision(&key, ownership.seen)
        .when_created(&owner, ownership.created)
        .put(&key, &value);
    if !publication.state.is_final() {
        return Some(transaction);
    }
    let history = Key::History {
        service: entry.service(),
        number: entry.revision,
    };
    Some(transaction.put(&history.checked().ok()?, &value))
}

/// Looks why a step was not written: another owner, or a move's key that was written meanwhile.
async fn reread<S: Store>(store: &S, entry: &Move, ownership: &mut Ownership) -> bool {
    let Some(key) = owner_key(entry) else {
        return false;
    };
    match store.get(&key).await {
        Ok(Some(owner)) if owner.created == ownership.created => {
            if let Ok(seen) = read_published(store, entry).await {
                ownership.seen = seen;
            }
            true
        }
        Ok(_) => {
            log::info!(service = entry.service(); "move: ownership lost");
            false
        }
        Err(error) => {
            log::warn!(service = entry.service(); "move: {error}");
            true
        }
    }
}
