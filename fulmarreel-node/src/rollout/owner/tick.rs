//! One tick of an owner: lease renewal, decision and publication.

use super::{Ownership, OwnershipStatus, RENEWAL_AGE, later, publish};
use crate::{
    rollout::{Rollout, fleet::Fleet},
    state::{State, unix_millis},
};
use fulmarreel_distribution::Verdict;
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{
    Evidence,
    step::{self, Decision, Hold, OwnerContact},
};
use fulmarreel_store::{Error, Store};

/// Each tick lowers the estimated number of reporters by at most one part in this many.
const REPORTERS_DECAY_DIVISOR: u32 = 10;

/// Renews the lease, decides on the next step and publishes it.
pub(super) async fn tick<S: Store>(
    state: &State,
    fleet: &Fleet,
    store: &S,
    rollout: &Rollout,
    ownership: &mut Ownership,
) -> OwnershipStatus {
    if !renew(store, rollout, ownership).await {
        return OwnershipStatus::Ended;
    }
    let now = Timestamp(unix_millis());
    let evidence = rollout.take_zone_sums();
    ownership.update_reporters(&evidence);
    let current = rollout.state();
    ownership.comparison.absorb(&evidence, current.step, now);
    let contact = owner_contact(state, fleet, rollout, ownership);
    let decision = step::step(
        &current,
        &rollout.plan,
        &ownership.comparison,
        &contact,
        now,
    );
    if let Decision::Hold(reason) = &decision {
        log::debug!(service = rollout.service(); "move: no step is taken: {reason}");
        if *reason == Hold::ClockOff {
            return give_up(store, rollout, ownership).await;
        }
    }
    match (&decision, decision.state()) {
        // A verdict against the new version applies at once and is sent to all nodes; its write to
        // the store is repeated until it succeeds.
        (Decision::RollBack(_), Some(verdict)) => {
            rollout.adopt(verdict);
            distribute_verdict(state, rollout);
            ownership.publish_pending = true;
        }
        // Any other step applies once it is in the store; if the write fails, the next tick decides
        // again.
        (_, Some(next)) => {
            let still_owner = publish::publish(state, store, rollout, ownership, next).await;
            return OwnershipStatus::from(still_owner);
        }
        (_, None) => {}
    }
    if ownership.publish_pending {
        let current = rollout.state();
        let still_owner = publish::publish(state, store, rollout, ownership, &current).await;
        return OwnershipStatus::from(still_owner);
    }
    OwnershipStatus::from(!rollout.is_settled())
}

impl From<bool> for OwnershipStatus {
    fn from(still_owner: bool) -> Self {
        if still_owner { Self::Held } else { Self::Ended }
    }
}

/// Revokes the lease, so that a node with a correct clock can take over.
async fn give_up<S: Store>(store: &S, rollout: &Rollout, ownership: &Ownership) -> OwnershipStatus {
    log::warn!(service = rollout.service(); "move: this node's clock is wrong, it gives the ownership up");
    if let Err(error) = store.revoke(ownership.lease).await {
        // The lease expires by itself.
        log::info!(service = rollout.service(); "move: the owner's lease could not be revoked: {error}");
    }
    OwnershipStatus::ClockOff
}

fn distribute_verdict(state: &State, rollout: &Rollout) {
    let Some(declared) = rollout.document.rollout() else {
        return;
    };
    state.take_back(&Verdict {
        service: rollout.service().to_owned(),
        revision: rollout.revision,
        version: declared.to().to_string(),
    });
}

fn owner_contact(
    state: &State,
    fleet: &Fleet,
    rollout: &Rollout,
    ownership: &Ownership,
) -> OwnerContact {
    let view = state.view();
    let to = rollout
        .document
        .rollout()
        .map(|declared| declared.to().as_str());
    let new_targets = view
        .service(rollout.service())
        .zip(to)
        .and_then(|(service, to)| service.candidates.get(to))
        .map_or(0, Vec::len);
    OwnerContact {
        lease_until: ownership.lease_until,
        evidence_until: rollout.evidence_until(&fleet.zones()),
        clock_ahead_ms: None,
        nodes: ownership.reporters,
        new_targets: u32::try_from(new_targets).unwrap_or(u32::MAX),
    }
}

impl Ownership {
    /// Updates the number of reporters from the reports of one tick: a rise applies at once, a fall
    /// gradually.
    fn update_reporters(&mut self, evidence: &[Evidence]) {
        let reports: u32 = evidence.iter().map(|sum| sum.reports).sum();
        self.reporters =
            reports.max(self.reporters - self.reporters.div_ceil(REPORTERS_DECAY_DIVISOR));
    }
}

/// Renews the lease if that is due; returns false if the lease has expired.
async fn renew<S: Store>(store: &S, rollout: &Rollout, ownership: &mut Ownership) -> bool {
    let requested_at = Timestamp(unix_millis());
    if requested_at < later(ownership.renewed_at, RENEWAL_AGE) {
        return true;
    }
    match store.keep_alive(ownership.lease).await {
        Ok(ttl) => {
            ownership.renewed_at = requested_at;
            ownership.lease_until = later(requested_at, ttl);
            true
        }
        Err(Error::LeaseExpired { .. }) => {
            log::info!(service = rollout.service(); "move: the owner's lease has expired");
            false
        }
        Err(error) => {
            log::warn!(service = rollout.service(); "move: the owner's lease could not be renewed: {error}");
            true
        }
    }
}
