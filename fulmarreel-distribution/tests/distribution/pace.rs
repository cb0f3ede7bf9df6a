//! When two nodes compare their contents.

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

/// Fails without `required_quiet`, with the same one for all distances, and without the check of
/// `differs_since`.
#[rstest]
#[case::same(1, Distance::Zone, 60_000, false)]
#[case::changes_under_way(2, Distance::Zone, 250, false)]
#[case::change_lost(2, Distance::Zone, 350, true)]
#[case::metered_link_waits(2, Distance::Far, 1_500, false)]
#[case::metered_link(2, Distance::Far, 2_500, true)]
fn nodes_compare_where_news_was_lost(
    #[case] theirs: u64,
    #[case] distance: Distance,
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut pace = Pace::new(start);
    // The node's own digest changes one minute after the start.
    let changed = start + Duration::from_secs(60);
    assert!(!pace.admit(&digest(1), &digest(1), distance, false, changed));
    let at = changed + Duration::from_millis(after_ms);
    let admitted = pace.admit(&digest(1), &digest(theirs), distance, false, at);
    assert_eq!(admitted, expected);
}

/// Fails with a `JOINING_COMPARE_INTERVAL` of zero, and if the decision ignores `joining`.
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

/// Fails without `MAX_DEFERRAL`: a stream of changes would put off a comparison for ever.
#[test]
fn a_stream_of_changes_does_not_put_off_a_comparison_for_ever() {
    let now = Instant::now();
    let mut pace = Pace::new(now);
    let admitted = (1..100u64).filter(|step| {
        let at = now + Duration::from_millis(100 * step);
        pace.admit(&digest(*step), &digest(999), Distance::Zone, false, at)
    });
    let admitted = admitted.count();
    assert!((1..=3).contains(&admitted), "{admitted}");
}
