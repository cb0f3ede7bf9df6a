//! The membership protocol of one node: it takes datagrams and the time, and returns datagrams to
//! send.

mod cross_zone;
mod own;
mod receive;
mod tick;

use crate::{
    Claim, Record, Status, Table, gossip_queue::GossipQueue, loss_limiter::LossLimiter,
    probe::Prober,
};
use cross_zone::CrossZoneQueue;
use fastrand::Rng;
use fulmarreel_wire::gossip::Kind;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Interval between two calls of [`Group::tick`].
pub const TICK: Duration = Duration::from_millis(50);

/// Time between two probes of a member of the zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two pings from a relay to another zone.
const CROSS_ZONE_PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two pings to a seed address while other nodes are known.
const SEED_PING_INTERVAL: Duration = Duration::from_secs(10);

/// How long a suspect has to refute the suspicion before it is declared gone.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Gap between two ticks beyond which this process is considered to have been paused, so that it
/// may have missed datagrams.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// How long the record of a node that is gone is kept.
const GONE_RETENTION: Duration = Duration::from_secs(3_600);

/// Largest number of records in one datagram, which keeps it below the MTU.
const RECORDS_PER_DATAGRAM: usize = 8;

/// Largest number of claims from one exchange with another zone that are still gossiped.
const MAX_GOSSIPED_EXCHANGE_CLAIMS: usize = 64;

/// Largest number of claims about other suspects of the receiver's zone in one datagram to another
/// zone.
const MAX_SUSPECTS: usize = 5;

/// Number of random peers of the zone that receive gossip at each tick.
const GOSSIP_FAN_OUT: usize = 3;

/// Number of peers that are asked to ping a member that did not answer a direct ping.
const INDIRECT_PROBES: usize = 3;

/// One probe in this many goes to a member that is believed gone, which may only have been cut off.
const GONE_PROBE_EVERY: u32 = 4;

/// A datagram to send; the node adds its digest.
#[derive(Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver.
    pub to: SocketAddr,
    /// The purpose of the datagram.
    pub kind: Kind,
    /// The claims that it carries.
    pub claims: Vec<Claim>,
}

/// The result of one step of the protocol.
#[derive(Debug, Default)]
pub struct StepResult {
    /// Datagrams to send.
    pub outgoing: Vec<OutgoingDatagram>,
    /// Whether a record or a status changed.
    pub changed: bool,
}

/// The membership state of one node.
#[derive(Debug)]
pub struct Group {
    address: SocketAddr,
    zone: String,
    region: String,
    table: Table,
    gossip_queue: GossipQueue,
    cross_zone_queue: CrossZoneQueue,
    prober: Prober,
    loss_limiter: LossLimiter,
    rng: Rng,
    seeds: Vec<SocketAddr>,
    probe_count: u32,
    last_tick: Instant,
    next_probe: Instant,
    next_cross_zone_ping: Instant,
    next_seed_ping: Instant,
    changed: bool,
}

impl Group {
    /// A group that knows only this node and the seed addresses.
    pub fn new(own: Record, seeds: Vec<SocketAddr>, rng: Rng, now: Instant) -> Self {
        let mut table = Table::default();
        let (address, zone, region) = (own.address, own.zone.clone(), own.region.clone());
        let status = Status::Alive;
        table.merge(
            &Claim {
                record: own,
                status,
            },
            now,
        );
        Self {
            address,
            zone,
            region,
            table,
            gossip_queue: GossipQueue::default(),
            cross_zone_queue: CrossZoneQueue::default(),
            prober: Prober::default(),
            loss_limiter: LossLimiter::default(),
            rng,
            seeds,
            probe_count: 0,
            last_tick: now,
            next_probe: now,
            next_cross_zone_ping: now,
            next_seed_ping: now,
            changed: true,
        }
    }

    /// Every known node, including those that are gone.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Adds seed addresses.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.address && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Other nodes of the zone that are not gone.
    pub fn zone_peers(&self) -> Vec<SocketAddr> {
        self.table
            .zone(&self.zone)
            .map(|claim| claim.record.address)
            .filter(|address| *address != self.address)
            .collect()
    }

    /// Up to `count` random peers of the zone.
    fn pick_zone_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let zone_peers = self.zone_peers();
        self.rng.choose_multiple(zone_peers, count)
    }

    /// Up to `count` claims that are to be gossiped next.
    fn take_gossip(&mut self, count: usize) -> Vec<Claim> {
        let addresses = self.gossip_queue.take(count);
        self.claims(&addresses)
    }

    /// The claims about the given nodes, without nodes that are unknown.
    pub fn claims(&self, addresses: &[SocketAddr]) -> Vec<Claim> {
        addresses
            .iter()
            .filter_map(|address| self.table.get(*address))
            .map(|member| member.claim.clone())
            .collect()
    }

    /// Queues the claim about a node for gossip, and marks the table as changed.
    fn queue_gossip(&mut self, address: SocketAddr) {
        let zone_members = self.table.zone(&self.zone).count();
        self.gossip_queue.add(address, zone_members);
        self.changed = true;
    }
}
