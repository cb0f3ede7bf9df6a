//! The members that take part in moves, and which of them has which duty.

use crate::state::State;
use std::{collections::BTreeSet, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The members that a node knows at one moment.
#[derive(Debug)]
pub struct Fleet {
    own: Candidate,
    zone: String,
    members: Vec<(Member, Candidate)>,
}

/// An address with its text, which is hashed once for each service.
#[derive(Debug)]
struct Candidate {
    address: SocketAddr,
    text: String,
}

/// One member.
#[derive(Debug)]
pub struct Member {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

impl Fleet {
    /// The members that `state` knows now.
    pub fn of(state: &State) -> Self {
        let members = state.records().into_iter().map(|record| Member {
            address: record.address,
            zone: record.zone,
        });
        Self::new(
            state.settings.advertise,
            &state.settings.zone,
            members.collect(),
        )
    }

    /// A fleet of these members as seen by one of them.
    pub fn new(own: SocketAddr, zone: &str, members: Vec<Member>) -> Self {
        let members = members.into_iter().map(|member| {
            let candidate = Candidate::from(member.address);
            (member, candidate)
        });
        Self {
            own: own.into(),
            zone: zone.to_owned(),
            members: members.collect(),
        }
    }

    /// The availability zones with members.
    pub fn zones(&self) -> Vec<String> {
        let zones: BTreeSet<&str> = self
            .members
            .iter()
            .map(|(member, _)| member.zone.as_str())
            .collect();
        zones.into_iter().map(str::to_owned).collect()
    }

    /// The member of the own availability zone that adds up reports on a service.
    pub fn aggregator(&self, service: &str) -> SocketAddr {
        let zone = self
            .members
            .iter()
            .filter(|(member, _)| member.zone == self.zone);
        let seed = seed(service);
        let highest = zone.max_by_key(|(_, candidate)| candidate.score(seed));
        highest.map_or(self.own.address, |(member, _)| member.address)
    }

    /// The own node's rank among those that may own a service's move, from 0.
    pub fn rank(&self, service: &str) -> usize {
        let seed = seed(service);
        let own = self.own.score(seed);
        let scores = self
            .members
            .iter()
            .map(|(_, candidate)| candidate.score(seed));
        scores.filter(|score| *score > own).count()
    }
}

impl From<SocketAddr> for Candidate {
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            text: address.to_string(),
        }
    }
}

impl Candidate {
    /// Rendezvous hashing: members agree on the highest score, and the loss of one moves its
    /// duties alone.
    fn score(&self, seed: u64) -> (u64, SocketAddr) {
        let hash = xxh3_64_with_seed(self.text.as_bytes(), seed);
        (hash, self.address)
    }
}

/// The seed of a service's scores.
fn seed(service: &str) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), 0)
}
