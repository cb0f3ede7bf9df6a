//! Every node that is known, by address, those that are gone included.

use crate::{Claim, Record, Status};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Instant,
};
use xxhash_rust::xxh3::xxh3_64;

/// A known node.
#[derive(Debug, Clone)]
pub struct Member {
    /// What is believed of it.
    pub claim: Claim,
    /// When its status was taken in.
    pub since: Instant,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// It replaced what was known.
    News,
    /// It says what is known.
    Known,
    /// A claim of higher rank is known, which whoever sent this one lacks.
    Outdated,
}

/// Every node that is known, by address.
///
/// A node that is gone stays in the table: late claims of its incarnation find it there and are
/// dropped.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<SocketAddr, Member>,
}

impl Table {
    /// Takes a claim in.
    pub fn merge(&mut self, claim: &Claim, now: Instant) -> Merged {
        let known = self.members.get(&claim.record.address);
        match known.map(|known| known.claim.rank().cmp(&claim.rank())) {
            Some(std::cmp::Ordering::Equal) => Merged::Known,
            Some(std::cmp::Ordering::Greater) => Merged::Outdated,
            Some(std::cmp::Ordering::Less) | None => {
                let (claim, since) = (claim.clone(), now);
                self.members
                    .insert(claim.record.address, Member { claim, since });
                Merged::News
            }
        }
    }

    /// The node at an address, if it is known.
    pub fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    /// Every node, those that are gone included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Every node that is not gone.
    pub fn present(&self) -> impl Iterator<Item = &Claim> {
        let claims = self.members.values().map(|member| &member.claim);
        claims.filter(|claim| claim.status != Status::Gone)
    }

    /// The nodes of a zone that are not gone.
    pub fn zone(&self, zone: &str) -> impl Iterator<Item = &Claim> {
        self.present()
            .filter(move |claim| claim.record.zone == zone)
    }

    /// Every zone with a node that is not gone, with its region.
    pub fn zones(&self) -> BTreeSet<(&str, &str)> {
        let records = self.present().map(|claim| &claim.record);
        records
            .map(|record| (record.region.as_str(), record.zone.as_str()))
            .collect()
    }

    /// Starts every suspicion anew, after a time in which no objection could be heard.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            if member.claim.status == Status::Suspect {
                member.since = now;
            }
        }
    }

    /// Forgets the nodes that are gone since before `limit`.
    pub fn forget(&mut self, limit: Instant) {
        self.members
            .retain(|_, member| member.claim.status != Status::Gone || member.since >= limit);
    }

    /// A hash of the records of each zone, whatever order they came in.
    pub fn zone_hashes(&self) -> BTreeMap<&str, u64> {
        let mut hashes: BTreeMap<&str, u64> = BTreeMap::new();
        for claim in self.present() {
            let hash = hashes.entry(&claim.record.zone).or_default();
            *hash = hash.wrapping_add(record_hash(&claim.record));
        }
        hashes
    }

    /// A hash of all records.
    pub fn hash(&self) -> u64 {
        let hashes = self.present().map(|claim| record_hash(&claim.record));
        hashes.fold(0, u64::wrapping_add)
    }
}

fn record_hash(record: &Record) -> u64 {
    let incarnation = record.incarnation;
    let text = format!(
        "{} {} {}",
        record.address, incarnation.boot, incarnation.sequence
    );
    xxh3_64(text.as_bytes())
}
