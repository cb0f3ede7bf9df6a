//! The documents, rollout states and verdicts that nodes distribute among themselves.

use super::{Entry, PublishedRollout, State, Verdict};
use crate::telemetry::{Decision, decision::Kind};
use fulmarreel_distribution::{
    VersionedEntries,
    catalog::{self, InactiveReason},
    readiness::Unready,
    versioned_entries::Difference,
};
use fulmarreel_store::keys;
use fulmarreel_wire::sync::BUCKETS;
use smol::channel::Receiver;
use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Entries and verdicts that are new to this node and may be passed on to others.
#[derive(Debug, Default)]
pub struct Updates {
    /// Entries of the store.
    pub entries: Vec<Entry>,
    /// Verdicts by which a version is rolled back ("taken back" in names and logs).
    pub verdicts: Vec<Verdict>,
}

impl Updates {
    /// Whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.verdicts.is_empty()
    }
}

/// Why a node does not serve yet, or why a document's newest revision is not active.
#[derive(Debug, Clone)]
pub enum Reason {
    /// The node has not received enough from the store or from peers since its start.
    Unready(Unready),
    /// A service's newest document is not active.
    Inactive(InactiveReason),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unready(unready) => unready.fmt(f),
            Self::Inactive(InactiveReason::Malformed { revision, reason }) => {
                write!(f, "revision {revision} is refused: {reason}")
            }
            Self::Inactive(InactiveReason::Waiting { revision, missing }) => {
                write!(f, "revision {revision} waits")?;
                missing
                    .iter()
                    .try_for_each(|missing| write!(f, ": {missing}"))
            }
        }
    }
}

impl State {
    /// Applies entries and verdicts; returns those that were new to this node.
    pub fn apply_updates(&self, entries: &[Entry], verdicts: &[Verdict]) -> Updates {
        let mut updates = Updates::default();
        {
            let mut known = self.entries.lock().expect("entries lock");
            for entry in entries {
                if is_distributed(&entry.key) && known.offer(entry) {
                    updates.entries.push(entry.clone());
                }
            }
        }
        {
            let mut known = self.verdicts.lock().expect("verdicts lock");
            let new = verdicts.iter().filter(|verdict| known.offer(verdict));
            updates.verdicts = new.cloned().collect();
        }
        for entry in &updates.entries {
            self.apply_entry(entry);
        }
        for verdict in &updates.verdicts {
            Decision {
                version: Some(&verdict.version),
                revision: Some(verdict.revision),
                ..Decision::new(Kind::Shift, &verdict.service, "the version is taken back")
            }
            .log();
        }
        if !updates.is_empty() {
            self.rebuild();
        }
        updates
    }

    /// Rolls a version back under a document's revision: applies the verdict against it and sends the
    /// verdict to all nodes, for which the store is not needed. Returns false if the verdict was known
    /// already.
    pub fn take_back(&self, verdict: &Verdict) -> bool {
        let updates = self.apply_updates(&[], std::slice::from_ref(verdict));
        let new = !updates.is_empty();
        self.queue_broadcast(updates);
        new
    }

    /// Whether this verdict is known.
    pub fn is_taken_back(&self, verdict: &Verdict) -> bool {
        let verdicts = self.verdicts.lock().expect("verdicts lock");
        verdicts.contains(verdict)
    }

    /// The latest well-formed published state of a service's rollout.
    pub fn published_rollout(&self, service: &str) -> Option<PublishedRollout> {
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        rollouts.get(service).cloned()
    }

    /// Services whose newest document revision is not active, and why.
    pub fn held(&self) -> BTreeMap<String, Reason> {
        let documents = self.documents.lock().expect("documents lock");
        let inactive = documents.inactive();
        inactive
            .map(|(service, reason)| (service.to_owned(), Reason::Inactive(reason.clone())))
            .collect()
    }

    /// Queues updates to be sent to all nodes.
    pub(crate) fn queue_broadcast(&self, updates: Updates) {
        if !updates.is_empty() {
            // The queue is unbounded, and its receiver lives as long as the state.
            let _ = self.broadcasts.0.try_send(updates);
        }
    }

    /// The queue of updates that are to be sent to all nodes.
    pub(crate) fn broadcasts(&self) -> &Receiver<Updates> {
        &self.broadcasts.1
    }

    /// Applies the store's complete listing of a prefix, in which a missing entry is a deleted one;
    /// returns what was new to this node.
    pub(crate) fn apply_listing(&self, prefix: &str, revision: u64, entries: &[Entry]) -> Updates {
        let deletions = {
            let known = self.entries.lock().expect("entries lock");
            known.deletions(prefix, revision, entries)
        };
        let mut all = entries.to_vec();
        all.extend(deletions);
        self.apply_updates(&all, &[])
    }

    /// Records for readiness that everything in the store has been read.
    pub(crate) fn record_store_read(&self) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        readiness.record_store_read();
    }

    /// Records for readiness that a ready peer has sent all that it knows.
    pub(crate) fn record_peer_synced(&self, peer: SocketAddr) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        readiness.record_peer_synced(peer);
    }

    /// Whether a comparison with this peer would bring this node closer to readiness.
    pub(crate) fn needs_peer(&self, peer: SocketAddr) -> bool {
        let readiness = self.readiness.lock().expect("readiness lock");
        readiness.wants_peers() && !readiness.is_peer_synced(peer)
    }

    /// Records that this node, a watcher of its region, is in contact with the store.
    pub(crate) fn record_store_contact(&self) {
        let mut watcher_contact = self.watcher_contact.lock().expect("watcher contact lock");
        watcher_contact.record_own_contact(Instant::now());
    }

    /// How long ago any region's watcher was last in contact with the store, as far as known.
    pub fn store_contact_age(&self) -> Option<Duration> {
        let watcher_contact = self.watcher_contact.lock().expect("watcher contact lock");
        watcher_contact.age(Instant::now())
    }

    /// Records that a region's watcher was in contact with the store `age_ms` ago.
    pub(super) fn record_remote_contact(&self, age_ms: u32) {
        let mut watcher_contact = self.watcher_contact.lock().expect("watcher contact lock");
        watcher_contact.record_remote_contact(Duration::from_millis(age_ms.into()), Instant::now());
    }

    /// Hashes of the entries, one for each bucket of keys.
    pub(crate) fn buckets(&self) -> [u64; BUCKETS] {
        self.with_entries(VersionedEntries::buckets)
    }

    /// The buckets whose hashes differ from a peer's, with this node's keys in them and their
    /// revisions.
    pub(crate) fn differing_buckets(&self, theirs: &[u64]) -> (Vec<u8>, Vec<(String, u64)>) {
        self.with_entries(|known| {
            let buckets = known.differing(theirs);
            let keys = known.summary(&buckets).into_iter();
            let keys = keys.map(|(key, revision)| (key.to_owned(), revision));
            let keys = keys.collect();
            (buckets, keys)
        })
    }

    /// Which entries of some buckets a peer lacks, and which this node lacks.
    pub(crate) fn compare_entries(
        &self,
        buckets: &[u8],
        theirs: &BTreeMap<String, u64>,
    ) -> Difference {
        self.with_entries(|known| known.compare(buckets, theirs))
    }

    /// The entries of some keys.
    pub(crate) fn entries(&self, keys: &[String]) -> Vec<Entry> {
        self.with_entries(|known| {
            let entries = keys.iter().filter_map(|key| known.get(key));
            entries.cloned().collect()
        })
    }

    /// All known verdicts.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let verdicts = self.verdicts.lock().expect("verdicts lock");
        verdicts.iter().cloned().collect()
    }

    pub(crate) fn verdicts_hash(&self) -> u64 {
        self.verdicts.lock().expect("verdicts lock").hash()
    }

    /// A hash of all entries and verdicts.
    pub(super) fn entries_hash(&self) -> u64 {
        let verdicts = self.verdicts_hash();
        self.with_entries(VersionedEntries::hash)
            .wrapping_add(verdicts)
    }

    fn with_entries<T>(&self, read: impl FnOnce(&VersionedEntries) -> T) -> T {
        read(&self.entries.lock().expect("entries lock"))
    }

    fn apply_entry(&self, entry: &Entry) {
        let revision = entry.revision;
        if let Some(service) = entry.key.strip_prefix(keys::DOCUMENTS) {
            let mut documents = self.documents.lock().expect("documents lock");
            match documents.offer(service, revision, entry.value.as_deref()) {
                catalog::OfferResult::Accepted => {
                    log::info!(service, revision; "document received");
                }
                catalog::OfferResult::Outdated => {}
                catalog::OfferResult::Malformed(error) => {
                    log::error!(service, revision; "document rejected: {error}");
                }
            }
        } else if let Some(service) = entry.key.strip_prefix(keys::MOVES) {
            let mut rollouts = self.rollouts.lock().expect("rollouts lock");
            if !rollouts.offer(service, entry) {
                log::error!(service, revision; "state of a move rejected: it is no JSON object");
            }
        }
    }
}

/// Whether a store key is one whose entries nodes distribute among themselves.
fn is_distributed(key: &str) -> bool {
    key.starts_with(keys::DOCUMENTS) || key.starts_with(keys::MOVES)
}
