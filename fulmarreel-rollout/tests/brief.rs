//! Rollouts whose deadline is seconds away.

use fulmarreel_rollout::brief::{
    Counts, CountsByRoute, ScheduledAction, VersionCounts, scheduled_action, verdict,
};
use rstest::rstest;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(15);

fn counts(calls: u32, failed: u32, slow: u32) -> Counts {
    Counts {
        calls,
        failed,
        slow,
        ..Counts::default()
    }
}

fn evidence(old: Counts, new: Counts) -> CountsByRoute {
    CountsByRoute::from([(1, VersionCounts { old, new })])
}

/// Fails if too few failures are enough for a verdict, or a fault of both versions is blamed on the
/// new one.
#[rstest]
#[case::alike(counts(500, 2, 0), counts(30, 0, 0), false)]
#[case::one_failure(counts(500, 2, 0), counts(4, 1, 0), false)]
#[case::half_fail(counts(100, 0, 0), counts(8, 4, 0), true)]
#[case::third_fail(counts(100, 0, 0), counts(12, 4, 0), true)]
#[case::both_fail(counts(100, 40, 0), counts(12, 5, 0), false)]
#[case::few_of_many_fail(counts(100, 0, 0), counts(100, 4, 0), false)]
#[case::half_slow(counts(200, 0, 4), counts(14, 0, 7), true)]
#[case::both_slow(counts(200, 0, 90), counts(14, 0, 7), false)]
fn a_bad_version_is_told_from_a_good_one(
    #[case] old: Counts,
    #[case] new: Counts,
    #[case] bad: bool,
) {
    assert_eq!(verdict(&evidence(old, new)).is_some(), bad);
}

/// Fails if the verdict looks only at all routes together.
#[test]
fn a_fault_of_one_route_is_found() {
    let mut observed = evidence(counts(900, 2, 0), counts(90, 0, 0));
    let pair = VersionCounts {
        old: counts(60, 0, 0),
        new: counts(9, 5, 0),
    };
    observed.insert(2, pair);
    assert_eq!(verdict(&observed), Some(pair.new));
}

/// Fails if a share falls with time, all traffic moves too late, or the rollout completes too late
/// to write its outcome before the deadline.
#[test]
fn the_share_rises_and_the_move_is_complete_in_time() {
    let good = evidence(counts(500, 2, 0), counts(50, 0, 0));
    let mut last = 0.0;
    let mut full_at = None;
    let mut complete_at = None;
    for tenth in 0..150 {
        let elapsed = Duration::from_millis(tenth * 100);
        match scheduled_action(&good, elapsed, LIMIT) {
            ScheduledAction::Share(share) => {
                assert!(share >= last, "{elapsed:?}");
                last = share;
                full_at = full_at.or((share >= 1.0).then_some(elapsed));
            }
            ScheduledAction::Complete => complete_at = complete_at.or(Some(elapsed)),
            ScheduledAction::RollBack(counts) => panic!("{elapsed:?}: {counts:?}"),
        }
    }
    let (full_at, complete_at) = (full_at.expect("full"), complete_at.expect("complete"));
    // Calls to the old version must end before its targets are stopped.
    assert!(complete_at - full_at >= Duration::from_secs(2));
    assert!(complete_at + Duration::from_millis(1_500) <= LIMIT);
}

/// Fails if the reserve for delivering the order and writing the outcome is only a fraction of the
/// time limit: a rollout of 8 s was then written as complete after 8.0 s.
#[rstest]
#[case(8)]
#[case(12)]
#[case(15)]
fn short_moves_keep_the_same_reserve_for_their_outcome(#[case] seconds: u64) {
    let limit = Duration::from_secs(seconds);
    let good = evidence(counts(500, 2, 0), counts(50, 0, 0));
    let last = limit - Duration::from_millis(1_500);
    assert_eq!(
        scheduled_action(&good, last, limit),
        ScheduledAction::Complete
    );
}

/// Fails if a bad version can get more than a tenth of all calls plus 50, for any moment in the
/// first 6 s at which its fault begins, given one second from the verdict until all nodes know it.
#[test]
fn exposure_is_bounded_whenever_the_fault_begins() {
    let calls_per_tenth = 4.0;
    for fault_begins in 0..105 {
        let (mut new, mut failed, mut tenths_since_verdict) = (0.0, 0.0, 0);
        let mut old = 0.0;
        for tenth in 0..150 {
            let elapsed = Duration::from_millis(tenth * 100);
            let observed = evidence(
                counts(old as u32, 0, 0),
                counts(new as u32, failed as u32, 0),
            );
            let share = match scheduled_action(&observed, elapsed, LIMIT) {
                ScheduledAction::Share(share) => share,
                ScheduledAction::Complete => 1.0,
                ScheduledAction::RollBack(_) => {
                    tenths_since_verdict += 1;
                    if tenths_since_verdict > 10 {
                        break;
                    }
                    1.0
                }
            };
            new += calls_per_tenth * share;
            old += calls_per_tenth * (1.0 - share);
            if tenth >= fault_begins {
                failed += calls_per_tenth * share * 0.4;
            }
        }
        let all_calls = calls_per_tenth * 150.0;
        if fault_begins < 60 {
            assert!(
                new <= all_calls * 0.1 + 50.0,
                "fault begins at {fault_begins}: {new} of {all_calls}"
            );
        }
    }
}
