//! Randomly drawn scenarios.

use super::{
    plan::{Disturbance, Effect, Scenario},
    version::{COLD, Fault, Version, When},
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use std::time::Duration;

/// Number of scenarios drawn for one property.
const SCENARIOS: u32 = 192;

/// The usual latency of a brief call.
pub const BRIEF: Duration = Duration::from_millis(30);

/// Environment variable that sets the number of scenarios.
pub const SCENARIOS_VARIABLE: &str = "FULMARREEL_MOVES";

/// Environment variable that sets the seed.
const SEED_VARIABLE: &str = "FULMARREEL_SEED";

/// The number in an environment variable, if it is set.
pub fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// How many scenarios are drawn, and from which seed.
pub fn config() -> ProptestConfig {
    ProptestConfig {
        cases: env_number(SCENARIOS_VARIABLE).map_or(SCENARIOS, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(env_number(SEED_VARIABLE).unwrap_or(23)),
        failure_persistence: None,
        max_shrink_iters: 64,
        ..ProptestConfig::default()
    }
}

/// A duration in milliseconds.
pub fn millis(from: u64, until: u64) -> impl Strategy<Value = Duration> {
    (from..until).prop_map(Duration::from_millis)
}

/// A version that is bad in one way or another.
pub fn bad_version() -> impl Strategy<Value = Version> {
    let fault = prop_oneof![
        (300_u32..800).prop_map(Fault::Fails),
        (500_u32..1_000, 6.0..16.0).prop_map(|(permille, factor)| Fault::Slow(permille, factor)),
    ];
    version(fault, COLD)
}

/// A version with that fault, which shows under a randomly drawn condition.
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

fn disturbance() -> impl Strategy<Value = Disturbance> {
    let kind = prop_oneof![
        Just(Effect::OwnerKilled),
        Just(Effect::OwnerFrozen),
        Just(Effect::OwnerMute),
        Just(Effect::OwnerDeaf),
        Just(Effect::OwnerCut),
        millis(100, 3_000).prop_map(Effect::OwnerDelayed),
        (20_u32..300).prop_map(Effect::Lossy),
        Just(Effect::OthersKilled),
        Just(Effect::StoreUnreachable),
    ];
    (kind, millis(200, 14_000), millis(300, 8_000)).prop_map(|(kind, from, duration)| Disturbance {
        kind,
        from,
        until: from + duration,
    })
}

/// A scenario with a version and disturbances.
pub fn scenario(
    version: impl Strategy<Value = Version>,
    disturbances: impl Strategy<Value = Vec<Disturbance>>,
) -> impl Strategy<Value = Scenario> {
    (20_u64..400, brief_scenario(version, disturbances)).prop_map(|(usual_latency, scenario)| {
        Scenario {
            usual_latency: Duration::from_millis(usual_latency),
            ..scenario
        }
    })
}

/// A scenario of brief calls.
pub fn brief_scenario(
    version: impl Strategy<Value = Version>,
    disturbances: impl Strategy<Value = Vec<Disturbance>>,
) -> impl Strategy<Value = Scenario> {
    let size = (4_usize..40, 60_u32..250);
    (size, 8_u64..=16, version, disturbances, any::<u64>()).prop_map(
        |((nodes, calls_per_s), seconds, version, disturbances, seed)| Scenario {
            nodes,
            calls_per_s,
            usual_latency: BRIEF,
            limit: Duration::from_secs(seconds),
            version,
            disturbances,
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

/// A disturbance under which a good version still completes in time.
fn mild_disturbance() -> impl Strategy<Value = Disturbance> {
    let kind = prop_oneof![
        millis(50, 400).prop_map(Effect::OwnerDelayed),
        (20_u32..150).prop_map(Effect::Lossy),
    ];
    let slow = (kind, millis(200, 14_000), millis(300, 8_000));
    let frozen = (
        Just(Effect::OwnerFrozen),
        millis(200, 4_000),
        millis(300, 900),
    );
    prop_oneof![slow, frozen].prop_map(|(kind, from, duration)| Disturbance {
        kind,
        from,
        until: from + duration,
    })
}

/// Any disturbances of the owner, the other nodes, the datagrams and the store.
pub fn any_disturbances() -> impl Strategy<Value = Vec<Disturbance>> {
    vec(disturbance(), 0..4)
}

/// Disturbances under which a good version still completes in time.
pub fn mild_disturbances() -> impl Strategy<Value = Vec<Disturbance>> {
    vec(mild_disturbance(), 0..3)
}
