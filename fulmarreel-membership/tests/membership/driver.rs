//! A simulated network in which groups exchange datagrams in virtual time.

use fastrand::Rng;
use fulmarreel_membership::{
    Claim, Group, Incarnation, OutgoingDatagram, Record, Status, Target, group::TICK,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Faults of the simulated network.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Percentage of datagrams that are lost.
    pub loss_percent: u32,
    /// Percentage of datagrams that arrive twice.
    pub duplicate_percent: u32,
    /// Each datagram is delayed by a random time up to this one.
    pub max_delay: Duration,
}

/// A datagram under way.
struct InFlight {
    arrives_at: Instant,
    from: SocketAddr,
    outgoing: OutgoingDatagram,
}

pub struct Driver {
    pub now: Instant,
    pub faults: Faults,
    pub groups: BTreeMap<SocketAddr, Group>,
    paused: Vec<SocketAddr>,
    /// Datagrams between the first and the second list of nodes are lost.
    cut: Option<(Vec<SocketAddr>, Vec<SocketAddr>)>,
    in_flight: Vec<InFlight>,
    rng: Rng,
    /// The `started_at_ms` of the node that started last: a counter instead of a time.
    last_start: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + index as u16))
}

impl Driver {
    /// Starts zones of the given sizes. The first two nodes are the seeds of all.
    pub fn new(seed: u64, zones: &[usize]) -> Self {
        let mut driver = Self {
            now: Instant::now(),
            faults: Faults::default(),
            groups: BTreeMap::new(),
            paused: Vec::new(),
            cut: None,
            in_flight: Vec::new(),
            rng: Rng::with_seed(seed),
            last_start: 0,
        };
        let mut index = 0;
        for (zone, count) in zones.iter().enumerate() {
            for _ in 0..*count {
                driver.start(index, zone);
                index += 1;
            }
        }
        driver
    }

    pub fn start(&mut self, index: usize, zone: usize) {
        self.last_start += 1;
        let own = Record {
            address: address(index),
            incarnation: Incarnation {
                started_at_ms: self.last_start,
                sequence: 0,
            },
            zone: format!("z{zone}"),
            region: format!("r{}", zone / 2),
            target: None,
            watcher: false,
        };
        let rng = self.rng.fork();
        let group = Group::new(own, vec![address(0), address(1)], rng, self.now);
        self.groups.insert(address(index), group);
    }

    pub fn kill(&mut self, index: usize) {
        self.groups.remove(&address(index));
    }

    pub fn pause(&mut self, index: usize) {
        self.paused.push(address(index));
    }

    /// Resumes a paused node, which ticks before it reads the datagrams that it got meanwhile.
    pub fn resume(&mut self, index: usize) {
        let resumed = address(index);
        self.paused.retain(|paused| *paused != resumed);
        let now = self.now;
        if let Some(group) = self.groups.get_mut(&resumed) {
            let outcome = group.tick(now);
            self.send(resumed, outcome.outgoing);
        }
    }

    pub fn cut(&mut self, one_side: &[usize], other_side: &[usize]) {
        let addresses = |side: &[usize]| side.iter().copied().map(address).collect();
        self.cut = Some((addresses(one_side), addresses(other_side)));
    }

    /// Ends the cut.
    pub fn heal(&mut self) {
        self.cut = None;
    }

    /// Announces a target of the node, and tells all nodes at once.
    pub fn announce(&mut self, index: usize, leaving: bool) {
        let now = self.now;
        let group = self.groups.get_mut(&address(index)).unwrap();
        let target = Target {
            service: "reservas".into(),
            version: "v1".into(),
            slots: 6,
            leaving,
        };
        group.set_target(Some(target), now);
        let outgoing = group.broadcast_own_claim().outgoing;
        self.send(address(index), outgoing);
    }

    /// Delivers a claim at once, as if in a delayed datagram.
    pub fn deliver(&mut self, to: usize, claim: Claim) {
        let now = self.now;
        let group = self.groups.get_mut(&address(to)).unwrap();
        let kind = fulmarreel_wire::gossip::Kind::Gossip;
        group.receive(address(to + 1), kind, &[claim], now);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until the condition holds. Returns how long that took, or none after `timeout`.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + timeout {
            if holds(self) {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        self.now += TICK;
        let due = self.take_due();
        for datagram in due {
            let claims = datagram.outgoing.claims;
            let (to, kind, now) = (datagram.outgoing.to, datagram.outgoing.kind, self.now);
            if let Some(group) = self.groups.get_mut(&to) {
                let outcome = group.receive(datagram.from, kind, &claims, now);
                self.send(to, outcome.outgoing);
            }
        }
        let addresses: Vec<SocketAddr> = self.groups.keys().copied().collect();
        for from in addresses {
            if self.paused.contains(&from) {
                continue;
            }
            let now = self.now;
            let outcome = self.groups.get_mut(&from).unwrap().tick(now);
            self.send(from, outcome.outgoing);
        }
    }

    fn take_due(&mut self) -> Vec<InFlight> {
        let in_flight = std::mem::take(&mut self.in_flight);
        // Datagrams to a paused process wait in its socket.
        let (mut due, later): (Vec<InFlight>, Vec<InFlight>) =
            in_flight.into_iter().partition(|datagram| {
                datagram.arrives_at <= self.now && !self.paused.contains(&datagram.outgoing.to)
            });
        self.in_flight = later;
        self.rng.shuffle(&mut due);
        due
    }

    fn send(&mut self, from: SocketAddr, outgoing: Vec<OutgoingDatagram>) {
        for outgoing in outgoing {
            if self.is_cut(from, outgoing.to) || self.rng.u32(..100) < self.faults.loss_percent {
                continue;
            }
            if self.rng.u32(..100) < self.faults.duplicate_percent {
                let copy = OutgoingDatagram {
                    claims: outgoing.claims.clone(),
                    ..outgoing
                };
                self.enqueue(from, copy);
            }
            self.enqueue(from, outgoing);
        }
    }

    fn enqueue(&mut self, from: SocketAddr, outgoing: OutgoingDatagram) {
        let arrives_at = self.now + self.faults.max_delay.mul_f64(self.rng.f64());
        self.in_flight.push(InFlight {
            arrives_at,
            from,
            outgoing,
        });
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cut.as_ref().is_some_and(|(one, other)| {
            (one.contains(&from) && other.contains(&to))
                || (other.contains(&from) && one.contains(&to))
        })
    }

    /// The status of one node in the table of another.
    pub fn status(&self, of: usize, at: usize) -> Option<Status> {
        let member = self.groups[&address(at)].table().get(address(of))?;
        Some(member.claim.status)
    }

    /// Whether each group knows the latest record of every group, and no further node that is not
    /// gone.
    pub fn views_agree(&self) -> bool {
        let own_records: Vec<&Record> = self.groups.values().map(Group::own_record).collect();
        self.groups.values().all(|group| {
            let present: Vec<&Record> =
                group.table().present().map(|claim| &claim.record).collect();
            present == own_records
        })
    }

    /// Runs an exchange of each group with a random other one, as the nodes do over TCP.
    pub fn exchange_all(&mut self) {
        let addresses: Vec<SocketAddr> = self.groups.keys().copied().collect();
        for one in &addresses {
            let other = *self.rng.choice(&addresses).unwrap();
            if other != *one && !self.is_cut(*one, other) {
                super::exchange::exchange_records(&mut self.groups, *one, other, self.now);
            }
        }
    }
}
