//! The node that owns a move: its key, its lease, and what it writes.

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
use fulmarreel_store::{Error, Lease, Outcome as Commit, Revision, Store, Transaction};
use smol::Timer;
use std::{
    sync::{Arc, Mutex, Weak},
    time::{Duration, Instant},
};

/// The lifetime of an owner's lease, without its renewal.
const LEASE: Duration = Duration::from_millis(3_000);

/// How often a lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Pause after a call to the store that failed.
pub(super) const STORE_PAUSE: Duration = Duration::from_millis(300);

/// A move that this node owns.
#[derive(Debug)]
pub(super) struct Ownership {
    pub order: u64,
    /// The revision that created the owner's key.
    pub created: Revision,
    /// When the move began.
    pub start: Instant,
    tenure: Arc<Tenure>,
    /// When the outcome may be written again, after a call to the store that failed.
    next_write: Instant,
}

/// An owner's lease.
#[derive(Debug)]
struct Tenure {
    lease: Lease,
    until: Mutex<Option<Instant>>,
}

impl Ownership {
    /// Whether the lease holds, as far as this node knows.
    pub(super) fn is_leased(&self) -> bool {
        let until = *self.tenure.until.lock().expect("tenure lock");
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Whether the store has said that the lease has lapsed.
    pub(super) fn has_lapsed(&self) -> bool {
        self.tenure.until.lock().expect("tenure lock").is_none()
    }
}

/// Renews a lease until it lapses or nobody holds it; notices to other nodes do not wait for the store.
async fn renew(context: Arc<Context>, tenure: Weak<Tenure>) {
    loop {
        Timer::after(RENEWAL_INTERVAL).await;
        let Some(tenure) = tenure.upgrade() else {
            return;
        };
        let asked = Instant::now();
        match context.store.keep_alive(tenure.lease).await {
            Ok(_) => *tenure.until.lock().expect("tenure lock") = Some(asked + LEASE),
            Err(Error::Expired { .. }) => {
                log::info!("the owner's lease has lapsed");
                *tenure.until.lock().expect("tenure lock") = None;
                return;
            }
            Err(error) => log::warn!("lease not renewed: {error}"),
        }
    }
}

/// Tries to own a move.
pub(super) async fn claim(
    context: &Arc<Context>,
    service: &str,
    declared: &view::Move,
) -> Option<Ownership> {
    match try_claim(context, service, declared).await {
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
    declared: &view::Move,
) -> Result<Option<Ownership>, Error> {
    let renewed = Instant::now();
    let lease = context
        .store
        .grant(LEASE.max(context.settings().min_lease))
        .await?;
    let owner = Owner {
        address: context.settings().peers,
        boot: context.boot,
    };
    let start = start(context, service, declared);
    let (Ok(owner), Ok(start_value)) = (serde_json::to_vec(&owner), serde_json::to_vec(&start))
    else {
        return Ok(None);
    };
    let owner_key = format!("{}{service}", keys::OWNERS);
    let start_key = format!("{}{service}", keys::STARTS);
    let outcome = Outcome {
        version: declared.version.clone(),
        state: State::Running,
    };
    let mut transaction = Transaction::new()
        .when_absent(&owner_key)
        .put_leased(&owner_key, &owner, lease)
        .put(&start_key, &start_value);
    if declared.state.is_none()
        && let Ok(outcome) = order::encode_outcome(&outcome)
    {
        transaction = transaction.put(&format!("{}{service}", order::OUTCOMES), &outcome);
    }
    match context.store.commit_checked(&transaction).await? {
        Commit::Written(created) => {
            log::info!(service, order = declared.order, created = created.0; "this node owns the move");
            let elapsed = Duration::from_millis(unix_millis().saturating_sub(start.at));
            let elapsed = elapsed.min(declared.limit);
            let now = Instant::now();
            let tenure = Arc::new(Tenure {
                lease,
                until: Mutex::new(Some(renewed + LEASE)),
            });
            runtime::spawn(renew(Arc::clone(context), Arc::downgrade(&tenure)));
            Ok(Some(Ownership {
                order: declared.order,
                created,
                start: now.checked_sub(elapsed).unwrap_or(now),
                tenure,
                next_write: now,
            }))
        }
        Commit::Conflict(_) => {
            context.store.revoke(lease).await?;
            Ok(None)
        }
    }
}

/// When the move began, as a former owner wrote it.
fn start(context: &Context, service: &str, declared: &view::Move) -> Start {
    let known: Option<Start> = context.decoded(&format!("{}{service}", keys::STARTS));
    let known = known.filter(|start| start.order == declared.order);
    known.unwrap_or(Start {
        order: declared.order,
        at: unix_millis(),
    })
}

/// Writes what has come of a move; none where that is not known to be written, and false where
/// another node owns the move.
pub(super) async fn write(
    context: &Context,
    service: &str,
    declared: &view::Move,
    ownership: &mut Ownership,
    state: State,
) -> Option<bool> {
    if Instant::now() < ownership.next_write {
        return None;
    }
    let version = declared.version.clone();
    let outcome = order::encode_outcome(&Outcome { version, state }).ok()?;
    let transaction = Transaction::new()
        .when_revision(&format!("{}{service}", keys::OWNERS), ownership.created)
        .put(&format!("{}{service}", order::OUTCOMES), &outcome);
    match context.store.commit(&transaction).await {
        Ok(Commit::Written(revision)) => {
            log::info!(service, order = declared.order, revision = revision.0, state:? = state; "move ended");
            Some(true)
        }
        Ok(Commit::Conflict(_)) => {
            log::info!(service; "another node owns the move");
            Some(false)
        }
        Err(error) => {
            log::warn!(service; "outcome not written: {error}");
            ownership.next_write = Instant::now() + STORE_PAUSE;
            None
        }
    }
}

/// Ends the lease of a move that is over, or is left to another node.
pub(super) async fn give_up(context: &Context, ownership: &Ownership) {
    if let Err(error) = context.store.revoke(ownership.tenure.lease).await {
        // It lapses by itself.
        log::info!("lease of a move: {error}");
    }
}
