//! A node's copy of the store: every item, up to one revision, which never decreases.
//!
//! A mirror is updated from the store by [`Mirror::replace`] and [`Mirror::apply`], and from
//! another mirror by [`Mirror::pull_request`], [`Mirror::update_for`] and [`Mirror::apply_update`].

mod delta;
mod error;
mod exchange;
mod history;
mod removals;

pub use delta::DeltaError;
pub use error::Error;

use history::History;
use removals::Removals;
use std::collections::BTreeMap;

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The revision of its last write.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// A change of one key: a write, or a removal if there is no value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The whole key.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The value that was written.
    pub value: Option<Vec<u8>>,
}

/// A node's copy of the store.
#[derive(Debug, Default)]
pub struct Mirror {
    revision: u64,
    items: BTreeMap<String, Item>,
    removals: Removals,
    history: History,
}

impl Mirror {
    /// The revision up to which the mirror is complete; 0 if nothing was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Every item, in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&str, &Item)> {
        self.items.iter().map(|(key, item)| (key.as_str(), item))
    }

    /// One item.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// The items whose keys start with a prefix, with the rest of their keys.
    pub fn items_under_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Item)> {
        self.items
            .range(prefix.to_owned()..)
            .map_while(move |(key, item)| Some((key.strip_prefix(prefix)?, item)))
    }

    /// Replaces all items by a listing of the store at a revision. Returns false if the mirror is
    /// at that revision or a later one.
    ///
    /// Items of a later revision than the listing's are kept: a listing that is read in pages may
    /// contain them. The changes up to them follow and are skipped.
    pub fn replace(&mut self, revision: u64, items: BTreeMap<String, Item>) -> bool {
        if revision < self.revision || (revision == self.revision && self.revision > 0) {
            return false;
        }
        let mut items = items;
        items.retain(|key, item| !self.is_removed_since(key, item.revision));
        for (key, known) in &self.items {
            let is_newer = known.revision > revision;
            if is_newer
                && items
                    .get(key)
                    .is_none_or(|item| item.revision < known.revision)
            {
                items.insert(key.clone(), known.clone());
            }
        }
        self.revision = revision;
        self.items = items;
        self.removals.restart(revision);
        self.history.retain(|key| self.items.contains_key(key));
        for (key, item) in &self.items {
            self.history.insert(key, item.revision, &item.value);
        }
        true
    }

    /// Applies the changes up to a revision. Returns whether any was new.
    pub fn apply(&mut self, revision: u64, changes: Vec<Change>) -> bool {
        let mut changed = false;
        for change in changes {
            if !self.is_new(&change.key, change.revision) {
                continue;
            }
            changed = true;
            self.set(change);
        }
        self.revision = self.revision.max(revision);
        changed
    }

    /// Whether a change of a key is later than the mirror's state of that key.
    fn is_new(&self, key: &str, revision: u64) -> bool {
        let known = self.items.get(key).map_or(0, |item| item.revision);
        revision > known.max(self.revision) && !self.is_removed_since(key, revision)
    }

    /// Whether a key is known to be removed at or after a revision.
    fn is_removed_since(&self, key: &str, revision: u64) -> bool {
        let removed = self.removals.get(key);
        removed.is_some_and(|removed| removed >= revision)
    }

    fn set(&mut self, change: Change) {
        let (key, revision) = (change.key, change.revision);
        if let Some(value) = change.value {
            self.removals.remove(&key);
            self.history.insert(&key, revision, &value);
            self.items.insert(key, Item { revision, value });
        } else {
            self.history.remove(&key);
            self.items.remove(&key);
            self.removals.insert(key, revision);
        }
    }
}
