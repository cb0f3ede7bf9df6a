//! A coordinator that takes over while the nodes restart.

use crate::play::{BOUNDS, ms};
use fulmarreel_quota::{
    Coordinator, Limit, Time,
    limit::Quota,
    message::{Demand, Held, Report},
};

const NODES: u32 = 4;
const ACCOUNT: u64 = 1;

/// A report of a node that wants ten tokens.
fn report(never_granted: bool, sequence: u32, now: Time) -> Report {
    Report {
        boot: 2,
        sequence,
        sent_at: now,
        never_granted,
        demands: vec![Demand {
            account: ACCOUNT,
            rate_milli: 10_000,
            wanted: 10,
            ahead: 0,
            returned: 0,
            applied: 0,
            held: Held::default(),
        }],
    }
}

/// The rate that is granted to the first node after one second, when the first `restarted` nodes have
/// told that they restarted and the others have reported without that.
fn rate_after_a_second(restarted: u32) -> u64 {
    let limit = Limit::new(
        Quota {
            rate_per_s: 100.0,
            burst: 100.0,
        },
        BOUNDS,
    );
    let start = ms(10_000);
    let mut coordinator = Coordinator::new(start, start);
    for node in 0..NODES {
        let report = report(node < restarted, 1, start);
        coordinator.answer(node, &report, |_| Some(limit), start);
        coordinator.end_takeover(0..NODES, start);
    }
    let now = start + ms(1_000);
    let report = report(false, 2, now);
    let answer = coordinator.answer(0, &report, |_| Some(limit), now);
    answer.grants[0].rate_milli
}

/// Fails if a fleet that has lost power everywhere waits for grants that are gone, for five seconds.
#[test]
fn rates_are_granted_once_all_nodes_have_restarted() {
    assert!(rate_after_a_second(NODES) > 0);
}

/// Fails if a rate is granted while a node that did not restart may hold one of the predecessor.
#[test]
fn no_rate_is_granted_while_one_node_has_not_restarted() {
    assert_eq!(rate_after_a_second(NODES - 1), 0);
}
