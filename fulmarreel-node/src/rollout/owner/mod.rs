//! The owner of a rollout: the one node that decides on its steps, elected by a lease in the store.
//!
//! The owner's key is attached to a lease. Each step is written on two conditions: the owner's key
//! still has the create revision that this owner gave it, so that an owner that was paused past its
//! lease writes nothing, and the rollout's key still has the revision that this owner last read or
//! wrote.

mod acquire;
mod publish;
mod tick;

pub use acquire::acquire;
pub use publish::publish;

use super::{Rollouts, fleet::Fleet};
use crate::state::{State, unix_millis};
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::Comparison;
use fulmarreel_store::{LeaseId, Revision, Store};
use smol::Timer;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time between two decisions of an owner.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of nodes that compete for the ownership of one rollout.
const STANDBYS: usize = 3;

/// Time to live of the owner's lease, counted from its last renewal.
const LEASE_TTL: Duration = Duration::from_secs(5);

/// The owner renews its lease once the last renewal is this old.
const RENEWAL_AGE: Duration = Duration::from_millis(1_500);

/// How long a node whose clock is wrong waits before it competes again for the ownership of a
/// rollout.
const CLOCK_OFF_PAUSE: Duration = Duration::from_secs(60);

/// Time between two attempts of a standby to acquire the ownership.
const STANDBY_INTERVAL: Duration = Duration::from_secs(2);

/// An ownership that this node holds.
#[derive(Debug)]
pub struct Ownership {
    /// Revision of the document that declares the rollout.
    revision: u64,
    lease: LeaseId,
    /// The create revision of the owner's key.
    owner_key_revision: Revision,
    /// The revision of the rollout's key that this owner last read or wrote.
    rollout_revision: Revision,
    /// When the last successful renewal was requested.
    renewed_at: Timestamp,
    lease_until: Timestamp,
    /// The evidence on both versions that this owner has received.
    comparison: Comparison,
    /// Estimate of how many nodes report each second.
    reporters: u32,
    /// Whether the current state has yet to be written to the store.
    publish_pending: bool,
}

/// Whether this node still owns a rollout after a tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnershipStatus {
    /// It is still the owner.
    Held,
    /// The ownership was lost, or the rollout is settled.
    Ended,
    /// It gave the ownership up because its clock is wrong.
    ClockOff,
}

/// The rollouts that this node owns or is a standby for, by service.
#[derive(Debug, Default)]
struct Duties {
    owned: HashMap<String, Ownership>,
    /// When this node, as a standby, may next try to acquire the ownership.
    next_attempt: HashMap<String, Timestamp>,
}

/// Owns rollouts and acts as a standby for others' until the process ends.
pub async fn run(state: Arc<State>, rollouts: Arc<Rollouts>, store: impl Store) {
    let mut duties = Duties::default();
    loop {
        Timer::after(TICK_INTERVAL).await;
        let declared_rollouts = rollouts.all();
        duties.retain_declared(&declared_rollouts);
        if declared_rollouts.is_empty() {
            continue;
        }
        let fleet = Fleet::of(&state);
        for rollout in &declared_rollouts {
            let now = Timestamp(unix_millis());
            if let Some(mut ownership) = duties.owned.remove(rollout.service()) {
                match tick::tick(&state, &fleet, &store, rollout, &mut ownership).await {
                    OwnershipStatus::Held => {
                        duties.owned.insert(rollout.service().to_owned(), ownership);
                    }
                    OwnershipStatus::Ended => {}
                    OwnershipStatus::ClockOff => duties.pause_standby(rollout, now),
                }
            } else if duties.attempt_due(&fleet, rollout, now)
                && let Some(ownership) = acquire::acquire(&state, &store, rollout).await
            {
                duties.owned.insert(rollout.service().to_owned(), ownership);
            }
        }
    }
}

impl Duties {
    /// Drops the rollouts that no active document declares any more; their leases expire by
    /// themselves.
    fn retain_declared(&mut self, declared_rollouts: &[Arc<super::Rollout>]) {
        let declared = |service: &String, revision: Option<u64>| {
            declared_rollouts.iter().any(|rollout| {
                rollout.service() == service
                    && revision.is_none_or(|owned| owned == rollout.revision)
            })
        };
        self.owned
            .retain(|service, ownership| declared(service, Some(ownership.revision)));
        self.next_attempt
            .retain(|service, _| declared(service, None));
    }

    /// Keeps this node from competing for a rollout for [`CLOCK_OFF_PAUSE`].
    fn pause_standby(&mut self, rollout: &super::Rollout, now: Timestamp) {
        let until = later(now, CLOCK_OFF_PAUSE);
        self.next_attempt
            .insert(rollout.service().to_owned(), until);
    }

    /// Whether this node is a standby of the rollout and its next attempt to acquire it is due; if
    /// so, schedules the attempt after that.
    fn attempt_due(&mut self, fleet: &Fleet, rollout: &super::Rollout, now: Timestamp) -> bool {
        if rollout.is_settled() || fleet.rank(rollout.service()) >= STANDBYS {
            return false;
        }
        let next_attempt = self
            .next_attempt
            .entry(rollout.service().to_owned())
            .or_insert(now);
        if now < *next_attempt {
            return false;
        }
        *next_attempt = later(now, STANDBY_INTERVAL);
        true
    }
}

/// The point in time that lies `by` after `point`.
fn later(point: Timestamp, by: Duration) -> Timestamp {
    Timestamp(point.0.saturating_add(by.as_millis() as u64))
}
