//! Every distributed key at the highest revision that was seen, deletions included.

use crate::Entry;
use fulmarreel_wire::sync::BUCKETS;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Every distributed key at the highest revision that was seen, deletions included.
#[derive(Debug, Default)]
pub struct Log {
    entries: BTreeMap<String, Entry>,
    buckets: [u64; BUCKETS],
}

/// What the other side lacks, and what this side lacks.
#[derive(Debug, Default)]
pub struct Difference {
    /// Entries that are newer here.
    pub send: Vec<Entry>,
    /// Keys whose entries are newer there.
    pub want: Vec<String>,
}

impl Log {
    /// Takes an entry in; false where a revision at least as high is known.
    pub fn offer(&mut self, entry: &Entry) -> bool {
        let known = self.entries.get(&entry.key);
        if known.is_some_and(|known| known.revision >= entry.revision) {
            return false;
        }
        let bucket = bucket(&entry.key);
        let gone = known.map_or(0, |known| hash(&known.key, known.revision));
        let come = hash(&entry.key, entry.revision);
        let sum = &mut self.buckets[bucket];
        *sum = sum.wrapping_sub(gone).wrapping_add(come);
        self.entries.insert(entry.key.clone(), entry.clone());
        true
    }

    /// The deletions that a complete listing of a prefix at a revision reveals: known keys that it
    /// lacks. Keys written after that revision are left alone.
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

    /// Every entry, deletions included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The highest revision of all entries.
    pub fn highest(&self) -> u64 {
        let revisions = self.entries.values().map(|entry| entry.revision);
        revisions.max().unwrap_or(0)
    }

    /// A hash of keys and revisions, whatever order they came in.
    pub fn hash(&self) -> u64 {
        self.buckets.iter().copied().fold(0, u64::wrapping_add)
    }

    /// The same by groups of keys.
    pub fn buckets(&self) -> [u64; BUCKETS] {
        self.buckets
    }

    /// The groups whose hashes differ.
    pub fn differing(&self, theirs: &[u64]) -> Vec<u8> {
        let differs = |index: &u8| theirs.get(usize::from(*index)) != Some(&self.at(*index));
        (0..BUCKETS as u8).filter(differs).collect()
    }

    /// Keys and revisions of some groups.
    pub fn summary(&self, buckets: &[u8]) -> Vec<(&str, u64)> {
        let entries = self.entries.values();
        entries
            .filter(|entry| buckets.contains(&(bucket(&entry.key) as u8)))
            .map(|entry| (entry.key.as_str(), entry.revision))
            .collect()
    }

    /// Compares some groups with the other side's summary of them.
    pub fn compare(&self, buckets: &[u8], theirs: &BTreeMap<String, u64>) -> Difference {
        let mut difference = Difference::default();
        for (key, revision) in theirs {
            match self.entries.get(key) {
                Some(entry) if entry.revision == *revision => {}
                Some(entry) if entry.revision > *revision => difference.send.push(entry.clone()),
                Some(_) | None => difference.want.push(key.clone()),
            }
        }
        let ours = self.summary(buckets).into_iter();
        let unknown = ours.filter(|(key, _)| !theirs.contains_key(*key));
        let entries = unknown.filter_map(|(key, _)| self.entries.get(key).cloned());
        difference.send.extend(entries);
        difference
    }

    fn at(&self, index: u8) -> u64 {
        self.buckets[usize::from(index)]
    }
}

fn bucket(key: &str) -> usize {
    (xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}

fn hash(key: &str, revision: u64) -> u64 {
    xxh3_64(format!("{key} {revision}").as_bytes())
}
