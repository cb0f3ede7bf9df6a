//! The chunks of the last versions of each large item, which allow deltas without keeping old
//! values.

use fastcdc::v2020::FastCDC;
use fulmarreel_wire::mirror::MAX_UPDATE_BYTES;
use std::{
    collections::{BTreeMap, VecDeque},
    ops::Range,
};
use xxhash_rust::xxh3::xxh3_128;

/// Smallest value that is sent as a delta, in bytes.
const MIN_DELTA_VALUE_BYTES: usize = 4 * 1_024;

/// Number of versions of one item whose chunks are kept.
const MAX_VERSIONS: usize = 8;

/// Smallest chunk, in bytes.
const MIN_CHUNK_BYTES: usize = 64;

/// Average chunk, in bytes.
const AVERAGE_CHUNK_BYTES: usize = 256;

/// Largest chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 1_024;

/// A content-defined chunk: a range of a value whose boundaries depend only on the bytes around
/// them.
#[derive(Debug)]
pub(super) struct Chunk {
    /// Its 128-bit XXH3 hash.
    pub(super) hash: u128,
    /// Where it begins, in bytes.
    pub(super) offset: u32,
    /// Its length in bytes.
    pub(super) length: u32,
}

impl Chunk {
    /// Where it is in its value.
    pub(super) fn range(&self) -> Range<usize> {
        let start = self.offset as usize;
        start..start + self.length as usize
    }
}

/// One version of a large item.
#[derive(Debug)]
pub(super) struct Version {
    /// The revision of its write.
    pub(super) revision: u64,
    /// The 128-bit XXH3 hash of its value.
    pub(super) hash: u128,
    /// The chunks of its value, in order.
    pub(super) chunks: Vec<Chunk>,
}

impl Version {
    /// Chunks a value, which must not be longer than [`MAX_UPDATE_BYTES`].
    fn new(revision: u64, value: &[u8]) -> Self {
        let chunks = FastCDC::new(value, MIN_CHUNK_BYTES, AVERAGE_CHUNK_BYTES, MAX_CHUNK_BYTES);
        let chunks = chunks.map(|chunk| Chunk {
            hash: xxh3_128(&value[chunk.offset..chunk.offset + chunk.length]),
            offset: chunk.offset as u32,
            length: chunk.length as u32,
        });
        Self {
            revision,
            hash: xxh3_128(value),
            chunks: chunks.collect(),
        }
    }
}

/// The last versions of each large item.
#[derive(Debug, Default)]
pub(super) struct History {
    versions: BTreeMap<String, VecDeque<Version>>,
}

impl History {
    /// The keys of the large items, in order.
    pub(super) fn keys(&self) -> impl Iterator<Item = &str> {
        self.versions.keys().map(String::as_str)
    }

    /// One version of a large item, if its chunks are kept.
    pub(super) fn get(&self, key: &str, revision: u64) -> Option<&Version> {
        let versions = self.versions.get(key)?;
        versions.iter().find(|version| version.revision == revision)
    }

    /// Adds the current version of an item. If it is not large, drops all versions of the item.
    pub(super) fn insert(&mut self, key: &str, revision: u64, value: &[u8]) {
        if !is_large(value) {
            return self.remove(key);
        }
        if self.get(key, revision).is_some() {
            return;
        }
        let versions = self.versions.entry(key.to_owned()).or_default();
        if versions.len() == MAX_VERSIONS {
            versions.pop_front();
        }
        versions.push_back(Version::new(revision, value));
    }

    /// Drops all versions of an item.
    pub(super) fn remove(&mut self, key: &str) {
        self.versions.remove(key);
    }

    /// Drops the versions of the items that are not kept.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.versions.retain(|key, _| is_kept(key));
    }
}

fn is_large(value: &[u8]) -> bool {
    (MIN_DELTA_VALUE_BYTES..=MAX_UPDATE_BYTES).contains(&value.len())
}
