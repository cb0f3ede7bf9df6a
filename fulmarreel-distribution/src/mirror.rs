//! What one node knows of the store: every item, up to one revision, which never falls.

use std::collections::BTreeMap;

/// One item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The revision of its last write.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// A change of one key: written, or removed where there is no value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The whole key.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The value that was written.
    pub value: Option<Vec<u8>>,
}

/// What one node knows of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mirror {
    revision: u64,
    items: BTreeMap<String, Item>,
}

impl Mirror {
    /// The revision up to which the mirror is complete; 0 where nothing was read.
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

    /// The items below a prefix, with the rest of their keys.
    pub fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Item)> {
        self.items
            .range(prefix.to_owned()..)
            .map_while(move |(key, item)| Some((key.strip_prefix(prefix)?, item)))
    }

    /// Takes in all items of the store as of a revision; false where more is known already.
    ///
    /// Items that were read later than that revision are kept as they were read: the changes up to
    /// them follow, and are passed over.
    pub fn replace(&mut self, revision: u64, items: BTreeMap<String, Item>) -> bool {
        if revision < self.revision || (revision == self.revision && self.revision > 0) {
            return false;
        }
        let mut items = items;
        for (key, known) in &self.items {
            let newer = known.revision > revision;
            if newer
                && items
                    .get(key)
                    .is_none_or(|item| item.revision < known.revision)
            {
                items.insert(key.clone(), known.clone());
            }
        }
        self.revision = revision;
        self.items = items;
        true
    }

    /// Takes in the changes up to a revision; whether any was new.
    pub fn apply(&mut self, revision: u64, changes: Vec<Change>) -> bool {
        let mut changed = false;
        for change in changes {
            let known = self.items.get(&change.key).map_or(0, |item| item.revision);
            if change.revision <= known || change.revision <= self.revision {
                continue;
            }
            changed = true;
            let (key, revision) = (change.key, change.revision);
            match change.value {
                Some(value) => _ = self.items.insert(key, Item { revision, value }),
                None => _ = self.items.remove(&key),
            }
        }
        self.revision = self.revision.max(revision);
        changed
    }
}
