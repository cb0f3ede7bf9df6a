//! Fleets without faults.

use super::fleet::{Fault, Fleet};
use rstest::rstest;
use std::{collections::BTreeSet, time::Duration};

/// A fleet whose nodes start one after the other at this interval.
fn started(regions: &[usize], seed: u64, start_interval: Duration) -> Fleet {
    let mut fleet = Fleet::new(regions, seed);
    for node in 0..fleet.nodes.len() {
        fleet.schedule_fault(start_interval * node as u32, Fault::Start(node));
    }
    fleet
}

/// Fails if more or fewer than two nodes of each region call the store once a fleet has started, or
/// if these nodes change.
#[rstest]
fn two_nodes_of_each_region_read_the_store(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values([2, 2], [6, 6], [20, 20], [36, 40])] regions: [usize; 2],
    #[values(0, 20)] start_interval_ms: u64,
) {
    let start_interval = Duration::from_millis(start_interval_ms);
    let mut fleet = started(&regions, seed, start_interval);
    let last = start_interval * fleet.nodes.len() as u32;
    for write in 0..40 {
        let at = Duration::from_millis(4_000 + 600 * write);
        fleet.schedule_write(at, "op/config", vec![write as u8]);
    }
    fleet.run_until(last + Duration::from_secs(5));
    let readers = readers(&fleet);
    assert_eq!(readers.len(), 4, "{readers:?}");
    let calls = fleet.store.calls.len();
    fleet.run_until(last + Duration::from_secs(30));
    let callers: BTreeSet<usize> = fleet.store.calls[calls..]
        .iter()
        .map(|call| call.node)
        .collect();
    assert_eq!(callers, readers);
    for (index, node) in fleet.nodes.iter().enumerate() {
        assert!(node.is_current(fleet.now), "{index}");
        assert_eq!(node.revision(), fleet.store.revision(), "{index}");
    }
}

fn readers(fleet: &Fleet) -> BTreeSet<usize> {
    let nodes = fleet.nodes.iter().enumerate();
    nodes
        .filter(|(_, node)| node.readers.reads())
        .map(|(index, _)| index)
        .collect()
}
