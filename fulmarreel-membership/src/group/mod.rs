//! What one node does for the membership: state, event and time in, datagrams out.

mod abroad;
mod own;
mod receive;
mod tick;

use crate::{Claim, Record, Status, Table, doubt::Doubt, news::News, probe::Prober};
use abroad::Abroad;
use fastrand::Rng;
use fulmarreel_wire::gossip::Kind;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How often [`Group::tick`] is to be called.
pub const TICK: Duration = Duration::from_millis(50);

/// Time between two probes of a member of the zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two pings from a relay to another zone.
const ABROAD_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two pings to an address of first contact, while others are known.
const SEED_INTERVAL: Duration = Duration::from_secs(10);

/// How long a suspect has to object before it is gone.
const SUSPICION: Duration = Duration::from_millis(1_200);

/// A gap between two ticks in which this node cannot have heard what others said.
const PAUSE: Duration = Duration::from_millis(700);

/// How long a node that is gone is remembered.
const MEMORY: Duration = Duration::from_secs(3_600);

/// Records in one datagram, which keeps it below the MTU.
const RECORDS_PER_DATAGRAM: usize = 8;

/// Records from one exchange that are still passed on as news.
const MAX_EXCHANGED_NEWS: usize = 64;

/// Suspects of its zone that a node of another zone is told of at once.
const MAX_DOUBTS: usize = 5;

/// Random members that news is passed on to at each tick.
const FAN_OUT: usize = 3;

/// Members that are asked to ping a silent one.
const INDIRECT: usize = 3;

/// One probe in that many goes to a member that is believed gone, in case it is not.
const GONE_PROBE_EVERY: u32 = 4;

/// A datagram to send; the node adds its digest.
#[derive(Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// What it is for.
    pub kind: Kind,
    /// Claims that are passed on.
    pub claims: Vec<Claim>,
}

/// What came of a step.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Datagrams to send.
    pub outgoing: Vec<Outgoing>,
    /// Whether a record or a status changed.
    pub changed: bool,
}

/// What one node knows and does for the membership.
#[derive(Debug)]
pub struct Group {
    address: SocketAddr,
    zone: String,
    region: String,
    table: Table,
    news: News,
    abroad: Abroad,
    prober: Prober,
    doubt: Doubt,
    rng: Rng,
    seeds: Vec<SocketAddr>,
    probes: u32,
    last_tick: Instant,
    next_probe: Instant,
    next_abroad: Instant,
    next_seed: Instant,
    changed: bool,
}

impl Group {
    /// A group of one.
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
            news: News::default(),
            abroad: Abroad::default(),
            prober: Prober::default(),
            doubt: Doubt::default(),
            rng,
            seeds,
            probes: 0,
            last_tick: now,
            next_probe: now,
            next_abroad: now,
            next_seed: now,
            changed: true,
        }
    }

    /// Every known node.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Takes further addresses of first contact.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        for seed in seeds {
            if seed != self.address && !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Other nodes of the zone that are not gone.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.table
            .zone(&self.zone)
            .map(|claim| claim.record.address)
            .filter(|address| *address != self.address)
            .collect()
    }

    /// Random neighbours, at most so many.
    fn pick_neighbours(&mut self, count: usize) -> Vec<SocketAddr> {
        let neighbours = self.neighbours();
        self.rng.choose_multiple(neighbours, count)
    }

    /// Claims that are to be passed on next.
    fn take_news(&mut self, count: usize) -> Vec<Claim> {
        let addresses = self.news.take(count);
        self.claims(&addresses)
    }

    /// What is known of some nodes.
    pub fn claims(&self, addresses: &[SocketAddr]) -> Vec<Claim> {
        addresses
            .iter()
            .filter_map(|address| self.table.get(*address))
            .map(|member| member.claim.clone())
            .collect()
    }

    /// Marks the claim of a node as news.
    fn spread(&mut self, address: SocketAddr) {
        let members = self.table.zone(&self.zone).count();
        self.news.add(address, members);
        self.changed = true;
    }
}
