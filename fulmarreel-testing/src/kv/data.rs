//! The contents of the fake store: items, revisions, leases and the history of changes.

use serde::Serialize;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// An item, in its JSON form.
#[derive(Debug, Clone, Serialize)]
pub struct Item {
    pub key: String,
    pub value: String,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

/// A change, in its JSON form.
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

/// The contents of the store.
#[derive(Debug, Clone)]
pub struct Data {
    pub revision: u64,
    /// The history up to and including this revision is gone.
    pub compacted: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// Time to live and expiry time of each lease, by id.
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
    fn key_and_revision(&self) -> (&str, u64) {
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

    /// Whether anything was written or granted since the other contents.
    pub fn differs(&self, other: &Self) -> bool {
        (self.revision, self.next_lease) != (other.revision, other.next_lease)
    }

    pub fn keys(&self) -> Vec<String> {
        self.items.keys().cloned().collect()
    }

    /// The items with a prefix whose keys sort after `after`, and whether there are more than `page`; a
    /// `page` of 0 returns all.
    pub fn range(&self, prefix: &str, after: &str, page: usize) -> (Vec<Item>, bool) {
        let matching = self.items.range(prefix.to_owned()..);
        let matching = matching.take_while(|(key, _)| key.starts_with(prefix));
        let mut items: Vec<Item> = matching
            .filter(|(key, _)| key.as_str() > after)
            .map(|(_, item)| item.clone())
            .collect();
        let truncated = page > 0 && items.len() > page;
        if truncated {
            items.truncate(page);
        }
        (items, truncated)
    }

    /// Writes a key at a new revision, which it returns.
    pub fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        self.put_at_current_revision(key, value, lease);
        self.revision
    }

    /// Deletes a key at a new revision.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.remove_at_current_revision(key);
    }

    /// Writes a key at the current revision.
    pub fn put_at_current_revision(&mut self, key: &str, value: String, lease: u64) {
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

    /// Deletes a key at the current revision.
    pub fn remove_at_current_revision(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Change::Removed {
                key: key.to_owned(),
                revision: self.revision,
                removed: true,
            });
        }
    }

    /// The changes of keys with a prefix that came later than revision `after`.
    pub fn changes(&self, prefix: &str, after: u64) -> Vec<Change> {
        let later = self.history.iter().filter(|change| {
            let (key, revision) = change.key_and_revision();
            revision > after && key.starts_with(prefix)
        });
        later.cloned().collect()
    }

    /// Drops the history.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    /// Grants a lease; returns its id.
    pub fn grant(&mut self, ttl: Duration) -> u64 {
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        lease
    }

    pub fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Renews a lease; returns its time to live, or `None` for an unknown lease.
    pub fn renew(&mut self, lease: u64) -> Option<Duration> {
        let (ttl, expires_at) = self.leases.get_mut(&lease)?;
        *expires_at = Instant::now() + *ttl;
        Some(*ttl)
    }

    /// Revokes a lease and deletes its keys; returns whether the lease was known.
    pub fn revoke(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held = self.items.values().filter(|item| item.lease == lease);
        let keys: Vec<String> = held.map(|item| item.key.clone()).collect();
        for key in keys.iter().filter(|_| known) {
            self.remove(key);
        }
        known
    }

    /// Starts the time to live of every lease again, as a store does that has just started.
    pub fn restart_leases(&mut self, now: Instant) {
        for (ttl, expires_at) in self.leases.values_mut() {
            *expires_at = now + *ttl;
        }
    }

    /// Revokes every lease that has expired by `now`.
    pub fn expire(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }
}
