//! Outcomes that an earlier era of the store had: one node writes each of them again.

use super::owner::STORE_RETRY_DELAY;
use crate::mesh::{context::Context, view};
use fulmarreel_platform::order::{self, Outcome, State};
use fulmarreel_store::{Error, Outcome as Commit, Revision, Store, Transaction};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// How long a node waits per rank, so that a node of a better rank writes first.
const DELAY_PER_RANK: Duration = Duration::from_millis(250);

/// The limit of the random addition to that delay.
const MAX_JITTER: Duration = Duration::from_millis(150);

/// The worst rank that writes; all nodes know the outcome.
const MAX_RANK: u32 = 4;

/// When this node writes which outcomes again, by service.
#[derive(Debug, Default)]
pub(super) struct Rewrites {
    due: HashMap<String, Rewrite>,
}

#[derive(Debug)]
struct Rewrite {
    /// The revision of the order.
    order: u64,
    at: Instant,
}

impl Rewrites {
    /// Whether this node is to write the outcome of an order again now, given its rank for the service;
    /// `random` is from 0 to 1.
    pub(super) fn is_due(
        &mut self,
        service: &str,
        order: u64,
        rank: u32,
        random: f64,
        now: Instant,
    ) -> bool {
        let known = self.due.get(service);
        if let Some(known) = known.filter(|known| known.order == order) {
            return now >= known.at && rank <= MAX_RANK;
        }
        let at = now + DELAY_PER_RANK * rank.min(MAX_RANK) + MAX_JITTER.mul_f64(random);
        self.due.insert(service.to_owned(), Rewrite { order, at });
        false
    }

    /// Forgets a service without an outcome to write.
    pub(super) fn forget(&mut self, service: &str) {
        self.due.remove(service);
    }

    /// Delays the next attempt for a service.
    pub(super) fn delay(&mut self, service: &str, random: f64, now: Instant) {
        if let Some(rewrite) = self.due.get_mut(service) {
            rewrite.at = now + STORE_RETRY_DELAY.mul_f64(1.0 + random);
        }
    }
}

/// Writes the outcome of an order again, unless the order or the outcome has changed meanwhile.
pub(super) async fn write(
    context: &Context,
    service: &str,
    rollout: &view::Rollout,
    state: State,
) -> Result<(), Error> {
    let outcome = Outcome {
        version: rollout.version.clone(),
        state,
    };
    let Ok(value) = order::encode_outcome(&outcome) else {
        return Ok(());
    };
    let order_key = format!("{}{service}", order::ORDERS);
    let outcome_key = format!("{}{service}", order::OUTCOMES);
    let order = if rollout.is_ordered {
        Revision(rollout.order)
    } else {
        Revision::ABSENT
    };
    let transaction = Transaction::new()
        .when_mod_revision(&outcome_key, known_revision(context, &outcome_key))
        .when_mod_revision(&order_key, order)
        .put(&outcome_key, &value);
    if let Commit::Written(revision) = context.store.commit(&transaction).await? {
        let order = rollout.order;
        log::info!(service, order, revision = revision.0, state:? = state; "outcome written again");
    }
    Ok(())
}

/// The revision of a key in the mirror.
pub(super) fn known_revision(context: &Context, key: &str) -> Revision {
    context.read(|mirror| {
        let item = mirror.get(key);
        item.map_or(Revision::ABSENT, |item| Revision(item.revision))
    })
}
