//! The published states of moves to new versions.

use fulmarreel_distribution::Entry;
use std::{collections::BTreeMap, sync::Arc};

/// The published state of a service's move, as its owner wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The store's revision.
    pub revision: u64,
    /// The value.
    pub value: Arc<[u8]>,
}

/// The latest well-formed state of each service's move.
#[derive(Debug, Default)]
pub(super) struct Moves {
    newest: BTreeMap<String, u64>,
    published: BTreeMap<String, Published>,
}

impl Moves {
    /// Takes an entry in unless a newer one is known; false where its value is malformed.
    pub(super) fn take(&mut self, service: &str, entry: &Entry) -> bool {
        let newest = self.newest.entry(service.to_owned()).or_default();
        if *newest >= entry.revision {
            return true;
        }
        *newest = entry.revision;
        let Some(value) = &entry.value else {
            self.published.remove(service);
            return true;
        };
        if !well_formed(value) {
            return false;
        }
        let published = Published {
            revision: entry.revision,
            value: Arc::clone(value),
        };
        self.published.insert(service.to_owned(), published);
        true
    }

    pub(super) fn get(&self, service: &str) -> Option<&Published> {
        self.published.get(service)
    }
}

fn well_formed(value: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(value).is_ok()
}
