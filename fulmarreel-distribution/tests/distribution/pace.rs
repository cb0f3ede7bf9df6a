//! When two nodes compare their contents.

use fulmarreel_distribution::comparison::{ComparisonSchedule, Distance};
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
#[case::metered_link_waits(2, Distance::OtherRegion, 1_500, false)]
#[case::metered_link(2, Distance::OtherRegion, 2_500, true)]
fn nodes_compare_where_news_was_lost(
    #[case] theirs: u64,
    #[case] distance: Distance,
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let start = Instant::now();
    let mut schedule = ComparisonSchedule::new(start);
    // The node's own digest changes one minute after the start.
    let changed = start + Duration::from_secs(60);
    assert!(!schedule.should_compare(&digest(1), &digest(1), distance, false, changed));
    let at = changed + Duration::from_millis(after_ms);
    let compares = schedule.should_compare(&digest(1), &digest(theirs), distance, false, at);
    assert_eq!(compares, expected);
}

/// Fails with a `JOINING_COMPARE_INTERVAL` of zero, and if the decision ignores `joining`.
#[test]
fn a_joining_node_compares_at_once_and_in_short_intervals() {
    let now = Instant::now();
    let mut schedule = ComparisonSchedule::new(now);
    let mut compare = |after_ms, joining| {
        let at = now + Duration::from_millis(after_ms);
        schedule.should_compare(&digest(1), &digest(1), Distance::OtherRegion, joining, at)
    };
    assert!(compare(0, true));
    assert!(!compare(100, true));
    assert!(compare(250, true));
    assert!(!compare(5_000, false));
}

/// Fails without `MAX_DEFERRAL`: a stream of changes would put off a comparison for ever.
#[test]
fn a_stream_of_changes_does_not_put_off_a_comparison_for_ever() {
    let now = Instant::now();
    let mut schedule = ComparisonSchedule::new(now);
    let admitted = (1..100u64).filter(|step| {
        let at = now + Duration::from_millis(100 * step);
        schedule.should_compare(&digest(*step), &digest(999), Distance::Zone, false, at)
    });
    let admitted = admitted.count();
    assert!((1..=3).contains(&admitted), "{admitted}");
}
