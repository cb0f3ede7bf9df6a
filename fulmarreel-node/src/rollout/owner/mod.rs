//! Owning a move: one node decides, by a lease in the store.
//!
//! The owner's key is created under a lease. Each step is written on condition that the key still
//! has the revision at which this owner created it, so an owner that was paused past its lease
//! writes nothing, and on condition that the move's key is as it was last seen.

mod acquire;
mod publish;
mod tick;

pub use acquire::acquire;
pub use publish::publish;

use super::{Moves, fleet::Fleet};
use crate::state::{State, unix_millis};
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::Comparison;
use fulmarreel_store::{Lease, Revision, Store};
use smol::Timer;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time between two decisions of an owner.
const TICK: Duration = Duration::from_secs(1);

/// How many nodes stand by for the ownership of one move.
const STANDBYS: usize = 3;

/// How long a lease lasts after its owner was last heard.
const LEASE_TTL: Duration = Duration::from_secs(5);

/// Age of a lease's last renewal at which it is renewed.
const RENEWAL_AGE: Duration = Duration::from_millis(1_500);

/// How long a node whose clock is off leaves a move to others.
const STAND_BACK: Duration = Duration::from_secs(60);

/// Time between two looks of a standby at the owner's key.
const STANDBY_INTERVAL: Duration = Duration::from_secs(2);

/// An ownership that this node holds.
#[derive(Debug)]
pub struct Ownership {
    revision: u64,
    lease: Lease,
    /// The revision at which the owner's key was created.
    created: Revision,
    /// The move's key as last seen.
    seen: Revision,
    renewed_at: Timestamp,
    lease_until: Timestamp,
    comparison: Comparison,
    /// Nodes that have reported within a second lately.
    reporters: u32,
    /// Whether the active step is still to be written.
    unpublished: bool,
}

/// Whether this node still owns a move after a tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tenure {
    /// It does.
    Kept,
    /// It does not.
    Over,
    /// It gave the ownership up, since its clock is off.
    Unfit,
}

/// What this node owns and stands by for, by service.
#[derive(Debug, Default)]
struct Duties {
    owned: HashMap<String, Ownership>,
    next_look: HashMap<String, Timestamp>,
}

/// Takes part in the ownership of moves until the process ends.
pub async fn run(state: Arc<State>, moves: Arc<Moves>, store: impl Store) {
    let mut duties = Duties::default();
    loop {
        Timer::after(TICK).await;
        let running = moves.all();
        duties.forget(&running);
        if running.is_empty() {
            continue;
        }
        let fleet = Fleet::of(&state);
        for entry in &running {
            let now = Timestamp(unix_millis());
            if let Some(mut ownership) = duties.owned.remove(entry.service()) {
                match tick::tick(&state, &fleet, &store, entry, &mut ownership).await {
                    Tenure::Kept => {
                        duties.owned.insert(entry.service().to_owned(), ownership);
                    }
                    Tenure::Over => {}
                    Tenure::Unfit => duties.stand_back(entry, now),
                }
            } else if duties.is_standby(&fleet, entry, now)
                && let Some(ownership) = acquire::acquire(&state, &store, entry).await
            {
                duties.owned.insert(entry.service().to_owned(), ownership);
            }
        }
    }
}

impl Duties {
    /// Gives up what no active document declares any more; the leases lapse by themselves.
    fn forget(&mut self, running: &[Arc<super::Move>]) {
        let declared = |service: &String, revision: Option<u64>| {
            running.iter().any(|entry| {
                entry.service() == service && revision.is_none_or(|known| known == entry.revision)
            })
        };
        self.owned
            .retain(|service, ownership| declared(service, Some(ownership.revision)));
        self.next_look.retain(|service, _| declared(service, None));
    }

    /// Leaves a move to others for a while.
    fn stand_back(&mut self, entry: &super::Move, now: Timestamp) {
        let until = later(now, STAND_BACK);
        self.next_look.insert(entry.service().to_owned(), until);
    }

    /// Whether this node is to look at the owner's key now.
    fn is_standby(&mut self, fleet: &Fleet, entry: &super::Move, now: Timestamp) -> bool {
        if entry.is_settled() || fleet.rank(entry.service()) >= STANDBYS {
            return false;
        }
        let next = self
            .next_look
            .entry(entry.service().to_owned())
            .or_insert(now);
        if now < *next {
            return false;
        }
        *next = later(now, STANDBY_INTERVAL);
        true
    }
}

/// A point in time that lies further on.
fn later(point: Timestamp, by: Duration) -> Timestamp {
    Timestamp(point.0.saturating_add(by.as_millis() as u64))
}
