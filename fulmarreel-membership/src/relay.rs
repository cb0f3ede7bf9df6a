//! Which nodes of a zone speak with other zones.

use crate::{Record, Status, Table};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Relays of each zone.
pub const RELAYS: usize = 2;

/// The first `count` nodes in an order that all nodes with the same view agree on.
pub fn ranked<'a>(records: impl Iterator<Item = &'a Record>, count: usize) -> Vec<SocketAddr> {
    let mut ranks: Vec<(u64, SocketAddr)> = records
        .map(|record| (rank(record.address), record.address))
        .collect();
    ranks.sort_unstable();
    ranks
        .into_iter()
        .take(count)
        .map(|(_, address)| address)
        .collect()
}

/// The relays of a zone.
pub fn relays(table: &Table, zone: &str) -> Vec<SocketAddr> {
    let alive = table
        .zone(zone)
        .filter(|claim| claim.status == Status::Alive);
    ranked(alive.map(|claim| &claim.record), RELAYS)
}

fn rank(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
