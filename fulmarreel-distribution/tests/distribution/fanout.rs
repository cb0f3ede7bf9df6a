//! The tree along which a push is forwarded.

use fulmarreel_distribution::fanout::branches;
use rstest::rstest;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

fn receivers(count: usize) -> Vec<SocketAddr> {
    let address = |port: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + port as u16));
    (0..count).map(address).collect()
}

/// Records over how many hops each member is reached if all answer. Fails if one is reached twice.
fn record_hops(members: &[SocketAddr], hops: usize, reached: &mut BTreeMap<SocketAddr, usize>) {
    for branch in branches(members) {
        let (first, rest) = branch.members.split_first().unwrap();
        assert!(reached.insert(*first, hops).is_none(), "{first} twice");
        record_hops(rest, hops + 1, reached);
    }
}

/// Fails if `branches` returns a single branch, and with a `MAX_DIRECT_RECEIVERS` of 1,000.
#[rstest]
#[case(0, 0, 0)]
#[case(1, 1, 1)]
#[case(8, 8, 1)]
#[case(78, 10, 2)]
#[case(280, 18, 3)]
fn every_receiver_is_reached_once_in_few_steps(
    #[case] count: usize,
    #[case] most_sends: usize,
    #[case] most_hops: usize,
) {
    let receivers = receivers(count);
    let mut reached = BTreeMap::new();
    record_hops(&receivers, 1, &mut reached);
    assert_eq!(reached.len(), count);
    assert!(
        reached.values().all(|hops| *hops <= most_hops),
        "{reached:?}"
    );
    assert!(branches(&receivers).len() <= most_sends);
}
