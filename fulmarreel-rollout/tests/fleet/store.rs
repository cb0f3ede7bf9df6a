//! A model of the platform's store, as far as rollouts use it.

use std::time::{Duration, Instant};

/// Lifetime of the owner's lease.
const LEASE_LIFETIME: Duration = Duration::from_millis(3_000);

/// Time until nodes learn of a change of the owner's key.
const OWNER_PROPAGATION: Duration = Duration::from_millis(150);

/// Longest time until nodes learn the outcome of a rollout.
const OUTCOME_PROPAGATION: Duration = Duration::from_millis(3_000);

/// The outcome of a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The new version has taken over.
    Completed,
    /// The new version was bad.
    RolledBack,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    /// Whether it answers no request.
    pub is_unreachable: bool,
    revision: u64,
    owner: Option<Key>,
    /// Past values of the owner's key, with the time of each change.
    owner_history: Vec<(Instant, Option<Key>)>,
    /// The outcome of the rollout, and when it was written.
    pub outcome: Option<(Outcome, Instant)>,
}

/// The owner's key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Key {
    /// The node that owns the rollout.
    pub node: usize,
    /// The revision that created the key.
    pub revision: u64,
    expires: Instant,
}

impl Store {
    /// Deletes the owner's key once its lease has expired.
    pub fn expire_lease(&mut self, now: Instant) {
        if !self.is_unreachable && self.owner.is_some_and(|key| now >= key.expires) {
            self.owner = None;
            self.owner_history.push((now, None));
        }
    }

    /// Creates the owner's key, unless there is one; returns the revision that created it.
    pub fn claim(&mut self, node: usize, now: Instant) -> Option<u64> {
        if self.is_unreachable || self.owner.is_some() {
            return None;
        }
        self.revision += 1;
        let expires = now + LEASE_LIFETIME;
        self.owner = Some(Key {
            node,
            revision: self.revision,
            expires,
        });
        self.owner_history.push((now, self.owner));
        Some(self.revision)
    }

    /// Renews the owner's lease; returns when it now expires, or an error if it has expired
    /// already. `None` if the store is unreachable.
    pub fn renew(&mut self, revision: u64, now: Instant) -> Option<Result<Instant, ()>> {
        if self.is_unreachable {
            return None;
        }
        let Some(key) = self.owner.as_mut().filter(|key| key.revision == revision) else {
            return Some(Err(()));
        };
        key.expires = now + LEASE_LIFETIME;
        Some(Ok(key.expires))
    }

    /// Deletes the owner's key; returns whether that was done.
    pub fn resign(&mut self, revision: u64, now: Instant) -> bool {
        let is_owner = self.owner.is_some_and(|key| key.revision == revision);
        let is_done = !self.is_unreachable && is_owner;
        if is_done {
            self.owner = None;
            self.owner_history.push((now, None));
        }
        is_done
    }

    /// Writes the outcome of the rollout; returns whether that was done.
    pub fn write_outcome(&mut self, revision: u64, outcome: Outcome, now: Instant) -> bool {
        let is_owner = self.owner.is_some_and(|key| key.revision == revision);
        let is_done = !self.is_unreachable && is_owner && self.outcome.is_none();
        if is_done {
            self.outcome = Some((outcome, now));
        }
        is_done
    }

    /// The owner's key that nodes know of, after the propagation time.
    pub fn known_owner(&self, now: Instant) -> Option<Key> {
        let has_arrived = |(at, _): &&(Instant, Option<Key>)| *at + OWNER_PROPAGATION <= now;
        self.owner_history
            .iter()
            .rev()
            .find(has_arrived)
            .and_then(|(_, key)| *key)
    }

    /// The outcome that nodes know of, after the propagation time.
    pub fn known_outcome(&self, now: Instant) -> Option<Outcome> {
        let has_arrived = self
            .outcome
            .filter(|(_, at)| *at + OUTCOME_PROPAGATION <= now);
        has_arrived.map(|(outcome, _)| outcome)
    }
}
