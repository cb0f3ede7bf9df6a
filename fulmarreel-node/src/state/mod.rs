//! What a node believes, and the view of it that calls are routed by.

mod view;

use crate::Settings;
use fulmarreel_distribution::{Catalog, catalog};
use fulmarreel_membership::{Incarnation, Record, Table, Target};
use std::{
    sync::{Arc, Mutex, RwLock},
    time::{SystemTime, UNIX_EPOCH},
};

pub use view::{Candidate, Service, View};

/// What a node believes.
///
/// Documents and members change under locks of their own; each change builds a new [`View`] aside
/// and swaps it in, so that a call sees one state from start to end.
#[derive(Debug)]
pub struct State {
    /// The settings that the node was started with.
    pub settings: Settings,
    /// When this process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    members: Mutex<Table>,
    documents: Mutex<Catalog>,
    view: RwLock<Arc<View>>,
}

impl State {
    /// The state of a node that knows nothing but its settings.
    pub fn new(settings: Settings) -> Self {
        let state = Self {
            settings,
            boot: unix_millis(),
            members: Mutex::default(),
            documents: Mutex::default(),
            view: RwLock::default(),
        };
        state.announce(None);
        state
    }

    /// The view to route by.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("view lock"))
    }

    /// Records what the node's own target said of itself.
    pub fn announce(&self, target: Option<Target>) {
        let own = self.settings.advertise;
        {
            let mut members = self.members.lock().expect("members lock");
            let known = members.records().find(|record| record.address == own);
            if known.is_some_and(|known| known.target == target) {
                return;
            }
            let sequence = known.map_or(0, |known| known.incarnation.sequence + 1);
            members.merge(&Record {
                address: own,
                incarnation: Incarnation {
                    boot: self.boot,
                    sequence,
                },
                zone: self.settings.zone.clone(),
                region: self.settings.region.clone(),
                target,
            });
        }
        self.rebuild();
    }

    /// Takes in records that a peer passed on.
    pub fn merge(&self, records: &[Record]) {
        let changed = {
            let mut members = self.members.lock().expect("members lock");
            let mut changed = false;
            for record in records {
                let foreign = record.address != self.settings.advertise;
                changed |= foreign && members.merge(record);
            }
            changed
        };
        if changed {
            self.rebuild();
        }
    }

    /// Whether the node's own target is of that service and version, and takes calls.
    pub fn has_target(&self, service: &str, version: &str) -> bool {
        let members = self.members.lock().expect("members lock");
        let own = members
            .records()
            .find(|record| record.address == self.settings.advertise)
            .and_then(|record| record.target.as_ref());
        own.is_some_and(|own| own.service == service && own.version == version && !own.leaving)
    }

    /// Every known record.
    pub fn records(&self) -> Vec<Record> {
        let members = self.members.lock().expect("members lock");
        members.records().cloned().collect()
    }

    /// Offers a document's value at a revision.
    pub fn offer(&self, service: &str, revision: u64, value: Option<&str>) -> catalog::Outcome {
        let outcome = {
            let mut documents = self.documents.lock().expect("documents lock");
            documents.offer(service, revision, value)
        };
        if matches!(outcome, catalog::Outcome::Taken) {
            self.rebuild();
        }
        outcome
    }

    fn rebuild(&self) {
        let documents = self.documents.lock().expect("documents lock");
        let members = self.members.lock().expect("members lock");
        let view = View::build(&documents, &members);
        *self.view.write().expect("view lock") = Arc::new(view);
    }
}

/// The current time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
