//! A few groups that pass datagrams by a clock of the test's own.

use fastrand::Rng;
use fulmarreel_membership::{
    Claim, Group, Incarnation, Outgoing, Record, Status, Target, group::TICK,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Faults on the way.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Datagrams in a hundred that are lost.
    pub loss: u32,
    /// Datagrams in a hundred that arrive twice.
    pub duplicates: u32,
    /// The longest delay.
    pub delay: Duration,
}

struct Flight {
    at: Instant,
    from: SocketAddr,
    outgoing: Outgoing,
}

pub struct Driver {
    pub now: Instant,
    pub faults: Faults,
    pub groups: BTreeMap<SocketAddr, Group>,
    paused: Vec<SocketAddr>,
    /// Datagrams between the first and the second part are lost.
    cut: Option<(Vec<SocketAddr>, Vec<SocketAddr>)>,
    flights: Vec<Flight>,
    rng: Rng,
    boots: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + index as u16))
}

impl Driver {
    /// Zones of so many nodes each, all of which know their first node.
    pub fn new(seed: u64, zones: &[usize]) -> Self {
        let mut driver = Self {
            now: Instant::now(),
            faults: Faults::default(),
            groups: BTreeMap::new(),
            paused: Vec::new(),
            cut: None,
            flights: Vec::new(),
            rng: Rng::with_seed(seed),
            boots: 0,
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
        self.boots += 1;
        let own = Record {
            address: address(index),
            incarnation: Incarnation {
                boot: self.boots,
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

    /// Its clock is looked at before its socket.
    pub fn resume(&mut self, index: usize) {
        let resumed = address(index);
        self.paused.retain(|paused| *paused != resumed);
        let now = self.now;
        if let Some(group) = self.groups.get_mut(&resumed) {
            let outcome = group.tick(now);
            self.send(resumed, outcome.outgoing);
        }
    }

    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        let addresses = |part: &[usize]| part.iter().copied().map(address).collect();
        self.cut = Some((addresses(one), addresses(other)));
    }

    pub fn heal(&mut self) {
        self.cut = None;
    }

    pub fn announce(&mut self, index: usize, leaving: bool) {
        let now = self.now;
        let group = self.groups.get_mut(&address(index)).unwrap();
        let target = Target {
            service: "reservas".into(),
            version: "v1".into(),
            slots: 6,
            leaving,
        };
        group.announce(Some(target), now);
        let outgoing = group.tell_all().outgoing;
        self.send(address(index), outgoing);
    }

    /// Delivers a claim now, as a late datagram.
    pub fn deliver(&mut self, to: usize, claim: Claim) {
        let now = self.now;
        let group = self.groups.get_mut(&address(to)).unwrap();
        let kind = fulmarreel_wire::gossip::Kind::News;
        group.receive(address(to + 1), kind, &[claim], now);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Steps until it holds; how long that took, or none.
    pub fn until(&mut self, patience: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now < start + patience {
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
        for flight in due {
            let claims = flight.outgoing.claims;
            let (to, kind, now) = (flight.outgoing.to, flight.outgoing.kind, self.now);
            if let Some(group) = self.groups.get_mut(&to) {
                let outcome = group.receive(flight.from, kind, &claims, now);
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

    fn take_due(&mut self) -> Vec<Flight> {
        let flights = std::mem::take(&mut self.flights);
        // What a paused process is sent waits in its socket.
        let (mut due, later): (Vec<Flight>, Vec<Flight>) =
            flights.into_iter().partition(|flight| {
                flight.at <= self.now && !self.paused.contains(&flight.outgoing.to)
            });
        self.flights = later;
        self.rng.shuffle(&mut due);
        due
    }

    fn send(&mut self, from: SocketAddr, outgoing: Vec<Outgoing>) {
        for outgoing in outgoing {
            if self.severed(from, outgoing.to) || self.rng.u32(..100) < self.faults.loss {
                continue;
            }
            if self.rng.u32(..100) < self.faults.duplicates {
                let copy = Outgoing {
                    claims: outgoing.claims.clone(),
                    ..outgoing
                };
                self.fly(from, copy);
            }
            self.fly(from, outgoing);
        }
    }

    fn fly(&mut self, from: SocketAddr, outgoing: Outgoing) {
        let at = self.now + self.faults.delay.mul_f64(self.rng.f64());
        self.flights.push(Flight { at, from, outgoing });
    }

    fn severed(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cut.as_ref().is_some_and(|(one, other)| {
            (one.contains(&from) && other.contains(&to))
                || (other.contains(&from) && one.contains(&to))
        })
    }

    /// What a node believes of another.
    pub fn status(&self, of: usize, at: usize) -> Option<Status> {
        let member = self.groups[&address(at)].table().get(address(of))?;
        Some(member.claim.status)
    }

    /// Whether each group knows every group's latest record, and no other as present.
    pub fn agree(&self) -> bool {
        let owns: Vec<&Record> = self.groups.values().map(Group::own).collect();
        self.groups.values().all(|group| {
            let present: Vec<&Record> =
                group.table().present().map(|claim| &claim.record).collect();
            present == owns
        })
    }

    /// Compares each group with a random other one, as the nodes do over TCP.
    pub fn compare_all(&mut self) {
        let addresses: Vec<SocketAddr> = self.groups.keys().copied().collect();
        for one in &addresses {
            let other = *self.rng.choice(&addresses).unwrap();
            if other != *one && !self.severed(*one, other) {
                super::exchange::compare(&mut self.groups, *one, other, self.now);
            }
        }
    }
}
