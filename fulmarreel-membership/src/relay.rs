//! Which nodes of a zone exchange claims with other zones.

use crate::{Record, Status, Table};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Number of relays of each zone.
pub const RELAYS_PER_ZONE: usize = 2;

/// The first `count` nodes in the order of their addresses' hashes, the same on all nodes with the
/// same view.
pub fn first_by_hash<'a>(
    records: impl Iterator<Item = &'a Record>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut hashed: Vec<(u64, SocketAddr)> = records
        .map(|record| (address_hash(record.address), record.address))
        .collect();
    hashed.sort_unstable();
    hashed
        .into_iter()
        .take(count)
        .map(|(_, address)| address)
        .collect()
}

/// The relays of a zone: the first of its nodes that are alive.
pub fn relays(table: &Table, zone: &str) -> Vec<SocketAddr> {
    let alive = table
        .zone(zone)
        .filter(|claim| claim.status == Status::Alive);
    first_by_hash(alive.map(|claim| &claim.record), RELAYS_PER_ZONE)
}

fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}
