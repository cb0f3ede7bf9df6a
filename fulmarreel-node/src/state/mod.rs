//! A node's knowledge of documents and members, and the snapshot of it by which calls are routed.

mod documents;
mod members;
mod published;
pub mod traffic;
mod view;

use crate::{
    Settings,
    telemetry::{Decision, decision::Kind},
};
use fastrand::Rng;
use fulmarreel_distribution::{
    Catalog, Entry, Verdict, Verdicts, VersionedEntries, comparison::ComparisonSchedule,
    readiness::Readiness, watcher_contact::WatcherContact,
};
use fulmarreel_membership::{Group, Incarnation, OutgoingDatagram, Record};
use published::PublishedRollouts;
use smol::channel::{Receiver, Sender, unbounded};
use std::{
    sync::{Arc, Mutex, RwLock, atomic::AtomicBool},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

pub use documents::{Reason, Updates};
pub use published::PublishedRollout;
pub use traffic::Traffic;
pub use view::{Candidate, Service, View};

/// What a node knows of documents, rollouts, verdicts and members.
///
/// Each part has its own lock. Each change builds a new [`View`] and then replaces the old one, so
/// that a call sees the same state from start to end. Code that takes several locks takes that of
/// the documents first and that of the members last.
#[derive(Debug)]
pub struct State {
    /// The settings that the node was started with.
    pub settings: Settings,
    /// When this process started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// When this process started, on the monotonic clock.
    pub started: Instant,
    /// Counters of control traffic since the start.
    pub traffic: Traffic,
    documents: Mutex<Catalog>,
    entries: Mutex<VersionedEntries>,
    verdicts: Mutex<Verdicts>,
    rollouts: Mutex<PublishedRollouts>,
    readiness: Mutex<Readiness>,
    watcher_contact: Mutex<WatcherContact>,
    comparison_schedule: Mutex<ComparisonSchedule>,
    /// When this node's target last announced itself, if it has one.
    announced_at: Mutex<Option<Instant>>,
    /// Whether this node has completed a comparison with a peer.
    compared: AtomicBool,
    members: Mutex<Group>,
    view: RwLock<Arc<View>>,
    /// Queue of updates for all nodes.
    broadcasts: (Sender<Updates>, Receiver<Updates>),
    /// Queue of gossip datagrams.
    datagrams: (
        Sender<Vec<OutgoingDatagram>>,
        Receiver<Vec<OutgoingDatagram>>,
    ),
}

impl State {
    /// The state of a node that has just started and knows only its settings.
    pub fn new(settings: Settings) -> Self {
        let (started_at_ms, now) = (unix_millis(), Instant::now());
        let own = Record {
            address: settings.advertise,
            incarnation: Incarnation {
                started_at_ms,
                sequence: 0,
            },
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            target: None,
            watcher: false,
        };
        let seeds = settings.seeds.clone();
        let members = Group::new(own, seeds, Rng::new(), now);
        Self {
            settings,
            started_at_ms,
            started: now,
            traffic: Traffic::default(),
            documents: Mutex::default(),
            entries: Mutex::default(),
            verdicts: Mutex::default(),
            rollouts: Mutex::default(),
            readiness: Mutex::new(Readiness::new(now)),
            watcher_contact: Mutex::default(),
            comparison_schedule: Mutex::new(ComparisonSchedule::new(now)),
            announced_at: Mutex::default(),
            compared: AtomicBool::new(false),
            members: Mutex::new(members),
            view: RwLock::default(),
            broadcasts: unbounded(),
            datagrams: unbounded(),
        }
    }

    /// The current view, by which calls are routed.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("view lock"))
    }

    /// Checks that the node knows enough to serve.
    ///
    /// # Errors
    ///
    /// Names what the node still waits for.
    pub fn ready(&self) -> Result<(), Reason> {
        let readiness = self.readiness.lock().expect("readiness lock");
        readiness.check(Instant::now()).map_err(Reason::Unready)
    }

    /// Builds a view of the current state and replaces the old view by it.
    fn rebuild(&self) {
        let mut documents = self.documents.lock().expect("documents lock");
        let targets = {
            let members = self.members.lock().expect("members lock");
            view::Targets::collect(members.table())
        };
        for change in documents.activate_ready(&targets.versions()) {
            let reason = match change.revision {
                Some(_) => "active: every service and version that it names has a target",
                None => "deleted",
            };
            Decision {
                revision: change.revision,
                ..Decision::new(Kind::Document, &change.service, reason)
            }
            .log();
        }
        let rollouts = self.rollouts.lock().expect("rollouts lock");
        let verdicts = self.verdicts.lock().expect("verdicts lock");
        let view = View::build(&documents, targets, &rollouts, &verdicts);
        *self.view.write().expect("view lock") = Arc::new(view);
    }
}

/// The current time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
