//! One decision of an owner.

use super::{Ownership, RENEWAL_AGE, Tenure, later, publish};
use crate::{
    rollout::{Move, fleet::Fleet},
    state::{State, unix_millis},
};
use fulmarreel_distribution::Verdict;
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{
    Evidence,
    step::{self, Contact, Hold, Outcome},
};
use fulmarreel_store::{Error, Store};

/// The number of reporters falls by one part in that many a tick.
const REPORTERS_FALL: u32 = 10;

/// Renews the lease, decides, and publishes.
pub(super) async fn tick<S: Store>(
    state: &State,
    fleet: &Fleet,
    store: &S,
    entry: &Move,
    ownership: &mut Ownership,
) -> Tenure {
    if !renew(store, entry, ownership).await {
        return Tenure::Over;
    }
    let now = Timestamp(unix_millis());
    let evidence = entry.take_fleet();
    ownership.note_reporters(&evidence);
    let current = entry.state();
    ownership.comparison.absorb(&evidence, current.step, now);
    let contact = contact(state, fleet, entry, ownership);
    let outcome = step::step(&current, &entry.plan, &ownership.comparison, &contact, now);
    if let Outcome::Hold(reason) = &outcome {
        log::debug!(service = entry.service(); "move: held: {reason}");
        if *reason == Hold::ClockOff {
            return give_up(store, entry, ownership).await;
        }
    }
    match (&outcome, outcome.state()) {
        // A verdict counts at once and everywhere; the store takes it when it can.
        (Outcome::TakeBack(_), Some(verdict)) => {
            entry.join(verdict);
            spread(state, entry);
            ownership.unpublished = true;
        }
        // Any other step counts once the store has it; else it is decided anew.
        (_, Some(next)) => {
            let kept = publish::publish(state, store, entry, ownership, next).await;
            return Tenure::from(kept);
        }
        (_, None) => {}
    }
    if ownership.unpublished {
        let current = entry.state();
        let kept = publish::publish(state, store, entry, ownership, &current).await;
        return Tenure::from(kept);
    }
    Tenure::from(!entry.is_settled())
}

impl From<bool> for Tenure {
    fn from(kept: bool) -> Self {
        if kept { Self::Kept } else { Self::Over }
    }
}

/// Ends the lease early, so that a node whose clock is right takes over.
async fn give_up<S: Store>(store: &S, entry: &Move, ownership: &Ownership) -> Tenure {
    log::warn!(service = entry.service(); "move: this node's clock is off");
    if let Err(error) = store.revoke(ownership.lease).await {
        // The lease lapses by itself.
        log::info!(service = entry.service(); "move: {error}");
    }
    Tenure::Unfit
}

fn spread(state: &State, entry: &Move) {
    let Some(shift) = entry.document.shift() else {
        return;
    };
    state.take_back(&Verdict {
        service: entry.service().to_owned(),
        revision: entry.revision,
        version: shift.to().to_string(),
    });
}

fn contact(state: &State, fleet: &Fleet, entry: &Move, ownership: &Ownership) -> Contact {
    let view = state.view();
    let to = entry.document.shift().map(|shift| shift.to().as_str());
    let new_targets = view
        .service(entry.service())
        .zip(to)
        .and_then(|(service, to)| service.candidates.get(to))
        .map_or(0, Vec::len);
    Contact {
        lease_until: ownership.lease_until,
        evidence_until: entry.heard_until(&fleet.zones()),
        clock_ahead_ms: None,
        nodes: ownership.reporters,
        new_targets: u32::try_from(new_targets).unwrap_or(u32::MAX),
    }
}

impl Ownership {
    /// Follows a rise of the reports in one tick at once, and a fall slowly.
    fn note_reporters(&mut self, evidence: &[Evidence]) {
        let reports: u32 = evidence.iter().map(|sum| sum.reports).sum();
        self.reporters = reports.max(self.reporters - self.reporters.div_ceil(REPORTERS_FALL));
    }
}

/// Renews the lease when it is due; returns whether it may still hold.
async fn renew<S: Store>(store: &S, entry: &Move, ownership: &mut Ownership) -> bool {
    let asked_at = Timestamp(unix_millis());
    if asked_at < later(ownership.renewed_at, RENEWAL_AGE) {
        return true;
    }
    match store.keep_alive(ownership.lease).await {
        Ok(ttl) => {
            ownership.renewed_at = asked_at;
            ownership.lease_until = later(asked_at, ttl);
            true
        }
        Err(Error::Expired { .. }) => {
            log::info!(service = entry.service(); "move: the owner's lease has lapsed");
            false
        }
        Err(error) => {
            log::warn!(service = entry.service(); "move: lease not renewed: {error}");
            true
        }
    }
}
