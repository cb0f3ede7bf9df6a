//! The members that take part in moves, and which of them has which duty.

use crate::state::State;
use std::{collections::BTreeSet, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The members that a node knows at one moment.
#[derive(Debug)]
pub struct Fleet {
    own: SocketAddr,
    zone: String,
    members: Vec<Member>,
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
        Self {
            own,
            zone: zone.to_owned(),
            members,
        }
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known, not even the own node.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The availability zones with members.
    pub fn zones(&self) -> Vec<String> {
        let zones: BTreeSet<&str> = self.members.iter().map(|m| m.zone.as_str()).collect();
        zones.into_iter().map(str::to_owned).collect()
    }

    /// The member of the own availability zone that adds up reports on a service.
    pub fn aggregator(&self, service: &str) -> SocketAddr {
        let zone = self
            .members
            .iter()
            .filter(|member| member.zone == self.zone);
        let highest = zone.max_by_key(|member| score(service, member.address));
        highest.map_or(self.own, |member| member.address)
    }

    /// The own node's rank among those that may own a service's move, from 0.
    pub fn rank(&self, service: &str) -> usize {
        let own = score(service, self.own);
        let scores = self
            .members
            .iter()
            .map(|member| score(service, member.address));
        scores.filter(|score| *score > own).count()
    }
}

/// Rendezvous hashing: members agree on the highest score, and the loss of one moves its duties
/// alone.
fn score(service: &str, address: SocketAddr) -> (u64, SocketAddr) {
    let seed = xxh3_64_with_seed(service.as_bytes(), 0);
    let hash = xxh3_64_with_seed(address.to_string().as_bytes(), seed);
    (hash, address)
}
