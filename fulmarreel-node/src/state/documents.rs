//! Distributed entries, verdicts and what they make active.

use super::{Entry, Published, State, Verdict};
use crate::telemetry::{Decision, decision::Kind};
use fulmarreel_distribution::{
    Log,
    catalog::{self, Held},
    log::Difference,
    readiness::Unready,
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

/// What this node is the first to know, and other nodes are to hear.
#[derive(Debug, Default)]
pub struct News {
    /// Entries.
    pub entries: Vec<Entry>,
    /// Verdicts.
    pub verdicts: Vec<Verdict>,
}

impl News {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.verdicts.is_empty()
    }
}

/// Why a node does not serve, or not the newest revision of a document.
#[derive(Debug, Clone)]
pub enum Reason {
    /// The node has not heard enough since its start.
    Unready(Unready),
    /// A service's newest document is not active.
    Held(Held),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unready(unready) => unready.fmt(f),
            Self::Held(Held::Malformed { revision, reason }) => {
                write!(f, "revision {revision} is refused: {reason}")
            }
            Self::Held(Held::Waiting { revision, missing }) => {
                write!(f, "revision {revision} waits")?;
                missing
                    .iter()
                    .try_for_each(|missing| write!(f, ": {missing}"))
            }
        }
    }
}

impl State {
    /// Takes in entries and verdicts; returns those that are news to this node.
    pub fn take(&self, entries: &[Entry], verdicts: &[Verdict]) -> News {
        let mut news = News::default();
        {
            let mut log = self.log.lock().expect("log lock");
            for entry in entries {
                if distributed(&entry.key) && log.offer(entry) {
                    news.entries.push(entry.clone());
                }
            }
        }
        {
            let mut known = self.verdicts.lock().expect("verdicts lock");
            let new = verdicts.iter().filter(|verdict| known.offer(verdict));
            news.verdicts = new.cloned().collect();
        }
        for entry in &news.entries {
            self.apply(entry);
        }
        for verdict in &news.verdicts {
            Decision {
                version: Some(&verdict.version),
                revision: Some(verdict.revision),
                ..Decision::new(Kind::Shift, &verdict.service, "the version is taken back")
            }
            .log();
        }
        if !news.is_empty() {
            self.rebuild();
        }
        news
    }

    /// Says that a version is taken back under a document's revision; spreads by itself, without
    /// the store. False where that is known.
    pub fn take_back(&self, verdict: &Verdict) -> bool {
        let news = self.take(&[], std::slice::from_ref(verdict));
        let new = !news.is_empty();
        self.tell(news);
        new
    }

    /// Whether a version was taken back under a document's revision.
    pub fn is_taken_back(&self, verdict: &Verdict) -> bool {
        let verdicts = self.verdicts.lock().expect("verdicts lock");
        verdicts.contains(verdict)
    }

    /// The latest well-formed published state of a service's move.
    pub fn published_move(&self, service: &str) -> Option<Published> {
        let moves = self.moves.lock().expect("moves lock");
        moves.get(service).cloned()
    }

    /// Services whose newest document is not active, and why.
    pub fn held(&self) -> BTreeMap<String, Reason> {
        let documents = self.documents.lock().expect("documents lock");
        let held = documents.held();
        held.map(|(service, held)| (service.to_owned(), Reason::Held(held.clone())))
            .collect()
    }

    /// Queues what all nodes are to hear.
    pub(crate) fn tell(&self, news: News) {
        if !news.is_empty() {
            // The queue is unbounded, and its receiver lives as long as the state.
            let _ = self.spread.0.try_send(news);
        }
    }

    /// What waits to be told.
    pub(crate) fn told(&self) -> &Receiver<News> {
        &self.spread.1
    }

    /// Takes in a complete listing of a prefix from the store.
    pub(crate) fn take_listing(&self, prefix: &str, revision: u64, entries: &[Entry]) -> News {
        let deletions = {
            let log = self.log.lock().expect("log lock");
            log.deletions(prefix, revision, entries)
        };
        let mut all = entries.to_vec();
        all.extend(deletions);
        self.take(&all, &[])
    }

    /// Notes that everything in the store has been read.
    pub(crate) fn store_heard(&self) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        readiness.store_heard();
    }

    /// Notes that a ready peer has told all that it knows.
    pub(crate) fn peer_heard(&self, peer: SocketAddr) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        readiness.peer_heard(peer);
    }

    /// Whether this node needs that peer's word to get ready.
    pub(crate) fn needs(&self, peer: SocketAddr) -> bool {
        let readiness = self.readiness.lock().expect("readiness lock");
        readiness.wants_peers() && !readiness.has_heard(peer)
    }

    /// Notes that this node, watching for its region, is in contact with the store.
    pub(crate) fn touch_contact(&self) {
        let mut freshness = self.freshness.lock().expect("freshness lock");
        freshness.touch(Instant::now());
    }

    /// How long ago a region's watcher was in contact with the store.
    pub fn contact_age(&self) -> Option<Duration> {
        let freshness = self.freshness.lock().expect("freshness lock");
        freshness.age(Instant::now())
    }

    pub(super) fn hear_contact(&self, age_ms: u32) {
        let mut freshness = self.freshness.lock().expect("freshness lock");
        freshness.hear(Duration::from_millis(age_ms.into()), Instant::now());
    }

    /// Hashes of the entries by group of keys.
    pub(crate) fn buckets(&self) -> [u64; BUCKETS] {
        self.with_log(Log::buckets)
    }

    /// Groups of keys that differ from a peer's, with the own keys in them.
    pub(crate) fn differing(&self, theirs: &[u64]) -> (Vec<u8>, Vec<(String, u64)>) {
        self.with_log(|log| {
            let buckets = log.differing(theirs);
            let keys = log.summary(&buckets).into_iter();
            let keys = keys.map(|(key, revision)| (key.to_owned(), revision));
            let keys = keys.collect();
            (buckets, keys)
        })
    }

    /// What a peer lacks of some groups, and what this node lacks.
    pub(crate) fn compare_entries(
        &self,
        buckets: &[u8],
        theirs: &BTreeMap<String, u64>,
    ) -> Difference {
        self.with_log(|log| log.compare(buckets, theirs))
    }

    /// The entries of some keys.
    pub(crate) fn entries(&self, keys: &[String]) -> Vec<Entry> {
        self.with_log(|log| {
            let entries = keys.iter().filter_map(|key| log.get(key));
            entries.cloned().collect()
        })
    }

    /// Every verdict.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let verdicts = self.verdicts.lock().expect("verdicts lock");
        verdicts.iter().cloned().collect()
    }

    pub(crate) fn verdicts_hash(&self) -> u64 {
        self.verdicts.lock().expect("verdicts lock").hash()
    }

    pub(super) fn entries_hash(&self) -> u64 {
        let verdicts = self.verdicts_hash();
        self.with_log(Log::hash).wrapping_add(verdicts)
    }

    fn with_log<T>(&self, read: impl FnOnce(&Log) -> T) -> T {
        read(&self.log.lock().expect("log lock"))
    }

    fn apply(&self, entry: &Entry) {
        let revision = entry.revision;
        if let Some(service) = entry.key.strip_prefix(keys::DOCUMENTS) {
            let mut documents = self.documents.lock().expect("documents lock");
            match documents.offer(service, revision, entry.value.as_deref()) {
                catalog::Outcome::Taken => {
                    log::info!(service, revision; "document heard");
                }
                catalog::Outcome::Older => {}
                catalog::Outcome::Malformed(error) => {
                    log::error!(service, revision; "document refused: {error}");
                }
            }
        } else if let Some(service) = entry.key.strip_prefix(keys::MOVES) {
            let mut moves = self.moves.lock().expect("moves lock");
            if !moves.take(service, entry) {
                log::error!(service, revision; "state of a move refused: malformed");
            }
        }
    }
}

fn distributed(key: &str) -> bool {
    key.starts_with(keys::DOCUMENTS) || key.starts_with(keys::MOVES)
}
