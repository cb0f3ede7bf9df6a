//! Drawn plays.

use super::{
    plan::{Kind, Plan, Trouble},
    version::{COLD, Fault, Version, When},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use std::time::Duration;

/// Plays of one property.
const CASES: u32 = 192;

/// The usual time of a brief call.
pub const BRIEF: Duration = Duration::from_millis(30);

/// Names a variable with another number of plays.
pub const CASES_VARIABLE: &str = "FULMARREEL_MOVES";

/// Names a variable with another seed.
const SEED_VARIABLE: &str = "FULMARREEL_SEED";

/// A number in the environment.
pub fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// How many plays are drawn, and from which seed.
pub fn config() -> ProptestConfig {
    ProptestConfig {
        cases: number(CASES_VARIABLE).map_or(CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number(SEED_VARIABLE).unwrap_or(23)),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    }
}

/// A time of some milliseconds.
pub fn millis(from: u64, until: u64) -> impl Strategy<Value = Duration> {
    (from..until).prop_map(Duration::from_millis)
}

/// A version that is bad in one way or another.
pub fn bad_version() -> impl Strategy<Value = Version> {
    let fault = prop_oneof![
        (300_u32..800).prop_map(Fault::Fails),
        (500_u32..1_000, 6.0..16.0).prop_map(|(part, times)| Fault::Slow(part, times)),
    ];
    version(fault, COLD)
}

/// A version of that fault, and when it shows.
pub fn version(
    fault: impl Strategy<Value = Fault>,
    cold: Duration,
) -> impl Strategy<Value = Version> {
    let when = prop_oneof![
        Just(When::AtOnce),
        millis(500, 4_000).prop_map(When::From),
        (60_u16..550).prop_map(When::Above),
        Just(When::OneRoute),
    ];
    (when, fault).prop_map(move |(when, fault)| Version { when, fault, cold })
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

/// A play with a version and troubles.
pub fn plan(
    version: impl Strategy<Value = Version>,
    troubles: impl Strategy<Value = Vec<Trouble>>,
) -> impl Strategy<Value = Plan> {
    (20_u64..400, brief_plan(version, troubles)).prop_map(|(usual, plan)| Plan {
        usual: Duration::from_millis(usual),
        ..plan
    })
}

/// A play of brief calls.
pub fn brief_plan(
    version: impl Strategy<Value = Version>,
    troubles: impl Strategy<Value = Vec<Trouble>>,
) -> impl Strategy<Value = Plan> {
    let size = (4_usize..40, 60_u32..250);
    (size, 8_u64..=16, version, troubles, any::<u64>()).prop_map(
        |((nodes, rate), seconds, version, troubles, seed)| Plan {
            nodes,
            rate,
            usual: BRIEF,
            limit: Duration::from_secs(seconds),
            version,
            troubles,
            seed,
        },
    )
}

/// A good version.
pub fn good() -> Version {
    Version {
        when: When::Never,
        fault: Fault::Fails(0),
        cold: COLD,
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

/// Whatever may become of owner, nodes, datagrams and store.
pub fn any_troubles() -> impl Strategy<Value = Vec<Trouble>> {
    vec(trouble(), 0..4)
}

/// What does not keep a good version from being in time.
pub fn mild_troubles() -> impl Strategy<Value = Vec<Trouble>> {
    vec(mild_trouble(), 0..3)
}
