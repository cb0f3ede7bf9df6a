//! What a bad version may get, and when a good one is to be complete.

use super::{
    plan::{Kind, Plan, Report, Trouble},
    play::play,
    version::{Fault, Version, When},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use std::time::Duration;

/// Plays of one property.
const CASES: u32 = 192;

/// Names a variable with another number of plays.
const CASES_VARIABLE: &str = "FULMARREEL_MOVES";

/// Names a variable with another seed.
const SEED_VARIABLE: &str = "FULMARREEL_SEED";

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: number(CASES_VARIABLE).map_or(CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number(SEED_VARIABLE).unwrap_or(23)),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    }
}

fn millis(from: u64, until: u64) -> impl Strategy<Value = Duration> {
    (from..until).prop_map(Duration::from_millis)
}

fn bad_version() -> impl Strategy<Value = Version> {
    let when = prop_oneof![
        Just(When::AtOnce),
        millis(500, 4_000).prop_map(When::From),
        (60_u16..550).prop_map(When::Above),
        Just(When::OneRoute),
    ];
    let fault = prop_oneof![
        (300_u32..800).prop_map(Fault::Fails),
        (500_u32..1_000, millis(150, 500)).prop_map(|(part, took)| Fault::Slow(part, took)),
    ];
    (when, fault).prop_map(|(when, fault)| Version { when, fault })
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let kind = prop_oneof![
        Just(Kind::OwnerKilled),
        Just(Kind::OwnerFrozen),
        Just(Kind::OwnerMute),
        Just(Kind::OwnerDeaf),
        Just(Kind::OwnerCut),
        millis(100, 3_000).prop_map(Kind::OwnerDelayed),
        (20_u32..300).prop_map(Kind::Lossy),
        Just(Kind::OthersKilled),
        Just(Kind::StoreAway),
    ];
    (kind, millis(200, 14_000), millis(300, 8_000)).prop_map(|(kind, from, lasts)| Trouble {
        kind,
        from,
        until: from + lasts,
    })
}

fn plan(
    version: impl Strategy<Value = Version>,
    troubles: impl Strategy<Value = Vec<Trouble>>,
) -> impl Strategy<Value = Plan> {
    let size = (4_usize..40, 60_u32..250);
    (size, 8_u64..=16, version, troubles, any::<u64>()).prop_map(
        |((nodes, rate), seconds, version, troubles, seed)| Plan {
            nodes,
            rate,
            limit: Duration::from_secs(seconds),
            version,
            troubles,
            seed,
        },
    )
}

fn good() -> Version {
    Version {
        when: When::Never,
        fault: Fault::Fails(0),
    }
}

fn at(kind: Kind, from: u64, until: u64) -> Trouble {
    Trouble {
        kind,
        from: Duration::from_millis(from),
        until: Duration::from_millis(until),
    }
}

fn assert_bounded(report: &Report) -> Result<(), TestCaseError> {
    prop_assert!(report.completed.is_none(), "{report:?}");
    prop_assert!(
        !report.is_exposed(),
        "{} allowed: {report:?}",
        report.allowed()
    );
    prop_assert!(!report.is_late(), "{report:?}");
    Ok(())
}

/// Fails if an owner that is cut off leaves the others with the share that they were last told:
/// 231 of 1,426 calls reached a slow version, 193 were allowed.
#[test]
fn a_share_does_not_outlive_an_owner_that_is_cut_off() {
    let plan = Plan {
        nodes: 12,
        rate: 143,
        limit: Duration::from_secs(10),
        version: Version {
            when: When::From(Duration::from_millis(4_500)),
            fault: Fault::Slow(800, Duration::from_millis(240)),
        },
        troubles: vec![at(Kind::OwnerCut, 3_000, 20_000)],
        seed: 1,
    };
    assert_bounded(&play(&plan)).expect("bounded");
}

/// Fails if nobody takes a version back between one owner and the next: 452 of 2,329 calls reached
/// one that fails under load, 283 were allowed.
#[test]
fn a_share_does_not_outlive_a_killed_owner_while_the_store_is_away() {
    let plan = Plan {
        nodes: 36,
        rate: 146,
        limit: Duration::from_secs(16),
        version: Version {
            when: When::Above(200),
            fault: Fault::Fails(500),
        },
        troubles: vec![
            at(Kind::OwnerKilled, 7_200, 9_200),
            at(Kind::StoreAway, 7_300, 14_000),
        ],
        seed: 1,
    };
    assert_bounded(&play(&plan)).expect("bounded");
}

proptest! {
    #![proptest_config(config())]

    /// Fails if a version that is bad gets more calls than it may, whatever becomes of the owner,
    /// the store and the datagrams.
    #[test]
    fn a_bad_version_stays_within_its_bound(plan in plan(bad_version(), vec(trouble(), 0..4))) {
        assert_bounded(&play(&plan))?;
    }

    /// Fails if a good version is late where nothing is wrong, or datagrams get lost or are slow.
    #[test]
    fn a_good_version_is_complete_in_time(
        plan in plan(Just(good()), vec(mild_trouble(), 0..3)),
    ) {
        let report = play(&plan);
        let in_time = report.completed.is_some_and(|at| at <= plan.limit);
        prop_assert!(in_time, "{report:?}");
    }

    /// Fails if nodes that learn late of a move's end from the store fall back to targets that are stopped.
    #[test]
    fn no_call_goes_to_a_version_that_was_stopped(
        plan in plan(Just(good()), vec(mild_trouble(), 0..3)),
    ) {
        let report = play(&plan);
        prop_assert!(report.lost == 0, "{report:?}");
    }

    /// Fails if a good version is late whose first owner dies early.
    #[test]
    fn a_good_version_is_complete_in_time_under_a_second_owner(
        plan in plan(Just(good()), Just(Vec::new())),
        from in 100_u64..2_000,
    ) {
        let troubles = vec![at(Kind::OwnerKilled, from, from + 2_000)];
        let limit = plan.limit.max(Duration::from_secs(12));
        let plan = Plan { troubles, limit, ..plan };
        let report = play(&plan);
        let in_time = report.completed.is_some_and(|at| at <= plan.limit);
        prop_assert!(in_time, "{report:?}");
    }

    /// Fails if a good version is taken back.
    #[test]
    fn a_good_version_is_never_taken_back(plan in plan(Just(good()), vec(trouble(), 0..4))) {
        let report = play(&plan);
        prop_assert!(report.rolled_back.is_none(), "{report:?}");
    }
}

/// What a good version bears.
fn mild_trouble() -> impl Strategy<Value = Trouble> {
    let kind = prop_oneof![
        millis(50, 400).prop_map(Kind::OwnerDelayed),
        (20_u32..150).prop_map(Kind::Lossy),
    ];
    let slow = (kind, millis(200, 14_000), millis(300, 8_000));
    let frozen = (
        Just(Kind::OwnerFrozen),
        millis(200, 4_000),
        millis(300, 900),
    );
    prop_oneof![slow, frozen].prop_map(|(kind, from, lasts)| Trouble {
        kind,
        from,
        until: from + lasts,
    })
}

/// Prints how many plays break a bound, for figures.
#[test]
#[ignore = "prints figures; run by hand"]
fn figures() {
    use proptest::{strategy::ValueTree, test_runner::TestRunner};
    let mut runner = TestRunner::new(config());
    let plays = number(CASES_VARIABLE).unwrap_or(1_000);
    let bad = plan(bad_version(), vec(trouble(), 0..4));
    let (mut over, mut late, mut completed, mut worst) = (0, 0, 0, 0);
    for _ in 0..plays {
        let plan = bad.new_tree(&mut runner).expect("plan").current();
        let report = play(&plan);
        over += u32::from(report.is_exposed());
        late += u32::from(report.is_late());
        completed += u32::from(report.completed.is_some());
        worst = worst.max(report.new.saturating_sub(report.allowed()));
    }
    println!(
        "bad: {plays} plays, {over} over the bound by up to {worst}, {late} late, {completed} completed"
    );
    let mild = plan(Just(good()), vec(mild_trouble(), 0..3));
    let any = plan(Just(good()), vec(trouble(), 0..4));
    for (name, good) in [("mild", mild.boxed()), ("any", any.boxed())] {
        let (mut on_time, mut completed, mut taken_back) = (0, 0, 0);
        for _ in 0..plays {
            let plan = good.new_tree(&mut runner).expect("plan").current();
            let report = play(&plan);
            on_time += u32::from(report.completed.is_some_and(|at| at <= plan.limit));
            completed += u32::from(report.completed.is_some());
            taken_back += u32::from(report.rolled_back.is_some());
        }
        println!(
            "good, {name} troubles: {plays} plays, {on_time} on time, {completed} completed, {taken_back} taken back"
        );
    }
}
