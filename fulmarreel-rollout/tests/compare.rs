//! Which versions the comparison finds bad.

mod common;

use common::{FAULT, Fleet, Rates, at, observe};
use fulmarreel_rollout::{Comparison, Evidence, evidence::Tally, state::Measure};
use rstest::rstest;

const USUAL: Rates = Rates {
    old_errors: 0.001,
    new_errors: 0.001,
    old_slow: 0.005,
    new_slow: 0.005,
};

fn rates(change: impl Fn(&mut Rates)) -> Rates {
    let mut rates = USUAL;
    change(&mut rates);
    rates
}

fn verdict_measure(fleet: &mut Fleet, seconds: u64) -> Option<Measure> {
    let mut comparison = Comparison::new(FAULT, at(0));
    observe(&mut comparison, fleet, 1, (100, 4), 1..seconds);
    comparison.verdict(false).map(|figures| figures.measure)
}

/// Fails if the old version's calls over the same time are ignored (`both_*`), the smallest tested
/// excess is ten times as large (`three_percent_fail`), or the latency tests are left out
/// (`*_slow`).
#[rstest]
#[case::alike(USUAL, None)]
#[case::half_fail(rates(|r| r.new_errors = 0.5), Some(Measure::Errors))]
#[case::three_percent_fail(rates(|r| r.new_errors = 0.03), Some(Measure::Errors))]
#[case::half_slow(rates(|r| r.new_slow = 0.5), Some(Measure::Latency))]
#[case::eight_percent_slow(rates(|r| r.new_slow = 0.08), Some(Measure::Latency))]
#[case::somewhat_worse(rates(|r| r.new_errors = 0.003), None)]
#[case::both_fail(rates(|r| (r.old_errors, r.new_errors) = (0.3, 0.3)), None)]
#[case::both_slow(rates(|r| (r.old_slow, r.new_slow) = (0.6, 0.6)), None)]
#[case::both_fail_and_worse(
    rates(|r| (r.old_errors, r.new_errors) = (0.1, 0.6)),
    Some(Measure::Errors)
)]
fn the_versions_are_compared_side_by_side(#[case] rates: Rates, #[case] bad: Option<Measure>) {
    assert_eq!(verdict_measure(&mut Fleet::new(rates), 600), bad);
}

/// Fails if routes are not compared one by one: over all routes the old version's 95th percentile
/// is that of the slow route, and nothing is slower than that.
#[test]
fn a_fault_of_one_route_is_found() {
    let mut fleet = Fleet::new(rates(|r| (r.old_slow, r.new_slow) = (0.3, 0.3)));
    fleet.small_route = Some(rates(|r| (r.old_slow, r.new_slow) = (0.0, 0.5)));
    let mut comparison = Comparison::new(FAULT, at(0));
    observe(&mut comparison, &mut fleet, 1, (100, 4), 1..240);
    let figures = comparison.verdict(false).expect("a verdict");
    assert_eq!(
        (figures.measure, figures.route),
        (Measure::Latency, Some(1))
    );
    assert!(figures.new_bad > 0 && figures.new_bad <= figures.new_calls);
}

/// Fails if the bound of a verdict is as low as 3. With two callers none is excluded.
#[test]
fn chance_alone_brings_no_verdict() {
    for seed in 0..30 {
        let mut fleet = Fleet::new(rates(|r| (r.old_errors, r.new_errors) = (0.005, 0.005)));
        (fleet.callers, fleet.rng) = (2, Some(fastrand::Rng::with_seed(seed)));
        let mut comparison = Comparison::new(FAULT, at(0));
        for second in 1..600 {
            observe(&mut comparison, &mut fleet, 1, (100, 4), second..second + 1);
            assert_eq!(
                comparison.verdict(false),
                None,
                "seed {seed}, second {second}"
            );
        }
    }
}

/// Fails if no reporter is excluded, or if the top reporters of several ticks are merged into one.
/// That was the first fault measured: good versions were rolled back in every run with one
/// misleading node of twelve.
#[rstest]
#[case::one_of_twelve(12, None)]
#[case::the_only_caller(1, Some(Measure::Errors))]
fn one_misleading_node_decides_nothing(#[case] callers: u32, #[case] bad: Option<Measure>) {
    let mut fleet = Fleet::new(USUAL);
    (fleet.misleading_node, fleet.callers) = (Some(0), callers);
    assert_eq!(verdict_measure(&mut fleet, 600), bad);
}

/// Fails if the sums may fall below zero: 3,000 s of good calls would outweigh the fault.
#[test]
fn a_late_fault_is_found_soon() {
    let mut fleet = Fleet::new(USUAL);
    let mut comparison = Comparison::new(FAULT, at(0));
    observe(&mut comparison, &mut fleet, 1, (100, 100), 1..3_000);
    assert_eq!(comparison.verdict(false), None);
    fleet.rates.new_errors = 0.5;
    observe(&mut comparison, &mut fleet, 1, (100, 100), 3_000..3_003);
    assert!(comparison.verdict(false).is_some());
}

/// Fails if the old version's earlier calls are not kept for comparison, or are enough for a
/// verdict.
#[test]
fn without_calls_to_the_old_version_a_fault_is_suspected_only() {
    let mut fleet = Fleet::new(USUAL);
    let mut comparison = Comparison::new(FAULT, at(0));
    observe(&mut comparison, &mut fleet, 1, (100, 100), 1..60);
    observe(&mut comparison, &mut fleet, 2, (0, 200), 60..120);
    assert!(!comparison.is_suspect());
    fleet.rates.new_errors = 0.3;
    observe(&mut comparison, &mut fleet, 2, (0, 200), 120..132);
    assert!(comparison.is_suspect());
    assert_eq!(comparison.verdict(false), None);
}

/// Fails if errors do not count against a proof, or lost reports lower the call rate.
#[test]
fn calls_prove_a_version() {
    let mut comparison = Comparison::new(FAULT, at(0));
    assert_eq!(comparison.missing_proof(), 1.0);
    observe(&mut comparison, &mut Fleet::new(USUAL), 1, (100, 4), 1..100);
    assert!(comparison.is_proven());
    assert_eq!(comparison.calls_per_s(24), Some(208.0));
    let mut worse = Comparison::new(FAULT, at(0));
    let mut fleet = Fleet::new(rates(|r| r.new_errors = 0.025));
    observe(&mut worse, &mut fleet, 1, (100, 4), 1..100);
    assert!(!worse.is_proven());
}

/// Fails if the old version's 95th percentile alone decides what is slow: answers of a fraction of
/// a millisecond vary by as much as their latency.
#[rstest]
#[case::noise_of_quick_answers(300, 4_000, false)]
#[case::slow_answers(300, 100_000, true)]
fn the_noise_of_quick_answers_is_not_suspected(
    #[case] usual_us: u64,
    #[case] worse_us: u64,
    #[case] suspected: bool,
) {
    let mut comparison = Comparison::new(FAULT, at(0));
    let tally = |slow: u64| {
        let mut tally = Tally::default();
        for call in 0..100 {
            tally.record(false, if call < slow { worse_us } else { usual_us });
        }
        tally
    };
    for second in 1..60 {
        let sum = Evidence::report(1, [(0, tally(0), Tally::default())]);
        comparison.absorb(&[sum], 1, at(second));
    }
    for second in 60..80 {
        let sum = Evidence::report(1, [(0, Tally::default(), tally(30))]);
        comparison.absorb(&[sum], 2, at(second));
    }
    assert_eq!(comparison.is_suspect(), suspected);
}
