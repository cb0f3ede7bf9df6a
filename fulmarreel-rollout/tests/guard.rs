//! A node's own guard.

mod common;

use common::at;
use fulmarreel_rollout::{Guard, evidence::Side, state::Phase};
use rstest::rstest;

/// Records calls to both versions, of which every `fail_every`-th to the new version fails; returns
/// the number of the call at which the guard stops, if it does.
fn calls_until_stop(
    guard: &mut Guard,
    fail_every: u32,
    old_fails: bool,
    max_calls: u32,
) -> Option<u32> {
    (1..=max_calls).find(|call| {
        guard.record(Side::Old, old_fails, Phase::Raising, at(0));
        guard.admit(Phase::Raising, at(0));
        guard.record(Side::New, call % fail_every == 0, Phase::Raising, at(0))
    })
}

/// Fails if the old version's calls are not counted (`both_fail`), the sum may fall below zero
/// (`late_fault`), or the fleet's size does not affect the threshold (`large_fleet`).
#[rstest]
#[case::all_fail_small_fleet(1, 12, 1, false, Some(3))]
#[case::all_fail_large_fleet(1, 1_400, 1, false, Some(4))]
#[case::half_fail(1, 1_400, 2, false, Some(10))]
#[case::few_fail(1, 12, 50, false, None)]
#[case::both_fail(1, 12, 1, true, None)]
#[case::late_fault(5_000, 1_400, 1, false, Some(4))]
fn strong_evidence_stops_a_nodes_own_use(
    #[case] good_before: u32,
    #[case] nodes: u32,
    #[case] fail_every: u32,
    #[case] old_fails: bool,
    #[case] stops_at: Option<u32>,
) {
    let mut guard = Guard::new(nodes, true);
    for _ in 0..100 {
        guard.record(Side::Old, old_fails, Phase::Raising, at(0));
    }
    assert_eq!(
        calls_until_stop(&mut guard, u32::MAX, old_fails, good_before),
        None
    );
    let stopped = calls_until_stop(&mut guard, fail_every, old_fails, 2_000);
    assert_eq!(stopped, stops_at);
    assert_eq!(guard.stopped_until().is_some(), stops_at.is_some());
}

/// Fails if the lowest failure rate that is assumed of a good version is as low as 0.0003: two
/// failures in a thousand calls then stopped a node.
#[rstest]
#[case::small_fleet(12, 0.01)]
#[case::large_fleet(1_400, 0.002)]
fn a_good_version_is_not_stopped(#[case] nodes: u32, #[case] errors: f64) {
    let mut rng = fastrand::Rng::with_seed(6);
    let mut guard = Guard::new(nodes, true);
    for call in 0..200_000 {
        let (old, new) = (rng.f64() < errors, rng.f64() < errors);
        guard.record(Side::Old, old, Phase::Raising, at(0));
        assert!(
            !guard.record(Side::New, new, Phase::Raising, at(0)),
            "at call {call}"
        );
    }
}

/// Fails if stops do not become longer, or end too early or too late.
#[test]
fn each_stop_is_twice_as_long_as_the_last() {
    let mut guard = Guard::new(12, true);
    let mut now = 0;
    for seconds in [30, 60, 120, 240, 480, 600, 600] {
        while !guard.record(Side::New, true, Phase::Raising, at(now)) {}
        assert_eq!(guard.stopped_until(), Some(at(now + seconds)));
        assert!(!guard.admit(Phase::Raising, at(now + seconds - 1)));
        assert!(guard.admit(Phase::Raising, at(now + seconds)));
        now += seconds;
    }
}

/// Fails if the outstanding calls of an unproven version are not bounded, or those of others are.
#[rstest]
#[case::unproven(false, Phase::Proving, [true, false, false])]
#[case::held(false, Phase::Held, [true, false, false])]
#[case::proved(false, Phase::Raising, [true, true, true])]
#[case::idempotent(true, Phase::Proving, [true, true, true])]
#[case::taken_back(true, Phase::TakenBack, [false, false, false])]
#[case::completed(false, Phase::Completed, [true, true, true])]
fn outstanding_calls_are_bounded_while_unproven(
    #[case] idempotent: bool,
    #[case] phase: Phase,
    #[case] admitted: [bool; 3],
) {
    let mut guard = Guard::new(12, idempotent);
    assert_eq!([(); 3].map(|()| guard.admit(phase, at(0))), admitted);
}

/// Fails if one failure of an unproven version does not pause its use in a non-idempotent service,
/// or does so once the version is proven.
#[rstest]
#[case::unproven(false, Phase::Proving, false)]
#[case::proved(false, Phase::Raising, true)]
#[case::idempotent(true, Phase::Proving, true)]
fn one_failure_pauses_an_unproven_version(
    #[case] idempotent: bool,
    #[case] phase: Phase,
    #[case] is_admitted: bool,
) {
    let mut guard = Guard::new(1_400, idempotent);
    assert!(guard.admit(phase, at(0)));
    guard.record(Side::New, true, phase, at(0));
    assert_eq!(guard.admit(phase, at(9)), is_admitted);
    assert!(guard.admit(Phase::Raising, at(10)));
}
