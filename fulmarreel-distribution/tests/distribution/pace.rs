//! When two nodes compare.

use fulmarreel_distribution::pace::{Distance, Pace};
use fulmarreel_wire::gossip::Digest;
use rstest::rstest;
use std::time::{Duration, Instant};

fn digest(entries: u64) -> Digest {
    Digest {
        entries,
        ..Digest::default()
    }
}

/// Fails without `quiet`, without the check of `differs`, and with one `quiet` for all distances.
#[rstest]
#[case::same(1, Distance::Zone, 60_000, false)]
#[case::news_under_way(2, Distance::Zone, 250, false)]
#[case::news_lost(2, Distance::Zone, 350, true)]
#[case::paid_link_waits(2, Distance::Far, 1_500, false)]
#[case::paid_link(2, Distance::Far, 2_500, true)]
fn nodes_compare_where_news_was_lost(
    #[case] theirs: u64,
    #[case] distance: Distance,
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    // The own digest changes a minute after the start.
    let changed = start + Duration::from_secs(60);
    assert!(!pace.admit(&digest(1), &digest(1), distance, false, changed));
    let at = changed + Duration::from_millis(after_ms);
    let admitted = pace.admit(&digest(1), &digest(theirs), distance, false, at);
    assert_eq!(admitted, expected);
}

/// Fails with `JOIN_INTERVAL` of zero, and with joining left out of the decision.
#[test]
fn a_joining_node_compares_at_once_and_in_short_intervals() {
    let now = Instant::now();
    let mut pace = Pace::new(now);
    let mut admit = |after_ms, joining| {
        let at = now + Duration::from_millis(after_ms);
        pace.admit(&digest(1), &digest(1), Distance::Far, joining, at)
    };
    assert!(admit(0, true));
    assert!(!admit(100, true));
    assert!(admit(250, true));
    assert!(!admit(5_000, false));
}

/// Fails without `LONGEST_WAIT`: a stream of news would put a comparison off for ever.
#[test]
fn endless_news_does_not_put_a_comparison_off() {
    let now = Instant::now();
    let mut pace = Pace::new(now);
    let admitted = (1..100u64).filter(|step| {
        let at = now + Duration::from_millis(100 * step);
        pace.admit(&digest(*step), &digest(999), Distance::Zone, false, at)
    });
    let admitted = admitted.count();
    assert!((1..=3).contains(&admitted), "{admitted}");
}
