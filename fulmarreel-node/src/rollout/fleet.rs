//! The known members, and which of them aggregates reports on a service or may own its rollout.

use crate::state::State;
use std::{collections::BTreeSet, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A snapshot of the members that a node knows.
#[derive(Debug)]
pub struct Fleet {
    own: HashInput,
    zone: String,
    members: Vec<(Member, HashInput)>,
}

/// A peer address with its text form, the input of rendezvous hashing.
#[derive(Debug)]
struct HashInput {
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
    /// Takes a snapshot of the members that `state` knows.
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

    /// The fleet of `members`, as seen by the node at `own` in `zone`.
    pub fn new(own: SocketAddr, zone: &str, members: Vec<Member>) -> Self {
        let members = members.into_iter().map(|member| {
            let input = HashInput::from(member.address);
            (member, input)
        });
        Self {
            own: own.into(),
            zone: zone.to_owned(),
            members: members.collect(),
        }
    }

    /// The availability zones that have members.
    pub fn zones(&self) -> Vec<String> {
        let zones: BTreeSet<&str> = self
            .members
            .iter()
            .map(|(member, _)| member.zone.as_str())
            .collect();
        zones.into_iter().map(str::to_owned).collect()
    }

    /// The member of this node's availability zone that aggregates reports on a service.
    pub fn aggregator(&self, service: &str) -> SocketAddr {
        let zone_members = self
            .members
            .iter()
            .filter(|(member, _)| member.zone == self.zone);
        let seed = seed(service);
        let highest = zone_members.max_by_key(|(_, input)| input.score(seed));
        highest.map_or(self.own.address, |(member, _)| member.address)
    }

    /// This node's rank, from 0, among the candidates for the ownership of a service's rollout.
    pub fn rank(&self, service: &str) -> usize {
        let seed = seed(service);
        let own = self.own.score(seed);
        let scores = self.members.iter().map(|(_, input)| input.score(seed));
        scores.filter(|score| *score > own).count()
    }
}

impl From<SocketAddr> for HashInput {
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            text: address.to_string(),
        }
    }
}

impl HashInput {
    /// The rendezvous hash of this address: members agree on the highest score, and the loss of a
    /// member reassigns only that member's duties.
    fn score(&self, seed: u64) -> (u64, SocketAddr) {
        let hash = xxh3_64_with_seed(self.text.as_bytes(), seed);
        (hash, self.address)
    }
}

/// The hash seed of a service, so that each service has its own order of members.
fn seed(service: &str) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), 0)
}
