//! One node's process: the product's decisions, and what the node does with them.

use fulmarreel_distribution::{
    self as distribution, Announcement, Knowledge, Mirror, Readers, backoff::Backoff,
};
use fulmarreel_wire::notice::Contact;
use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

const MIN_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Learning from peers, one task at a time.
#[derive(Debug)]
pub struct Task {
    /// Whom to ask, in this order, as long as the revision is not known.
    pub peers: VecDeque<usize>,
    pub revision: u64,
    /// What is to be confirmed and passed on after that.
    pub contact: Option<(Contact, Option<Instant>)>,
}

/// Where the loop that reads the store is.
#[derive(Debug, PartialEq, Eq)]
pub enum Reading {
    /// It waits for the node to become a reader.
    Idle,
    /// A call is under way; its number.
    Call(u64),
    /// It pauses after a change (true) or a failure.
    Pause(bool),
}

#[derive(Debug)]
pub struct Node {
    pub address: SocketAddr,
    pub region: usize,
    /// Counts the starts; none runs where it is not `up`.
    pub process: u32,
    pub up: bool,
    pub frozen: bool,
    pub mirror: Mirror,
    pub knowledge: Knowledge,
    pub readers: Readers,
    pub near: Vec<SocketAddr>,
    pub far: Vec<SocketAddr>,
    pub contact: distribution::Contact,
    pub announcement: Announcement,
    pub gossip: Instant,
    pub tasks: VecDeque<Task>,
    /// The pull that is under way: its number and whom it asks.
    pub pulling: Option<(u64, usize)>,
    pub reading: Reading,
    pub has_connection: bool,
    pub backoff: Backoff,
    /// When the node got this revision first, from revision 1 on; for the experiment.
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
            knowledge: Knowledge::default(),
            readers: Readers::new(address, now, spread),
            near: Vec::new(),
            far: Vec::new(),
            contact: distribution::Contact::default(),
            announcement: Announcement::default(),
            gossip: now,
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
        self.contact.holds(now) && self.readers.reads()
    }

    pub fn lags(&self, now: Instant) -> bool {
        self.knowledge.heard(now) > self.revision()
    }

    pub fn is_current(&self, now: Instant) -> bool {
        self.knowledge.is_current(self.revision(), now)
    }
}
