//! Ways between nodes and the store: delay, loss, cuts, the bytes sent, and the queue between
//! regions.

use fastrand::Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Delay of a packet within a region.
const NEAR: Duration = Duration::from_millis(1);

/// Delay of a packet between regions.
const FAR: Duration = Duration::from_millis(20);

/// Bytes a second from one region to another: 60 Mbit/s.
const FAR_BYTES: f64 = 7_500_000.0;

/// A kind of message, for the account of traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Contact,
    Revision,
    Pull,
    Update,
    Store,
}

/// Messages and bytes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

#[derive(Debug)]
pub struct Network {
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Nodes that reach nobody.
    pub cut: BTreeSet<usize>,
    /// Regions that reach no other region.
    pub cut_regions: BTreeSet<usize>,
    /// When the last byte on its way from one region to another will have been sent.
    busy: BTreeMap<(usize, usize), Instant>,
    /// What each node sent and received.
    pub sent: Vec<BTreeMap<Kind, Traffic>>,
    pub received: Vec<BTreeMap<Kind, Traffic>>,
    /// By whether the message stayed within a region.
    pub links: BTreeMap<(bool, Kind), Traffic>,
}

/// One end of a way.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// None for the store.
    pub node: Option<usize>,
    pub region: usize,
}

impl Network {
    pub fn new(nodes: usize) -> Self {
        Self {
            loss: 0.0,
            cut: BTreeSet::new(),
            cut_regions: BTreeSet::new(),
            busy: BTreeMap::new(),
            sent: vec![BTreeMap::new(); nodes],
            received: vec![BTreeMap::new(); nodes],
            links: BTreeMap::new(),
        }
    }

    /// Whether packets pass between two ends.
    pub fn passes(&self, one: End, other: End) -> bool {
        let is_cut = |end: End| end.node.is_some_and(|node| self.cut.contains(&node));
        let is_far = one.region != other.region;
        let is_apart = |end: End| is_far && self.cut_regions.contains(&end.region);
        ![one, other]
            .into_iter()
            .any(|end| is_cut(end) || is_apart(end))
    }

    pub fn is_lost(&self, rng: &mut Rng) -> bool {
        self.loss > 0.0 && rng.f64() < self.loss
    }

    /// The delay of a small packet.
    pub fn delay(&self, from: End, to: End) -> Duration {
        if from.region == to.region { NEAR } else { FAR }
    }

    /// Accounts for a message and returns how long it is on its way.
    pub fn send(&mut self, from: End, to: End, kind: Kind, bytes: usize, now: Instant) -> Duration {
        let is_near = from.region == to.region;
        self.links.entry((is_near, kind)).or_default().add(bytes);
        if let Some(node) = from.node {
            self.sent[node].entry(kind).or_default().add(bytes);
        }
        if let Some(node) = to.node {
            self.received[node].entry(kind).or_default().add(bytes);
        }
        let delay = self.delay(from, to);
        if is_near {
            return delay;
        }
        let busy = self.busy.entry((from.region, to.region)).or_insert(now);
        *busy = now.max(*busy) + Duration::from_secs_f64(bytes as f64 / FAR_BYTES);
        delay + busy.duration_since(now)
    }

    /// Forgets the account.
    pub fn restart_account(&mut self) {
        for traffic in self.sent.iter_mut().chain(&mut self.received) {
            traffic.clear();
        }
        self.links.clear();
    }
}
