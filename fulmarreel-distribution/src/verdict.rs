//! Versions that were taken back: a set that only grows, so that it spreads by itself.

use fulmarreel_wire::sync;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// A version that was taken back under one revision of a service's document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Verdict {
    /// The service.
    pub service: String,
    /// The document's revision.
    pub revision: u64,
    /// The version.
    pub version: String,
}

/// Every verdict that is known.
#[derive(Debug, Default)]
pub struct Verdicts {
    verdicts: BTreeSet<Verdict>,
}

impl Verdicts {
    /// Takes a verdict in; false where it is known.
    pub fn offer(&mut self, verdict: &Verdict) -> bool {
        self.verdicts.insert(verdict.clone())
    }

    /// Whether a version was taken back under a document's revision.
    pub fn contains(&self, verdict: &Verdict) -> bool {
        self.verdicts.contains(verdict)
    }

    /// Every verdict.
    pub fn iter(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter()
    }

    /// A hash of the set.
    pub fn hash(&self) -> u64 {
        let hashes = self.verdicts.iter().map(|verdict| {
            let text = format!(
                "{} {} {}",
                verdict.service, verdict.revision, verdict.version
            );
            xxh3_64(text.as_bytes())
        });
        hashes.fold(0, u64::wrapping_add)
    }
}

impl From<&Verdict> for sync::Verdict {
    fn from(verdict: &Verdict) -> Self {
        Self {
            service: verdict.service.clone(),
            revision: verdict.revision,
            version: verdict.version.clone(),
        }
    }
}

impl From<sync::Verdict> for Verdict {
    fn from(verdict: sync::Verdict) -> Self {
        Self {
            service: verdict.service,
            revision: verdict.revision,
            version: verdict.version,
        }
    }
}
