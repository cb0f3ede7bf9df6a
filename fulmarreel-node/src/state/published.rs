//! The published states of rollouts (`move` in documents and logs).

use fulmarreel_distribution::Entry;
use std::{collections::BTreeMap, sync::Arc};

/// The published state of a service's rollout, as its owner wrote it to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedRollout {
    /// The store's revision of the entry.
    pub revision: u64,
    /// The encoded state: a JSON object.
    pub value: Arc<[u8]>,
}

/// The latest well-formed published state of each service's rollout.
#[derive(Debug, Default)]
pub(super) struct PublishedRollouts {
    /// The highest revision seen of each service's entry, also of malformed and deleted ones.
    latest_revisions: BTreeMap<String, u64>,
    published: BTreeMap<String, PublishedRollout>,
}

impl PublishedRollouts {
    /// Adds an entry unless one as new or newer is known; returns false if its value is malformed.
    pub(super) fn offer(&mut self, service: &str, entry: &Entry) -> bool {
        let latest_revision = self.latest_revisions.entry(service.to_owned()).or_default();
        if *latest_revision >= entry.revision {
            return true;
        }
        *latest_revision = entry.revision;
        let Some(value) = &entry.value else {
            self.published.remove(service);
            return true;
        };
        if !is_json_object(value) {
            return false;
        }
        let published = PublishedRollout {
            revision: entry.revision,
            value: Arc::clone(value),
        };
        self.published.insert(service.to_owned(), published);
        true
    }

    pub(super) fn get(&self, service: &str) -> Option<&PublishedRollout> {
        self.published.get(service)
    }
}

fn is_json_object(value: &[u8]) -> bool {
    serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(value).is_ok()
}
