//! Ownership of a rollout in the store: the owner's key, its lease, and the outcome that it writes.

use crate::{
    mesh::{
        context::Context,
        keys::{self, Owner, Start},
        view,
    },
    runtime,
    state::unix_millis,
};
use fulmarreel_platform::order::{self, Outcome, State};
use fulmarreel_store::{Error, LeaseId, Outcome as Commit, Revision, Store, Transaction};
use smol::Timer;
use std::{
    sync::{Arc, Mutex, Weak},
    time::{Duration, Instant},
};

/// The time to live of an owner's lease.
const LEASE_TTL: Duration = Duration::from_millis(3_000);

/// How often a lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long the next attempt is delayed after a failed call to the store.
pub(super) const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A rollout that this node owns.
#[derive(Debug)]
pub(super) struct Ownership {
    /// The store revision of the order.
    pub order: u64,
    /// The store revision that created the owner's key.
    pub owner_revision: Revision,
    /// When the rollout began.
    pub start: Instant,
    lease: Arc<RenewedLease>,
    /// The earliest time to write the outcome; later than now after a failed attempt.
    next_write: Instant,
}

/// A lease that [`renew`] keeps alive.
#[derive(Debug)]
struct RenewedLease {
    id: LeaseId,
    /// Until when the lease holds for certain; `None` once the store said that it has lapsed.
    valid_until: Mutex<Option<Instant>>,
}

impl Ownership {
    /// Whether the lease holds, as far as this node knows.
    pub(super) fn is_leased(&self) -> bool {
        let valid_until = *self.lease.valid_until.lock().expect("lease lock");
        valid_until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether the store has said that the lease has lapsed.
    pub(super) fn has_lapsed(&self) -> bool {
        self.lease.valid_until.lock().expect("lease lock").is_none()
    }
}

/// Renews a lease until it lapses or its ownership is dropped. Runs as a task of its own so that a slow
/// store does not delay messages to other nodes.
async fn renew(context: Arc<Context>, lease: Weak<RenewedLease>) {
    loop {
        Timer::after(RENEWAL_INTERVAL).await;
        let Some(lease) = lease.upgrade() else {
            return;
        };
        // The TTL counts from before the call: the store may have renewed the lease at any time since.
        let requested_at = Instant::now();
        match context.store.keep_alive(lease.id).await {
            Ok(_) => {
                *lease.valid_until.lock().expect("lease lock") = Some(requested_at + LEASE_TTL);
            }
            Err(Error::LeaseExpired { .. }) => {
                log::info!("the owner's lease has lapsed");
                *lease.valid_until.lock().expect("lease lock") = None;
                return;
            }
            Err(error) => log::warn!("lease not renewed: {error}"),
        }
    }
}

/// What a claim of a rollout goes by.
#[derive(Debug, Default)]
pub(super) struct Claim {
    /// The revision of the owner's key, which is absent or an earlier claim of this process.
    pub known: Revision,
    /// When the rollout began, if this process owned it before.
    pub start: Option<Instant>,
}

/// Claims a rollout; `None` if another node owns it or the store failed.
pub(super) async fn claim(
    context: &Arc<Context>,
    service: &str,
    ordered_rollout: &view::Rollout,
    claim: Claim,
) -> Option<Ownership> {
    match try_claim(context, service, ordered_rollout, claim).await {
        Ok(ownership) => ownership,
        Err(error) => {
            log::warn!(service; "move not claimed: {error}");
            None
        }
    }
}

async fn try_claim(
    context: &Arc<Context>,
    service: &str,
    ordered_rollout: &view::Rollout,
    claim: Claim,
) -> Result<Option<Ownership>, Error> {
    let requested_at = Instant::now();
    let lease_id = context
        .store
        .grant(LEASE_TTL.max(context.settings().min_lease_ttl))
        .await?;
    let owner = Owner {
        address: context.settings().peer_address,
        boot: context.started_at_ms,
    };
    let start = match claim.start {
        Some(start) => Start {
            order: ordered_rollout.order,
            at: unix_millis().saturating_sub(start.elapsed().as_millis() as u64),
        },
        None => known_or_new_start(context, service, ordered_rollout),
    };
    let (Ok(owner_value), Ok(start_value)) =
        (serde_json::to_vec(&owner), serde_json::to_vec(&start))
    else {
        return Ok(None);
    };
    let owner_key = format!("{}{service}", keys::OWNERS);
    let start_key = format!("{}{service}", keys::STARTS);
    let outcome = Outcome {
        version: ordered_rollout.version.clone(),
        state: State::Running,
    };
    let mut transaction = Transaction::new()
        .when_mod_revision(&owner_key, claim.known)
        .put_leased(&owner_key, &owner_value, lease_id)
        .put(&start_key, &start_value);
    if ordered_rollout.state.is_none()
        && let Ok(outcome) = order::encode_outcome(&outcome)
    {
        transaction = transaction.put(&format!("{}{service}", order::OUTCOMES), &outcome);
    }
    match context.store.commit_with_read_back(&transaction).await? {
        Commit::Written(owner_revision) => {
            log::info!(service, order = ordered_rollout.order, created = owner_revision.0; "this node owns the move");
            let elapsed = Duration::from_millis(unix_millis().saturating_sub(start.at));
            let elapsed = elapsed.min(ordered_rollout.time_limit);
            let now = Instant::now();
            let lease = Arc::new(RenewedLease {
                id: lease_id,
                valid_until: Mutex::new(Some(requested_at + LEASE_TTL)),
            });
            runtime::spawn(renew(Arc::clone(context), Arc::downgrade(&lease)));
            Ok(Some(Ownership {
                order: ordered_rollout.order,
                owner_revision,
                start: now.checked_sub(elapsed).unwrap_or(now),
                lease,
                next_write: now,
            }))
        }
        Commit::Conflict(_) => {
            context.store.revoke(lease_id).await?;
            Ok(None)
        }
    }
}

/// When the rollout began: as a former owner recorded it, or now.
fn known_or_new_start(context: &Context, service: &str, ordered_rollout: &view::Rollout) -> Start {
    let known: Option<Start> = context.decode(&format!("{}{service}", keys::STARTS));
    let known = known.filter(|start| ordered_rollout.includes(start.order));
    known.unwrap_or(Start {
        order: ordered_rollout.order,
        at: unix_millis(),
    })
}

/// Writes the outcome of a rollout: `Some(true)` if it is written, `Some(false)` if another node
/// owns the rollout, `None` if the attempt is delayed or failed, possibly after the store applied
/// it.
pub(super) async fn write_outcome(
    context: &Context,
    service: &str,
    ordered_rollout: &view::Rollout,
    ownership: &mut Ownership,
    state: State,
) -> Option<bool> {
    if Instant::now() < ownership.next_write {
        return None;
    }
    let version = ordered_rollout.version.clone();
    let outcome = order::encode_outcome(&Outcome { version, state }).ok()?;
    let transaction = Transaction::new()
        .when_mod_revision(
            &format!("{}{service}", keys::OWNERS),
            ownership.owner_revision,
        )
        .put(&format!("{}{service}", order::OUTCOMES), &outcome);
    match context.store.commit(&transaction).await {
        Ok(Commit::Written(revision)) => {
            log::info!(service, order = ordered_rollout.order, revision = revision.0, state:? = state; "move ended");
            Some(true)
        }
        Ok(Commit::Conflict(_)) => {
            log::info!(service; "another node owns the move");
            Some(false)
        }
        Err(error) => {
            log::warn!(service; "outcome not written: {error}");
            ownership.next_write = Instant::now() + STORE_RETRY_DELAY;
            None
        }
    }
}

/// Revokes the lease of a rollout that is over or that this node has resigned from.
pub(super) async fn revoke_lease(context: &Context, ownership: &Ownership) {
    if let Err(error) = context.store.revoke(ownership.lease.id).await {
        // The lease lapses by itself.
        log::info!("lease of a move not revoked: {error}");
    }
}
