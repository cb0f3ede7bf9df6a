//! What every part of the node shares.

use super::view::{Place, View};
use crate::state::unix_millis;
use fulmarreel_distribution::{
    Mirror,
    mirror::{Change, Item},
};
use fulmarreel_platform::{Settings, store};
use smol::channel::{Receiver, Sender, bounded};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, OnceLock, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// What every part of the node shares.
#[derive(Debug)]
pub struct World {
    settings: RwLock<Arc<Settings>>,
    /// When this process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// The platform's store.
    pub store: store::Client,
    mirror: Mutex<Mirror>,
    view: RwLock<Arc<View>>,
    /// When the process ends at the latest, once it has been told to.
    end: OnceLock<Instant>,
    /// When the store answered last with all that it had.
    contact: Mutex<Option<Instant>>,
    /// The highest revision that a peer said it knows.
    heard: AtomicU64,
    /// Word that a peer knows more of the store than the store has told.
    behind: (Sender<()>, Receiver<()>),
}

impl World {
    /// A node that knows nothing but its settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            boot: unix_millis(),
            store: store::Client::new(settings.store, store::Options::default()),
            settings: RwLock::new(Arc::new(settings)),
            mirror: Mutex::default(),
            view: RwLock::default(),
            end: OnceLock::new(),
            contact: Mutex::default(),
            heard: AtomicU64::default(),
            behind: bounded(1),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read().expect("settings lock"))
    }

    /// Takes further settings; addresses stay as they were bound.
    pub fn reload(&self, settings: Settings) {
        let mut present = self.settings.write().expect("settings lock");
        if **present != settings {
            log::info!(service = settings.service.as_str(); "settings reloaded");
            *present = Arc::new(settings);
        }
    }

    /// What requests are routed by.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("view lock"))
    }

    /// The revision up to which the store is known.
    pub fn revision(&self) -> u64 {
        self.mirror.lock().expect("mirror lock").revision()
    }

    /// Reads what the node knows of the store.
    pub fn read<T>(&self, read: impl FnOnce(&Mirror) -> T) -> T {
        read(&self.mirror.lock().expect("mirror lock"))
    }

    /// Takes in all items of the store as of a revision.
    pub fn replace(&self, revision: u64, items: BTreeMap<String, Item>) {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        if mirror.replace(revision, items) {
            self.rebuild(&mirror);
        }
    }

    /// Takes in the changes up to a revision.
    pub fn apply(&self, revision: u64, changes: Vec<Change>) {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        if mirror.apply(revision, changes) {
            self.rebuild(&mirror);
        }
    }

    /// Notes that the store has just told all that it had.
    pub fn touch(&self) {
        *self.contact.lock().expect("contact lock") = Some(Instant::now());
    }

    /// How long ago the store told all that it had; none where it never did.
    pub fn contact_age(&self) -> Option<Duration> {
        let contact = *self.contact.lock().expect("contact lock");
        contact.map(|contact| contact.elapsed())
    }

    /// Takes in up to which revision a peer knows the store.
    pub fn hear(&self, revision: u64) {
        self.heard.fetch_max(revision, Ordering::AcqRel);
    }

    /// The highest revision of the store that is known to exist.
    pub fn heard(&self) -> u64 {
        self.heard.load(Ordering::Acquire).max(self.revision())
    }

    /// Notes that a peer knows more of the store than the store has told this node.
    pub fn fall_behind(&self) {
        // One word that waits is enough.
        let _ = self.behind.0.try_send(());
    }

    /// Waits for such word.
    pub async fn is_behind(&self) {
        // The sender lives as long as the receiver.
        let _ = self.behind.1.recv().await;
    }

    /// Notes that the process ends, at `end` at the latest.
    pub fn stop(&self, end: Instant) {
        // A second signal changes nothing.
        let _ = self.end.set(end);
    }

    /// When the process ends at the latest, once it has been told to.
    pub fn end(&self) -> Option<Instant> {
        self.end.get().copied()
    }

    /// Whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.end.get().is_some()
    }

    fn rebuild(&self, mirror: &Mirror) {
        let settings = self.settings();
        let place = Place {
            zone: &settings.zone,
            region: &settings.region,
        };
        let last = self.view();
        let view = View::of(mirror, place, &last);
        *self.view.write().expect("view lock") = Arc::new(view);
    }
}
