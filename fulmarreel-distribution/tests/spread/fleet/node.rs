//! One node's process: the decisions of this crate, and the state that the node keeps with them.

use fulmarreel_distribution::{
    AnnouncementSchedule, CopyFreshness, Mirror, Readers, StoreContact, backoff::Backoff,
};
use fulmarreel_wire::notice::ReaderContact;
use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// A revision to get from peers. A node works on one task at a time.
#[derive(Debug)]
pub struct Task {
    /// The peers to ask, in this order, until the revision is known.
    pub peers: VecDeque<usize>,
    pub revision: u64,
    /// The announcement to confirm and forward after that, with the time to which it refers.
    pub contact: Option<(ReaderContact, Option<Instant>)>,
}

/// State of the loop that reads the store.
#[derive(Debug, PartialEq, Eq)]
pub enum Reading {
    /// It waits for the node to become a reader.
    Idle,
    /// A call with this number is under way.
    Call(u64),
    /// It pauses: after a change (true) or after a failure (false).
    Pause(bool),
}

#[derive(Debug)]
pub struct Node {
    pub address: SocketAddr,
    pub region: usize,
    /// Number of the current process, which increases with each start and kill.
    pub process: u32,
    pub up: bool,
    pub frozen: bool,
    pub mirror: Mirror,
    pub copy_freshness: CopyFreshness,
    pub readers: Readers,
    /// The other nodes of the region.
    pub region_peers: Vec<SocketAddr>,
    /// The nodes of other regions.
    pub remote_peers: Vec<SocketAddr>,
    pub contact: StoreContact,
    pub announcement_schedule: AnnouncementSchedule,
    /// When the node reports its revision to random peers next.
    pub next_gossip: Instant,
    pub tasks: VecDeque<Task>,
    /// The pull that is under way: its number and the peer.
    pub pulling: Option<(u64, usize)>,
    pub reading: Reading,
    pub has_connection: bool,
    pub backoff: Backoff,
    /// When the node first knew each revision, from revision 1 on; for measurements.
    pub known_at: Vec<Option<Instant>>,
}

impl Node {
    pub fn new(address: SocketAddr, region: usize, now: Instant, spread: f64) -> Self {
        Self {
            address,
            region,
            process: 0,
            up: true,
            frozen: false,
            mirror: Mirror::default(),
            copy_freshness: CopyFreshness::default(),
            readers: Readers::new(address, now, spread),
            region_peers: Vec::new(),
            remote_peers: Vec::new(),
            contact: StoreContact::default(),
            announcement_schedule: AnnouncementSchedule::default(),
            next_gossip: now,
            tasks: VecDeque::new(),
            pulling: None,
            reading: Reading::Idle,
            has_connection: false,
            backoff: Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
            known_at: Vec::new(),
        }
    }

    pub fn runs(&self) -> bool {
        self.up && !self.frozen
    }

    pub fn revision(&self) -> u64 {
        self.mirror.revision()
    }

    pub fn is_reader(&self, now: Instant) -> bool {
        self.contact.is_in_contact(now) && self.readers.reads()
    }

    pub fn lags(&self, now: Instant) -> bool {
        self.copy_freshness.highest_peer_revision(now) > self.revision()
    }

    pub fn is_current(&self, now: Instant) -> bool {
        self.copy_freshness.is_current(self.revision(), now)
    }
}
