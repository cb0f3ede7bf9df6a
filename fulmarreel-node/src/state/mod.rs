//! What a node believes, and the view of it that calls are routed by.

mod documents;
mod members;
mod shift;
pub mod traffic;
mod view;

use crate::{
    Settings,
    telemetry::{Decision, decision::Kind},
};
use fastrand::Rng;
use fulmarreel_distribution::{
    Catalog, Entry, Log, Verdict, Verdicts, freshness::Freshness, pace::Pace, readiness::Readiness,
};
use fulmarreel_membership::{Group, Incarnation, Outgoing, Record};
use shift::Moves;
use smol::channel::{Receiver, Sender, unbounded};
use std::{
    sync::{Arc, Mutex, RwLock, atomic::AtomicBool},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

pub use documents::{News, Reason};
pub use shift::Published;
pub use traffic::Traffic;
pub use view::{Candidate, Service, View};

/// What a node believes.
///
/// Each part changes under a lock of its own; each change builds a new [`View`] aside and swaps it
/// in, so that a call sees one state from start to end. Where two locks are taken, the documents'
/// comes first and the members' last.
#[derive(Debug)]
pub struct State {
    /// The settings that the node was started with.
    pub settings: Settings,
    /// When this process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// When this process started, on the clock that deadlines are counted by.
    pub started: Instant,
    /// Control traffic since the start.
    pub traffic: Traffic,
    documents: Mutex<Catalog>,
    log: Mutex<Log>,
    verdicts: Mutex<Verdicts>,
    moves: Mutex<Moves>,
    readiness: Mutex<Readiness>,
    freshness: Mutex<Freshness>,
    pace: Mutex<Pace>,
    announced: Mutex<Option<Instant>>,
    met: AtomicBool,
    members: Mutex<Group>,
    view: RwLock<Arc<View>>,
    spread: (Sender<News>, Receiver<News>),
    datagrams: (Sender<Vec<Outgoing>>, Receiver<Vec<Outgoing>>),
}

impl State {
    /// The state of a node that knows nothing but its settings.
    pub fn new(settings: Settings) -> Self {
        let (boot, now) = (unix_millis(), Instant::now());
        let own = Record {
            address: settings.advertise,
            incarnation: Incarnation { boot, sequence: 0 },
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            target: None,
            watcher: false,
        };
        let seeds = settings.seeds.clone();
        let members = Group::new(own, seeds, Rng::new(), now);
        Self {
            settings,
            boot,
            started: now,
            traffic: Traffic::default(),
            documents: Mutex::default(),
            log: Mutex::default(),
            verdicts: Mutex::default(),
            moves: Mutex::default(),
            readiness: Mutex::new(Readiness::new(now)),
            freshness: Mutex::default(),
            pace: Mutex::new(Pace::new(now)),
            announced: Mutex::default(),
            met: AtomicBool::new(false),
            members: Mutex::new(members),
            view: RwLock::default(),
            spread: unbounded(),
            datagrams: unbounded(),
        }
    }

    /// The view to route by.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("view lock"))
    }

    /// Whether the node knows enough to serve.
    ///
    /// # Errors
    ///
    /// What it still waits for.
    pub fn ready(&self) -> Result<(), Reason> {
        let readiness = self.readiness.lock().expect("readiness lock");
        readiness.check(Instant::now()).map_err(Reason::Unready)
    }

    /// Builds a view of what is believed now and swaps it in.
    fn rebuild(&self) {
        let mut documents = self.documents.lock().expect("documents lock");
        let targets = {
            let members = self.members.lock().expect("members lock");
            view::Targets::collect(members.table())
        };
        for change in documents.settle(&targets.known()) {
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
        let moves = self.moves.lock().expect("moves lock");
        let verdicts = self.verdicts.lock().expect("verdicts lock");
        let view = View::build(&documents, targets, &moves, &verdicts);
        *self.view.write().expect("view lock") = Arc::new(view);
    }
}

/// The current time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
