//! Versions that were rolled back: a set that only grows, so that nodes can merge it in any order.

use fulmarreel_wire::sync;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// The decision that a version was rolled back, for one revision of a service's document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Verdict {
    /// The service.
    pub service: String,
    /// The document's revision.
    pub revision: u64,
    /// The version.
    pub version: String,
}

/// All known verdicts.
#[derive(Debug, Default)]
pub struct Verdicts {
    verdicts: BTreeSet<Verdict>,
}

impl Verdicts {
    /// Adds a verdict. Returns false if it is known.
    pub fn offer(&mut self, verdict: &Verdict) -> bool {
        self.verdicts.insert(verdict.clone())
    }

    /// Whether a version was rolled back for a document's revision.
    pub fn contains(&self, verdict: &Verdict) -> bool {
        self.verdicts.contains(verdict)
    }

    /// Every verdict.
    pub fn iter(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter()
    }

    /// A hash of the set, independent of its order.
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
