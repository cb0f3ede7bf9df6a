//! Anti-entropy: finds where the records of two nodes differ and what each side lacks.

use crate::{Claim, Incarnation, Status, Table};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// What this side has to send to the other one, and to request from it.
#[derive(Debug, Default)]
pub struct Difference {
    /// Claims that are newer on this side.
    pub send: Vec<Claim>,
    /// Nodes whose records are newer on the other side.
    pub request: Vec<SocketAddr>,
}

/// The zones whose hashes differ or that only one side knows.
pub fn differing_zones(table: &Table, theirs: &BTreeMap<String, u64>) -> Vec<String> {
    let ours = table.zone_hashes();
    let names: BTreeSet<&str> = ours
        .keys()
        .copied()
        .chain(theirs.keys().map(String::as_str))
        .collect();
    names
        .into_iter()
        .filter(|name| ours.get(name) != theirs.get(*name))
        .map(str::to_owned)
        .collect()
}

/// The nodes of the given zones that are not gone, with their incarnations.
pub fn summary(table: &Table, zones: &[String]) -> Vec<(SocketAddr, Incarnation)> {
    let records = table.present().map(|claim| &claim.record);
    records
        .filter(|record| zones.contains(&record.zone))
        .map(|record| (record.address, record.incarnation))
        .collect()
}

/// Compares the table's records of the given zones with the other side's [`summary`] of them.
pub fn compare(
    table: &Table,
    zones: &[String],
    theirs: &BTreeMap<SocketAddr, Incarnation>,
) -> Difference {
    let mut difference = Difference::default();
    for (address, incarnation) in theirs {
        match table.get(*address).map(|member| &member.claim) {
            Some(claim) if claim.record.incarnation > *incarnation => {
                difference.send.push(claim.clone());
            }
            Some(claim) if claim.record.incarnation == *incarnation => {
                if claim.status == Status::Gone {
                    difference.send.push(claim.clone());
                }
            }
            Some(_) | None => difference.request.push(*address),
        }
    }
    let unknown_to_peer = table
        .present()
        .filter(|claim| zones.contains(&claim.record.zone))
        .filter(|claim| !theirs.contains_key(&claim.record.address));
    difference.send.extend(unknown_to_peer.cloned());
    difference
}
