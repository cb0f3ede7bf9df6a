//! Who passes a push on to whom.

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

/// How often each is reached, and over how many steps, when all answer.
fn reach(members: &[SocketAddr], depth: usize, reached: &mut BTreeMap<SocketAddr, usize>) {
    for branch in branches(members) {
        let (first, rest) = branch.members.split_first().unwrap();
        assert!(reached.insert(*first, depth).is_none(), "{first} twice");
        reach(rest, depth + 1, reached);
    }
}

/// Fails with `branches` of a single branch, and with `DIRECT` of a thousand.
#[rstest]
#[case(0, 0, 0)]
#[case(1, 1, 1)]
#[case(8, 8, 1)]
#[case(78, 10, 2)]
#[case(280, 18, 3)]
fn every_receiver_is_reached_once_in_few_steps(
    #[case] count: usize,
    #[case] most_sends: usize,
    #[case] most_steps: usize,
) {
    let receivers = receivers(count);
    let mut reached = BTreeMap::new();
    reach(&receivers, 1, &mut reached);
    assert_eq!(reached.len(), count);
    assert!(
        reached.values().all(|depth| *depth <= most_steps),
        "{reached:?}"
    );
    assert!(branches(&receivers).len() <= most_sends);
}
