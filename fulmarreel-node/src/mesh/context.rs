//! The state that all parts of the node share.

use super::{
    boot_clock,
    era::{
        self,
        nodes::{FormerItems, FormerNodes},
    },
    view::{Location, View},
};
use crate::state::unix_millis;
use fulmarreel_distribution::{
    CopyFreshness, CopyProof, Mirror, Readers, StoreContact,
    copy_proof::StoreCall,
    mirror::{self, Change, Item},
};
use fulmarreel_platform::{Settings, store};
use fulmarreel_store::Revision;
use fulmarreel_wire::mirror::Update;
use serde::de::DeserializeOwned;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock},
    time::{Duration, Instant},
};

/// How long before the process ends the requests that still wait are given up: time to hear from another
/// node whether they have run, and to send their responses.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// The state that all parts of the node share.
#[derive(Debug)]
pub struct Context {
    settings: RwLock<Arc<Settings>>,
    /// When this process started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// The client of the platform's store.
    pub store: store::Client,
    /// A copy of the store's items.
    mirror: Mutex<Mirror>,
    /// The mirror, decoded for routing.
    view: RwLock<Arc<View>>,
    /// When the process ends at the latest; set once it has been told to stop.
    end: OnceLock<Instant>,
    /// Closed once the process has been told to stop; carries nothing.
    stop_signal: (Sender<()>, Receiver<()>),
    /// How recent the mirror is.
    copy_freshness: Mutex<CopyFreshness>,
    /// As of when the mirror is proved complete.
    copy_proof: Mutex<CopyProof>,
    /// This node's own contact with the store.
    contact: Mutex<StoreContact>,
    /// The nodes of this region that read the store, and whether this one does.
    readers: Mutex<Readers>,
    /// Signals that this node became a reader of the store or is one no longer.
    reader_role_changed: (Sender<()>, Receiver<()>),
    /// Signals that the store has answered a read.
    store_responded: (Sender<()>, Receiver<()>),
    /// Signals that the own zone was evacuated or taken back.
    zone_changed: (Sender<()>, Receiver<()>),
}

impl Context {
    /// The state at the start of the process, when only the settings are known.
    pub fn new(settings: Settings) -> Self {
        let readers = Readers::new(settings.peer_address, boot_clock::now(), fastrand::f64());
        Self {
            started_at_ms: unix_millis(),
            store: store::Client::new(settings.store_address, store::Options::default()),
            settings: RwLock::new(Arc::new(settings)),
            mirror: Mutex::default(),
            view: RwLock::default(),
            end: OnceLock::new(),
            stop_signal: bounded(1),
            copy_freshness: Mutex::default(),
            copy_proof: Mutex::default(),
            contact: Mutex::default(),
            readers: Mutex::new(readers),
            reader_role_changed: bounded(1),
            store_responded: bounded(1),
            zone_changed: bounded(1),
        }
    }

    /// The active settings.
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&self.settings.read().expect("settings lock"))
    }

    /// Replaces the settings; addresses that are bound stay bound as they are.
    pub fn reload(&self, settings: Settings) {
        let mut current = self.settings.write().expect("settings lock");
        if **current != settings {
            log::info!(service = settings.service.as_str(); "settings reloaded");
            *current = Arc::new(settings);
        }
    }

    /// The current routing view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().expect("view lock"))
    }

    /// The store revision of the mirror; 0 until the store was read.
    pub fn revision(&self) -> u64 {
        self.mirror.lock().expect("mirror lock").revision()
    }

    /// Reads from the mirror.
    pub fn read<T>(&self, read: impl FnOnce(&Mirror) -> T) -> T {
        read(&self.mirror.lock().expect("mirror lock"))
    }

    /// The decoded value of a key in the mirror; `None` if it is absent or malformed.
    pub fn decode<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.read(|mirror| serde_json::from_slice(&mirror.get(key)?.value).ok())
    }

    /// Replaces the mirror's content by all items of the store as of a revision.
    pub fn replace(&self, revision: u64, items: BTreeMap<String, Item>) {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let former = former_items(&mirror, revision);
        if mirror.replace(revision, items) {
            self.rebuild_view(&mirror, former);
        }
    }

    /// Applies the store's changes up to a revision to the mirror.
    pub fn apply(&self, revision: u64, changes: Vec<Change>) {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        if mirror.apply(revision, changes) {
            self.rebuild_view(&mirror, None);
        }
    }

    /// Applies an update from a peer to the mirror.
    ///
    /// # Errors
    ///
    /// The update does not fit the mirror, which then stays as it was.
    pub fn apply_update(&self, update: Update) -> Result<(), mirror::Error> {
        let mut mirror = self.mirror.lock().expect("mirror lock");
        let former = former_items(&mirror, update.up_to_revision);
        if mirror.apply_update(update)? {
            self.store.record_peer_revision(Revision(mirror.revision()));
            self.rebuild_view(&mirror, former);
        }
        Ok(())
    }

    /// Records that the mirror has just received all that the store had when it answered `call`.
    pub fn mark_up_to_date(&self, call: &StoreCall, has_events: bool) {
        let now = boot_clock::now();
        self.copy_proof()
            .record(call.answered_as_of(has_events, now));
        self.copy_freshness().confirm_now(now);
        self.mark_contact();
        // Fails if a signal is pending, which is enough.
        let _ = self.store_responded.0.try_send(());
    }

    /// Records a sign that the store answers this node.
    pub fn mark_contact(&self) {
        let now = boot_clock::now();
        self.contact
            .lock()
            .expect("contact lock")
            .record_response(now);
        self.readers().record_response(now);
    }

    /// Records that a call to the store has failed.
    pub fn mark_store_failure(&self) {
        self.readers().record_failure(boot_clock::now());
    }

    /// Whether this node is a reader of the store, is in contact with it, and is not stopping.
    pub fn is_reader_in_contact(&self) -> bool {
        let contact = self.contact.lock().expect("contact lock");
        let in_contact = contact.is_in_contact(boot_clock::now());
        drop(contact);
        in_contact && self.is_reader() && !self.is_stopping()
    }

    /// Waits until the store answers a read.
    pub async fn wait_for_store_response(&self) {
        // Cannot fail: the sender lives as long as the receiver.
        let _ = self.store_responded.1.recv().await;
    }

    /// Waits until the own zone was evacuated or taken back, or became known to be in service.
    pub async fn wait_zone_changed(&self) {
        // Cannot fail: the sender lives as long as the receiver.
        let _ = self.zone_changed.1.recv().await;
    }

    /// Records the store revision that another node knows.
    pub fn record_peer_revision(&self, revision: u64) {
        self.copy_freshness()
            .record_peer_revision(revision, boot_clock::now());
    }

    /// The earliest time that a message of that age, received now, may refer to. A pause of this
    /// process, during which the message may have been queued, is taken into account.
    pub fn time_of(&self, age: Duration) -> Option<Instant> {
        self.copy_freshness()
            .earliest_time_of(age, boot_clock::now())
    }

    /// Records that the mirror holds everything that the store had at `time`, as given by
    /// [`Context::time_of`].
    pub fn confirm_known_as_of(&self, time: Instant) {
        self.copy_freshness().confirm_as_of(time);
    }

    /// How long ago the mirror held all that the store had; `None` if it never did.
    pub fn contact_age(&self) -> Option<Duration> {
        self.copy_freshness().age(boot_clock::now())
    }

    /// Whether the age of the mirror has to be proved: the configuration has accounts, or is not known.
    pub fn needs_proof(&self) -> bool {
        let view = self.view();
        let table = view.table.as_ref();
        table.is_none_or(|table| !table.accounts.is_empty())
    }

    /// Records that no notice was unread at some time not before `checked_at`.
    pub fn record_empty_notice_queue(&self, checked_at: Instant) {
        self.copy_proof().record_empty_queue(checked_at);
    }

    /// The earliest time to which a notice read now can refer, if its content was `age` old when it was
    /// sent.
    pub fn earliest_time_of_notice(&self, age: Duration) -> Option<Instant> {
        self.copy_proof().earliest_time_of_notice(age)
    }

    /// Records that a reader which knew the store up to `revision` knew all that the store had at
    /// `time`, as given by [`Context::earliest_time_of_notice`]. The mirror has to hold that revision.
    pub fn prove_known_as_of(&self, time: Instant, revision: u64) {
        let view = self.view();
        let table = view.table.as_ref();
        // The reader proved that time only if its configuration has accounts too.
        if table.is_some_and(|table| !table.accounts.is_empty() && table.revision <= revision) {
            self.copy_proof().record(time);
        }
    }

    /// What this node tells others of its mirror: when at the latest the mirror is known to have held
    /// all that the store had, and its revision.
    pub fn announced_knowledge(&self) -> (Option<Instant>, u64) {
        let now = boot_clock::now();
        let proved = self.copy_proof().complete_as_of();
        let confirmed = self
            .copy_freshness()
            .age(now)
            .and_then(|age| now.checked_sub(age));
        // Read after the times, as it rises first: what is known of a revision holds for a later one.
        let revision = self.revision();
        let as_of = if self.needs_proof() {
            proved
        } else {
            confirmed
        };
        (as_of, revision)
    }

    /// Whether the mirror is proved recent enough to accept requests with API keys: a key that it holds
    /// was not removed longer ago than the limit for revocations.
    pub fn is_proved(&self) -> bool {
        let limit = self.settings().revocation_limit;
        self.copy_proof().allows_keys(limit, boot_clock::now())
    }

    /// How long ago the mirror is proved to have held all that the store had; `None` if it never was.
    pub fn proof_age(&self) -> Option<Duration> {
        self.copy_proof().age(boot_clock::now())
    }

    /// The highest store revision that this node knows or has lately heard of.
    pub fn highest_heard_revision(&self) -> u64 {
        let heard = self
            .copy_freshness()
            .highest_peer_revision(boot_clock::now());
        heard.max(self.revision())
    }

    /// Whether the mirror is recent enough to reject a request for good.
    pub fn is_current(&self) -> bool {
        let revision = self.revision();
        let is_current = self
            .copy_freshness()
            .is_current(revision, boot_clock::now());
        is_current && (!self.needs_proof() || self.is_proved())
    }

    /// Records whether another node of the region read the store at a time.
    pub fn record_reader(&self, reader: SocketAddr, is_reading: bool, at: Instant) {
        let mut readers = self.readers();
        if is_reading {
            readers.record_reader(reader, at);
        } else {
            readers.remove_reader(reader);
        }
    }

    /// Decides whether this node reads the store for its region from now on.
    pub fn update_reader_role(&self) {
        self.copy_freshness().observe(boot_clock::now());
        self.release_held_entries();
        let view = self.view();
        let region_nodes = view.nodes.iter().filter(|node| node.1);
        let members: Vec<SocketAddr> = region_nodes.map(|node| node.0).collect();
        let lags = self.highest_heard_revision() > self.revision();
        let mut readers = self.readers();
        let was_reader = readers.reads();
        let reads = if self.is_stopping() {
            readers.stop_reading()
        } else {
            readers.decide(&members, lags, boot_clock::now())
        };
        if reads != was_reader {
            log::info!(reads, lags; "reader of the store");
            // Fails if a signal is pending, which is enough.
            let _ = self.reader_role_changed.0.try_send(());
        }
    }

    /// Whether this node is one of its region's readers of the store.
    pub fn is_reader(&self) -> bool {
        self.readers().reads()
    }

    /// Waits until [`Context::is_reader`] returns `wanted`.
    pub async fn wait_reader_role(&self, wanted: bool) {
        while self.is_reader() != wanted {
            // Cannot fail: the sender lives as long as the receiver.
            let _ = self.reader_role_changed.1.recv().await;
        }
    }

    /// Records that the process has been told to stop, and ends at `end` at the latest.
    pub fn stop(&self, end: Instant) {
        // Fails if an end is set already, which then stays.
        let _ = self.end.set(end);
        self.stop_signal.0.close();
    }

    /// Waits until shortly before the process ends, when responses can still be sent.
    pub async fn wait_until_nearly_ended(&self) {
        // Fails once the channel is closed.
        let _ = self.stop_signal.1.recv().await;
        match self.end() {
            Some(end) => {
                Timer::at(end - LAST_RESPONSE_TIME).await;
            }
            None => std::future::pending().await,
        }
    }

    /// When the process ends at the latest; `None` until it has been told to stop.
    pub fn end(&self) -> Option<Instant> {
        self.end.get().copied()
    }

    /// Whether the process has been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.end.get().is_some()
    }

    /// Rebuilds the view without the nodes' entries of an earlier era of the store once they are no longer
    /// in force.
    fn release_held_entries(&self) {
        let until = self.view().held_until;
        if until.is_some_and(|until| Instant::now() >= until) {
            let mirror = self.mirror.lock().expect("mirror lock");
            self.rebuild_view(&mirror, None);
        }
    }

    fn copy_freshness(&self) -> MutexGuard<'_, CopyFreshness> {
        self.copy_freshness.lock().expect("copy freshness lock")
    }

    fn copy_proof(&self) -> MutexGuard<'_, CopyProof> {
        self.copy_proof.lock().expect("copy proof lock")
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().expect("readers lock")
    }

    /// Rebuilds the view from the mirror; `former` is what the mirror had if it has entered a new era of
    /// the store.
    fn rebuild_view(&self, mirror: &Mirror, former: Option<FormerItems>) {
        let settings = self.settings();
        let own = Location {
            zone: &settings.zone,
            region: &settings.region,
        };
        let last = self.view();
        let former_nodes = match former {
            Some(items) => {
                let known = last.former_nodes.as_deref();
                let former = FormerNodes::new(items, known, mirror, Instant::now());
                Some(Arc::new(former))
            }
            None => last.former_nodes.clone(),
        };
        let view = View::new(mirror, own, &last, former_nodes);
        let is_zone_changed = view.is_in_service(own.zone) != last.is_in_service(own.zone);
        *self.view.write().expect("view lock") = Arc::new(view);
        if is_zone_changed {
            // Fails if a signal is pending, which is enough.
            let _ = self.zone_changed.0.try_send(());
        }
    }
}

/// The items of a mirror to compare with, if `revision` is of a later era of the store than its own.
fn former_items(mirror: &Mirror, revision: u64) -> Option<FormerItems> {
    let is_new_era = mirror.revision() > 0 && era::of(revision) > era::of(mirror.revision());
    is_new_era.then(|| FormerItems::new(mirror))
}
