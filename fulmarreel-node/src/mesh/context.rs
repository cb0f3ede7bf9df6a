//! What every part of the node shares.

use super::view::{Place, View};
use crate::state::unix_millis;
use fulmarreel_distribution::{
    Contact, Knowledge, Mirror, Readers,
    mirror::{self, Change, Item},
};
use fulmarreel_platform::{Settings, store};
use fulmarreel_wire::mirror::Update;
use serde::de::DeserializeOwned;
use smol::channel::{Receiver, Sender, bounded};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock},
    time::{Duration, Instant},
};

/// What every part of the node shares.
#[derive(Debug)]
pub struct Context {
    settings: RwLock<Arc<Settings>>,
    /// When this process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// The platform's store.
    pub store: store::Client,
    mirror: Mutex<Mirror>,
    view: RwLock<Arc<View>>,
    /// When the process ends at the latest, once it has been told to.
    end: OnceLock<Instant>,
    knowledge: Mutex<Knowledge>,
    contact: Mutex<Contact>,
    readers: Mutex<Readers>,
    /// Signals that this node begins or ceases to read the store.
    duty: (Sender<()>, Receiver<()>),
    /// Signals that the store has told something new.
    news: (Sender<()>, Receiver<()>),
}

impl Context {
    /// A node that knows nothing but its settings.
    pub fn new(settings: Settings) -> Self {
        let readers = Readers::new(settings.peers, Instant::now(), fastrand::f64());
        Self {
            boot: unix_millis(),
            store: store::Client::new(settings.store, store::Options::default()),
            settings: RwLock::new(Arc::new(settings)),
            mirror: Mutex::default(),
            view: RwLock::default(),
            end: OnceLock::new(),
            knowledge: Mutex::default(),
            contact: Mutex::default(),
            readers: Mutex::new(readers),
            duty: bounded(1),
            news: bounded(1),
        }
    }

    /// The active settings.
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

    /// The value of a key as far as the store is known; none where it cannot be read.
    pub fn decoded<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.read(|mirror| serde_json::from_slice(&mirror.get(key)?.value).ok())
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

    /// Takes in what a peer knows beyond this node.
    ///
    /// # Errors
    ///
    /// The update does not fit what is known, which then stays as it was.
    pub fn take(&self, update: Update) -> Result<(), mirror::Error> {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        if mirror.take(update)? {
            self.rebuild(&mirror);
        }
        Ok(())
    }

    /// Notes that the store has just told all that it had.
    pub fn touch(&self) {
        self.knowledge().touch(Instant::now());
        self.mark_contact();
        // One signal that waits is enough.
        let _ = self.news.0.try_send(());
    }

    /// Notes a sign that the store answers this node.
    pub fn mark_contact(&self) {
        let now = Instant::now();
        self.contact.lock().expect("contact lock").mark(now);
        self.readers().touch(now);
    }

    /// Notes that a call to the store has failed.
    pub fn miss(&self) {
        self.readers().miss(Instant::now());
    }

    /// Whether this node reads the store and is in contact with it.
    pub fn is_reader(&self) -> bool {
        let contact = self.contact.lock().expect("contact lock");
        let holds = contact.holds(Instant::now());
        drop(contact);
        holds && self.reads() && !self.is_stopping()
    }

    /// Waits until the store has told something.
    pub async fn news(&self) {
        // The sender lives as long as the receiver.
        let _ = self.news.1.recv().await;
    }

    /// Takes in up to which revision another node knows the store.
    pub fn hear(&self, revision: u64) {
        self.knowledge().hear(revision, Instant::now());
    }

    /// The time to which a message of that age refers at the latest, where it is received now.
    pub fn date(&self, age: Duration) -> Option<Instant> {
        self.knowledge().date(age, Instant::now())
    }

    /// Takes in that everything the store had at a time is known here.
    pub fn confirm(&self, date: Instant) {
        self.knowledge().confirm(date);
    }

    /// How long ago this node knew all that the store had; none where it never did.
    pub fn contact_age(&self) -> Option<Duration> {
        self.knowledge().age(Instant::now())
    }

    /// The highest revision of the store that is known to exist.
    pub fn heard(&self) -> u64 {
        let heard = self.knowledge().heard(Instant::now());
        heard.max(self.revision())
    }

    /// Whether what this node knows of the store is recent enough to turn a request away for good.
    pub fn is_current(&self) -> bool {
        let revision = self.revision();
        self.knowledge().is_current(revision, Instant::now())
    }

    /// Takes in whether another node of the region read the store at that time.
    pub fn hear_reader(&self, reader: SocketAddr, reads: bool, at: Instant) {
        let mut readers = self.readers();
        if reads {
            readers.hear(reader, at);
        } else {
            readers.forget(reader);
        }
    }

    /// Decides anew whether this node reads the store for its region.
    pub fn decide_duty(&self) {
        self.knowledge().observe(Instant::now());
        let view = self.view();
        let near = view.nodes.iter().filter(|node| node.1);
        let members: Vec<SocketAddr> = near.map(|node| node.0).collect();
        let lags = self.heard() > self.revision();
        let mut readers = self.readers();
        let before = readers.reads();
        let reads = if self.is_stopping() {
            readers.leave()
        } else {
            readers.decide(&members, lags, Instant::now())
        };
        if reads != before {
            log::info!(reads, lags; "reader of the store");
            // One signal that waits is enough.
            let _ = self.duty.0.try_send(());
        }
    }

    /// Whether this node reads the store.
    pub fn reads(&self) -> bool {
        self.readers().reads()
    }

    /// Waits until this node reads the store, or until it does not.
    pub async fn reading(&self, wanted: bool) {
        while self.reads() != wanted {
            // The sender lives as long as the receiver.
            let _ = self.duty.1.recv().await;
        }
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

    fn knowledge(&self) -> MutexGuard<'_, Knowledge> {
        self.knowledge.lock().expect("knowledge lock")
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().expect("readers lock")
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
