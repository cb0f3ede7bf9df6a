//! The platform's store as far as moves use it.

use std::time::{Duration, Instant};

/// Lifetime of the owner's lease.
const LEASE: Duration = Duration::from_millis(3_000);

/// How long nodes take to learn of a change.
const NEWS: Duration = Duration::from_millis(150);

/// How long they take to learn how a move ended, at worst.
const OUTCOME_NEWS: Duration = Duration::from_millis(3_000);

/// How a move ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Well.
    Completed,
    /// The version was bad.
    RolledBack,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    /// Whether it answers nobody.
    pub is_away: bool,
    revision: u64,
    owner: Option<Key>,
    /// Owners' keys as of earlier times.
    past: Vec<(Instant, Option<Key>)>,
    /// How the move ended, and when.
    pub outcome: Option<(Outcome, Instant)>,
}

/// The owner's key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Key {
    /// The owner.
    pub node: usize,
    /// The revision that created the key.
    pub revision: u64,
    lapses: Instant,
}

impl Store {
    /// Lets leases lapse.
    pub fn tick(&mut self, now: Instant) {
        if !self.is_away && self.owner.is_some_and(|key| now >= key.lapses) {
            self.owner = None;
            self.past.push((now, None));
        }
    }

    /// Creates the owner's key.
    pub fn claim(&mut self, node: usize, now: Instant) -> Option<u64> {
        if self.is_away || self.owner.is_some() {
            return None;
        }
        self.revision += 1;
        let lapses = now + LEASE;
        self.owner = Some(Key {
            node,
            revision: self.revision,
            lapses,
        });
        self.past.push((now, self.owner));
        Some(self.revision)
    }

    /// Renews the owner's lease: until when it holds, or that it has lapsed.
    pub fn renew(&mut self, revision: u64, now: Instant) -> Option<Result<Instant, ()>> {
        if self.is_away {
            return None;
        }
        let Some(key) = self.owner.as_mut().filter(|key| key.revision == revision) else {
            return Some(Err(()));
        };
        key.lapses = now + LEASE;
        Some(Ok(key.lapses))
    }

    /// Takes the owner's key away; whether that was done.
    pub fn resign(&mut self, revision: u64, now: Instant) -> bool {
        let is_owner = self.owner.is_some_and(|key| key.revision == revision);
        let is_done = !self.is_away && is_owner;
        if is_done {
            self.owner = None;
            self.past.push((now, None));
        }
        is_done
    }

    /// Writes how the move ended; whether that was done.
    pub fn end(&mut self, revision: u64, outcome: Outcome, now: Instant) -> bool {
        let is_owner = self.owner.is_some_and(|key| key.revision == revision);
        let is_done = !self.is_away && is_owner && self.outcome.is_none();
        if is_done {
            self.outcome = Some((outcome, now));
        }
        is_done
    }

    /// The owner's key as nodes know it.
    pub fn known(&self, now: Instant) -> Option<Key> {
        let seen = |(at, _): &&(Instant, Option<Key>)| *at + NEWS <= now;
        self.past.iter().rev().find(seen).and_then(|(_, key)| *key)
    }

    /// How the move ended, as nodes know it.
    pub fn known_outcome(&self, now: Instant) -> Option<Outcome> {
        let seen = self.outcome.filter(|(_, at)| *at + OUTCOME_NEWS <= now);
        seen.map(|(outcome, _)| outcome)
    }
}
