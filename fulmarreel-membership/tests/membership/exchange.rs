//! Exchanges of records between two nodes.

use super::driver::{Driver, address};
use fulmarreel_membership::{Group, exchange};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// One exchange, in the steps that the nodes take over TCP.
pub fn exchange_records(
    groups: &mut BTreeMap<SocketAddr, Group>,
    one: SocketAddr,
    other: SocketAddr,
    now: Instant,
) {
    let hashes = groups[&one].table().zone_hashes().into_iter();
    let hashes = hashes.map(|(zone, hash)| (zone.to_owned(), hash)).collect();
    let zones = exchange::differing_zones(groups[&other].table(), &hashes);
    let summary = exchange::summary(groups[&other].table(), &zones);
    let summary = summary.into_iter().collect();
    let difference = exchange::compare(groups[&one].table(), &zones, &summary);
    let requested = groups[&other].claims(&difference.request);
    let corrections = groups
        .get_mut(&other)
        .unwrap()
        .merge_exchange(one, &difference.send, now);
    let reply = [requested, corrections].concat();
    groups
        .get_mut(&one)
        .unwrap()
        .merge_exchange(other, &reply, now);
}

/// Fails if `exchange::compare` requests only unknown nodes, and none whose record is older on this
/// side.
#[test]
fn one_exchange_brings_both_sides_to_the_same_records() {
    let mut driver = Driver::new(1, &[3, 3]);
    driver.run(Duration::from_secs(5));
    driver.cut(&[0, 1, 2], &[3, 4, 5]);
    driver.announce(0, false);
    driver.announce(4, false);
    driver.run(Duration::from_secs(2));
    assert!(!driver.views_agree());
    exchange_records(&mut driver.groups, address(0), address(4), driver.now);
    let hashes = [0, 4].map(|index| driver.groups[&address(index)].table().hash());
    assert_eq!(hashes[0], hashes[1]);
}

/// Fails without the check for `Status::Gone` in `exchange::compare`.
#[test]
fn an_exchange_reports_a_node_that_is_gone() {
    let mut driver = Driver::new(2, &[4]);
    driver.run(Duration::from_secs(5));
    driver.cut(&[3], &[0, 1, 2]);
    driver.kill(2);
    let gone = driver.run_until(Duration::from_secs(10), |driver| {
        driver.status(2, 0) == Some(fulmarreel_membership::Status::Gone)
    });
    assert!(gone.is_some());
    exchange_records(&mut driver.groups, address(0), address(3), driver.now);
    let status = driver.status(2, 3);
    assert_eq!(status, Some(fulmarreel_membership::Status::Gone));
}
