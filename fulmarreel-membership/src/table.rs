//! All known nodes by address, including those that are gone.

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
    /// The claim about it that takes precedence.
    pub claim: Claim,
    /// When that claim was merged, or when its suspicion was restarted.
    pub since: Instant,
}

/// What became of a merged claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// It replaced the known claim, if any.
    Applied,
    /// The table is unchanged: the claim is known, or not accepted.
    Unchanged,
    /// A claim of higher rank is known, which the sender of this one lacks.
    Outdated,
}

/// All known nodes by address.
///
/// A node that is gone stays in the table, so that late claims of its incarnation are recognised
/// and dropped.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<SocketAddr, Member>,
}

impl Table {
    /// Replaces the known claim about a node if the given one has a higher rank.
    pub fn merge(&mut self, claim: &Claim, now: Instant) -> MergeResult {
        let known = self.members.get(&claim.record.address);
        match known.map(|known| known.claim.rank().cmp(&claim.rank())) {
            Some(std::cmp::Ordering::Equal) => MergeResult::Unchanged,
            Some(std::cmp::Ordering::Greater) => MergeResult::Outdated,
            Some(std::cmp::Ordering::Less) | None => {
                let (claim, since) = (claim.clone(), now);
                self.members
                    .insert(claim.record.address, Member { claim, since });
                MergeResult::Applied
            }
        }
    }

    /// The node at an address, if known.
    pub fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    /// Every node, including those that are gone.
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

    /// Restarts the timeout of every suspicion, after a time in which no refutation could be
    /// received.
    pub fn restart_suspicions(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            if member.claim.status == Status::Suspect {
                member.since = now;
            }
        }
    }

    /// Removes the nodes that have been gone since before `cutoff`.
    pub fn remove_gone_before(&mut self, cutoff: Instant) {
        self.members
            .retain(|_, member| member.claim.status != Status::Gone || member.since >= cutoff);
    }

    /// A hash of each zone's records of nodes that are not gone, independent of their order.
    pub fn zone_hashes(&self) -> BTreeMap<&str, u64> {
        let mut hashes: BTreeMap<&str, u64> = BTreeMap::new();
        for claim in self.present() {
            let hash = hashes.entry(&claim.record.zone).or_default();
            *hash = hash.wrapping_add(record_hash(&claim.record));
        }
        hashes
    }

    /// A hash of all records of nodes that are not gone, independent of their order.
    pub fn hash(&self) -> u64 {
        let hashes = self.present().map(|claim| record_hash(&claim.record));
        hashes.fold(0, u64::wrapping_add)
    }
}

fn record_hash(record: &Record) -> u64 {
    let incarnation = record.incarnation;
    let text = format!(
        "{} {} {}",
        record.address, incarnation.started_at_ms, incarnation.sequence
    );
    xxh3_64(text.as_bytes())
}
