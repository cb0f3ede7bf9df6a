//! The last removals that a mirror knows, and the revision after which it knows all of them.

use std::collections::BTreeMap;

/// Number of removals that are kept.
const MAX_REMOVALS: usize = 512;

/// The last removals that a mirror knows.
#[derive(Debug, Default)]
pub(super) struct Removals {
    /// All removals after this revision are known.
    complete_after: u64,
    /// The revision at which each key was removed.
    revisions: BTreeMap<String, u64>,
}

impl Removals {
    /// Whether all removals after a revision are known.
    pub(super) fn is_complete_after(&self, revision: u64) -> bool {
        revision >= self.complete_after
    }

    /// The removals after a revision, in the order of their keys.
    pub(super) fn after(&self, revision: u64) -> impl Iterator<Item = (&str, u64)> {
        let removals = self.revisions.iter();
        removals
            .map(|(key, removed)| (key.as_str(), *removed))
            .filter(move |(_, removed)| *removed > revision)
    }

    /// The revision at which a key was removed, if known.
    pub(super) fn get(&self, key: &str) -> Option<u64> {
        self.revisions.get(key).copied()
    }

    /// Adds the removal of a key; drops the oldest one if there are more than [`MAX_REMOVALS`].
    pub(super) fn insert(&mut self, key: String, revision: u64) {
        self.revisions.insert(key, revision);
        if self.revisions.len() > MAX_REMOVALS {
            self.drop_oldest();
        }
    }

    /// Drops the removal of a key that was written again.
    pub(super) fn remove(&mut self, key: &str) {
        self.revisions.remove(key);
    }

    /// Starts over after a listing at a revision, which does not show when a key was removed before
    /// it.
    pub(super) fn restart(&mut self, revision: u64) {
        self.revisions.retain(|_, removed| *removed > revision);
        self.complete_after = revision;
    }

    fn drop_oldest(&mut self) {
        let oldest = self.revisions.iter().min_by_key(|(_, removed)| **removed);
        let Some((key, removed)) = oldest else {
            return;
        };
        let (key, removed) = (key.clone(), *removed);
        self.revisions.remove(&key);
        self.complete_after = self.complete_after.max(removed);
    }
}
