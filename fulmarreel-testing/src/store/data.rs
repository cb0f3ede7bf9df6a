//! The contents of the fake store: keys, revisions, leases and the history of changes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// A key with its value and revisions.
#[derive(Debug, Clone, Default)]
pub struct Pair {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    /// The revision that created the key.
    pub created: u64,
    /// The revision of the last write.
    pub modified: u64,
    /// Number of writes since the key was created.
    pub version: u64,
    /// The id of the lease that the key is attached to; 0 for none.
    pub lease: i64,
}

/// One change. In a deletion, only `key` and `modified` of the pair are set.
#[derive(Debug, Clone)]
pub struct Change {
    pub delete: bool,
    pub pair: Pair,
}

/// A granted lease.
#[derive(Debug)]
pub struct Lease {
    /// Time to live in seconds.
    pub ttl: u64,
    expires_at: Instant,
}

/// The contents of the store.
#[derive(Debug)]
pub struct Data {
    pub revision: u64,
    /// Watches from this revision or an earlier one are canceled, reads of earlier ones fail.
    pub compacted: u64,
    pub history: Vec<Change>,
    pub leases: BTreeMap<i64, Lease>,
    pairs: BTreeMap<Vec<u8>, Pair>,
    next_lease: i64,
}

impl Default for Data {
    fn default() -> Self {
        // An empty etcd starts at revision 1.
        Self {
            revision: 1,
            compacted: 0,
            history: Vec::new(),
            leases: BTreeMap::new(),
            pairs: BTreeMap::new(),
            next_lease: 1,
        }
    }
}

/// Whether `key` is in the range that etcd's `key` (`start`) and `range_end` (`end`) select.
pub fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}

impl Data {
    pub fn get(&self, key: &[u8]) -> Option<&Pair> {
        self.pairs.get(key)
    }

    /// The pairs of a range as of `revision`, rebuilt from the history if the revision is not the current
    /// one.
    pub fn range(&self, start: &[u8], end: &[u8], revision: u64) -> Vec<Pair> {
        let mut pairs = BTreeMap::new();
        if revision >= self.revision {
            pairs.clone_from(&self.pairs);
        } else {
            for change in self
                .history
                .iter()
                .take_while(|change| change.pair.modified <= revision)
            {
                if change.delete {
                    pairs.remove(&change.pair.key);
                } else {
                    pairs.insert(change.pair.key.clone(), change.pair.clone());
                }
            }
        }
        pairs
            .into_values()
            .filter(|pair| in_range(&pair.key, start, end))
            .collect()
    }

    /// Writes at `revision`, which the caller makes current once all changes of the request are made.
    pub fn put(&mut self, key: &[u8], value: &[u8], lease: i64, revision: u64) {
        let old = self.pairs.get(key);
        let pair = Pair {
            key: key.to_vec(),
            value: value.to_vec(),
            created: old.map_or(revision, |old| old.created),
            modified: revision,
            version: old.map_or(0, |old| old.version) + 1,
            lease,
        };
        self.pairs.insert(key.to_vec(), pair.clone());
        self.history.push(Change {
            delete: false,
            pair,
        });
    }

    /// Deletes a range at `revision`; returns the number of deleted keys.
    pub fn delete(&mut self, start: &[u8], end: &[u8], revision: u64) -> usize {
        let keys: Vec<_> = self
            .pairs
            .keys()
            .filter(|key| in_range(key, start, end))
            .cloned()
            .collect();
        for key in &keys {
            self.pairs.remove(key);
            let pair = Pair {
                key: key.clone(),
                modified: revision,
                ..Pair::default()
            };
            self.history.push(Change { delete: true, pair });
        }
        keys.len()
    }

    /// Grants a lease with a time to live in seconds; returns its id.
    pub fn grant(&mut self, ttl: u64) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(
            id,
            Lease {
                ttl,
                expires_at: Instant::now() + Duration::from_secs(ttl),
            },
        );
        id
    }

    /// Renews a lease; returns its time to live in seconds, or 0 for an unknown lease.
    pub fn keep_alive(&mut self, id: i64) -> u64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = Instant::now() + Duration::from_secs(lease.ttl);
            lease.ttl
        })
    }

    /// Revokes a lease and deletes its keys; returns whether the lease was known.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<_> = self
            .pairs
            .values()
            .filter(|pair| pair.lease == id)
            .map(|pair| pair.key.clone())
            .collect();
        if !keys.is_empty() {
            let revision = self.revision + 1;
            for key in &keys {
                self.delete(key, &[], revision);
            }
            self.revision = revision;
        }
        true
    }

    /// Revokes the leases that have expired by `now`; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.revoke(*id);
        }
        !expired.is_empty()
    }

    /// Compacts up to the current revision. The history is kept, for stale reads.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
    }
}
