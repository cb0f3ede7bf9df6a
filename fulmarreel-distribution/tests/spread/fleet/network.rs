//! The network between nodes and the store: delay, loss, cuts, traffic, and the queue between
//! regions.

use fastrand::Rng;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Delay of a packet within a region.
const SAME_REGION_DELAY: Duration = Duration::from_millis(1);

/// Delay of a packet between regions.
const CROSS_REGION_DELAY: Duration = Duration::from_millis(20);

/// Bandwidth from one region to another in bytes per second: 60 Mbit/s.
const CROSS_REGION_BYTES_PER_SECOND: f64 = 7_500_000.0;

/// A kind of message, for counting traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Contact,
    Revision,
    Pull,
    Update,
    Store,
}

/// Number of messages and bytes.
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
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Nodes that are cut off from all others and the store.
    pub cut: BTreeSet<usize>,
    /// Regions that are cut off from the other regions.
    pub cut_regions: BTreeSet<usize>,
    /// When the queue from one region to another will be empty.
    busy_until: BTreeMap<(usize, usize), Instant>,
    /// Traffic that each node sent.
    pub sent: Vec<BTreeMap<Kind, Traffic>>,
    /// Traffic that each node received.
    pub received: Vec<BTreeMap<Kind, Traffic>>,
    /// Traffic by whether the message stayed within a region.
    pub links: BTreeMap<(bool, Kind), Traffic>,
}

/// A sender or receiver: a node or the store.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
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
            busy_until: BTreeMap::new(),
            sent: vec![BTreeMap::new(); nodes],
            received: vec![BTreeMap::new(); nodes],
            links: BTreeMap::new(),
        }
    }

    /// Whether packets pass between two endpoints.
    pub fn passes(&self, one: Endpoint, other: Endpoint) -> bool {
        let is_cut =
            |endpoint: Endpoint| endpoint.node.is_some_and(|node| self.cut.contains(&node));
        let in_other_region = one.region != other.region;
        let is_region_cut =
            |endpoint: Endpoint| in_other_region && self.cut_regions.contains(&endpoint.region);
        ![one, other]
            .into_iter()
            .any(|endpoint| is_cut(endpoint) || is_region_cut(endpoint))
    }

    pub fn is_lost(&self, rng: &mut Rng) -> bool {
        self.loss > 0.0 && rng.f64() < self.loss
    }

    /// The delay of a small packet.
    pub fn delay(&self, from: Endpoint, to: Endpoint) -> Duration {
        if from.region == to.region {
            SAME_REGION_DELAY
        } else {
            CROSS_REGION_DELAY
        }
    }

    /// Counts a message and returns its travel time.
    pub fn send(
        &mut self,
        from: Endpoint,
        to: Endpoint,
        kind: Kind,
        bytes: usize,
        now: Instant,
    ) -> Duration {
        let in_same_region = from.region == to.region;
        self.links
            .entry((in_same_region, kind))
            .or_default()
            .add(bytes);
        if let Some(node) = from.node {
            self.sent[node].entry(kind).or_default().add(bytes);
        }
        if let Some(node) = to.node {
            self.received[node].entry(kind).or_default().add(bytes);
        }
        let delay = self.delay(from, to);
        if in_same_region {
            return delay;
        }
        let busy_until = self
            .busy_until
            .entry((from.region, to.region))
            .or_insert(now);
        *busy_until = now.max(*busy_until)
            + Duration::from_secs_f64(bytes as f64 / CROSS_REGION_BYTES_PER_SECOND);
        delay + busy_until.duration_since(now)
    }

    /// Resets the traffic counts.
    pub fn reset_traffic(&mut self) {
        for traffic in self.sent.iter_mut().chain(&mut self.received) {
            traffic.clear();
        }
        self.links.clear();
    }
}
