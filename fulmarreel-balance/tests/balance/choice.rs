use fulmarreel_balance::choice::{Candidate, Tier, choose};
use rstest::rstest;

const IDLE: Candidate = Candidate {
    tier: Tier::SameZone,
    in_flight: 0,
    reported_load: 0,
    slots: 6,
    warmth: 1.0,
    avoided: false,
};

/// How often each candidate is chosen out of 10 000 times.
fn choice_counts(candidates: &[Candidate]) -> Vec<u32> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..10_000 {
        counts[choose(candidates, &mut random).expect("a candidate")] += 1;
    }
    counts
}

const REGION: Candidate = Candidate {
    tier: Tier::SameRegion,
    ..IDLE
};
const REMOTE: Candidate = Candidate {
    tier: Tier::OtherRegion,
    ..IDLE
};
const FULL: Candidate = Candidate {
    in_flight: 6,
    ..IDLE
};
const AVOIDED: Candidate = Candidate {
    avoided: true,
    ..IDLE
};

/// Fails if the tiers are ignored.
#[rstest]
#[case::own_zone(&[REMOTE, REGION, IDLE], 2)]
#[case::region_when_the_zone_is_full(&[REMOTE, REGION, FULL], 1)]
#[case::region_when_the_zone_fails(&[REMOTE, REGION, AVOIDED], 1)]
#[case::remote_when_nothing_else_is_left(&[REMOTE], 0)]
#[case::own_zone_when_all_are_full(&[Candidate { in_flight: 6, ..REMOTE }, FULL], 1)]
fn the_nearest_tier_with_room_is_chosen(#[case] candidates: &[Candidate], #[case] expected: usize) {
    assert_eq!(choice_counts(candidates)[expected], 10_000);
}

/// Fails if `sample` ignores `warmth`.
#[test]
fn a_cold_target_starts_with_a_small_share() {
    let cold = Candidate {
        warmth: 0.1,
        ..IDLE
    };
    let counts = choice_counts(&[IDLE, IDLE, IDLE, cold]);
    assert!((200..=1_200).contains(&counts[3]), "{counts:?}");
}

/// Fails if the reported load replaces this node's own count of calls in flight.
#[test]
fn a_target_that_reports_no_load_is_not_flooded() {
    let accurate = Candidate {
        in_flight: 2,
        reported_load: 2,
        ..IDLE
    };
    // Has as many calls of this node in flight as the others, but reports that it is idle.
    let misreporting = Candidate {
        reported_load: 0,
        ..accurate
    };
    let counts = choice_counts(&[accurate, accurate, accurate, misreporting]);
    assert!((2_000..=3_000).contains(&counts[3]), "{counts:?}");
}

#[test]
fn without_a_candidate_there_is_no_choice() {
    let chosen = choose(&[], &mut fastrand::Rng::with_seed(1));
    assert_eq!(chosen, None);
}
