//! All distributed keys at the highest revision seen, including deletions.

use crate::Entry;
use fulmarreel_wire::sync::BUCKETS;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// All distributed keys at the highest revision seen, including deletions.
///
/// The keys are divided into buckets by their hash, so that two nodes only list the keys of buckets
/// that differ.
#[derive(Debug, Default)]
pub struct VersionedEntries {
    entries: BTreeMap<String, Entry>,
    /// A hash of the keys and revisions of each bucket, independent of their order.
    bucket_hashes: [u64; BUCKETS],
}

/// What this side has to send to the other one, and to request from it.
#[derive(Debug, Default)]
pub struct Difference {
    /// Entries that are newer on this side.
    pub send: Vec<Entry>,
    /// Keys whose entries are newer on the other side.
    pub request: Vec<String>,
}

impl VersionedEntries {
    /// Stores an entry. Returns false if a revision at least as high is known.
    pub fn offer(&mut self, entry: &Entry) -> bool {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| known.revision >= entry.revision) {
            return false;
        }
        let bucket = bucket_of(&entry.key);
        let old_hash = known.map_or(0, |known| entry_hash(&known.key, known.revision));
        let new_hash = entry_hash(&entry.key, entry.revision);
        let bucket_hash = &mut self.bucket_hashes[bucket];
        *bucket_hash = bucket_hash.wrapping_sub(old_hash).wrapping_add(new_hash);
        self.entries.insert(entry.key.clone(), entry.clone());
        true
    }

    /// The deletions implied by a complete listing of a prefix at a revision: known keys that the
    /// listing lacks, unless they were written after that revision.
    pub fn deletions(&self, prefix: &str, revision: u64, listed: &[Entry]) -> Vec<Entry> {
        let known = self.entries.range(prefix.to_owned()..);
        known
            .map(|(_, entry)| entry)
            .take_while(|entry| entry.key.starts_with(prefix))
            .filter(|entry| entry.value.is_some() && entry.revision <= revision)
            .filter(|entry| !listed.iter().any(|listed| listed.key == entry.key))
            .map(|entry| Entry {
                key: entry.key.clone(),
                revision,
                value: None,
            })
            .collect()
    }

    /// The entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Every entry, including deletions.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The highest revision of all entries.
    pub fn highest(&self) -> u64 {
        let revisions = self.entries.values().map(|entry| entry.revision);
        revisions.max().unwrap_or(0)
    }

    /// A hash of all keys and revisions, independent of the order in which they arrived.
    pub fn hash(&self) -> u64 {
        self.bucket_hashes
            .iter()
            .copied()
            .fold(0, u64::wrapping_add)
    }

    /// The same hash for each bucket of keys.
    pub fn buckets(&self) -> [u64; BUCKETS] {
        self.bucket_hashes
    }

    /// The buckets whose hashes differ from the other side's.
    pub fn differing(&self, theirs: &[u64]) -> Vec<u8> {
        let differs =
            |index: &u8| theirs.get(usize::from(*index)) != Some(&self.bucket_hash(*index));
        (0..BUCKETS as u8).filter(differs).collect()
    }

    /// The keys of the given buckets, with their revisions.
    pub fn summary(&self, buckets: &[u8]) -> Vec<(&str, u64)> {
        let entries = self.entries.values();
        entries
            .filter(|entry| buckets.contains(&(bucket_of(&entry.key) as u8)))
            .map(|entry| (entry.key.as_str(), entry.revision))
            .collect()
    }

    /// Compares the given buckets with the other side's [`VersionedEntries::summary`] of them.
    pub fn compare(&self, buckets: &[u8], theirs: &BTreeMap<String, u64>) -> Difference {
        let mut difference = Difference::default();
        for (key, revision) in theirs {
            match self.entries.get(key) {
                Some(entry) if entry.revision == *revision => {}
                Some(entry) if entry.revision > *revision => difference.send.push(entry.clone()),
                Some(_) | None => difference.request.push(key.clone()),
            }
        }
        let ours = self.summary(buckets).into_iter();
        let unknown_to_peer = ours.filter(|(key, _)| !theirs.contains_key(*key));
        let entries = unknown_to_peer.filter_map(|(key, _)| self.entries.get(key).cloned());
        difference.send.extend(entries);
        difference
    }

    fn bucket_hash(&self, index: u8) -> u64 {
        self.bucket_hashes[usize::from(index)]
    }
}

fn bucket_of(key: &str) -> usize {
    (xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}

fn entry_hash(key: &str, revision: u64) -> u64 {
    xxh3_64(format!("{key} {revision}").as_bytes())
}
