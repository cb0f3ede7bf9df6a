//! Items, revisions, leases and the history.

use serde::Serialize;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// An item as it is sent.
#[derive(Debug, Clone, Serialize)]
pub struct Item {
    pub key: String,
    pub value: String,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

/// A change as it is sent.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Change {
    Put(Item),
    Removed {
        key: String,
        revision: u64,
        removed: bool,
    },
}

/// The whole contents.
#[derive(Debug)]
pub struct Data {
    pub revision: u64,
    pub compacted: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Default for Data {
    fn default() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            items: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl Change {
    fn place(&self) -> (&str, u64) {
        match self {
            Self::Put(item) => (&item.key, item.revision),
            Self::Removed { key, revision, .. } => (key, *revision),
        }
    }
}

impl Data {
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    pub fn keys(&self) -> Vec<String> {
        self.items.keys().cloned().collect()
    }

    /// Items below a prefix, after a key, and whether there are more than `page`.
    pub fn range(&self, prefix: &str, after: &str, page: usize) -> (Vec<Item>, bool) {
        let below = self.items.range(prefix.to_owned()..);
        let below = below.take_while(|(key, _)| key.starts_with(prefix));
        let mut items: Vec<Item> = below
            .filter(|(key, _)| key.as_str() > after)
            .map(|(_, item)| item.clone())
            .collect();
        let truncated = page > 0 && items.len() > page;
        if truncated {
            items.truncate(page);
        }
        (items, truncated)
    }

    pub fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        self.write(key, value, lease);
        self.revision
    }

    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.delete(key);
    }

    /// Writes at the present revision.
    pub fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change::Put(item));
    }

    /// Deletes at the present revision.
    pub fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Change::Removed {
                key: key.to_owned(),
                revision: self.revision,
                removed: true,
            });
        }
    }

    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Change> {
        let later = self.history.iter().filter(|change| {
            let (key, revision) = change.place();
            revision > after && key.starts_with(prefix)
        });
        later.cloned().collect()
    }

    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    pub fn grant(&mut self, ttl: Duration) -> u64 {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        lease
    }

    pub fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    pub fn renew(&mut self, lease: u64) -> Option<Duration> {
        let (ttl, until) = self.leases.get_mut(&lease)?;
        *until = Instant::now() + *ttl;
        Some(*ttl)
    }

    pub fn end(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held = self.items.values().filter(|item| item.lease == lease);
        let keys: Vec<String> = held.map(|item| item.key.clone()).collect();
        for key in keys.iter().filter(|_| known) {
            self.remove(key);
        }
        known
    }

    pub fn expire(&mut self, now: Instant) {
        let lapsed = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let lapsed: Vec<u64> = lapsed.map(|(lease, _)| *lease).collect();
        for lease in lapsed {
            self.end(lease);
        }
    }
}
