use fulmarreel_balance::choice::{Candidate, Tier, choose};
use rstest::rstest;

const IDLE: Candidate = Candidate {
    tier: Tier::Zone,
    in_flight: 0,
    reported: 0,
    slots: 6,
    warmth: 1.0,
    avoided: false,
};

/// How often each candidate is chosen, of 10 000 draws.
fn shares(candidates: &[Candidate]) -> Vec<u32> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut shares = vec![0; candidates.len()];
    for _ in 0..10_000 {
        shares[choose(candidates, &mut random).expect("a candidate")] += 1;
    }
    shares
}

const REGION: Candidate = Candidate {
    tier: Tier::Region,
    ..IDLE
};
const REMOTE: Candidate = Candidate {
    tier: Tier::Remote,
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

/// Seen to fail with one tier for all, which is the naive baseline.
#[rstest]
#[case::own_zone(&[REMOTE, REGION, IDLE], 2)]
#[case::region_when_the_zone_is_full(&[REMOTE, REGION, FULL], 1)]
#[case::region_when_the_zone_fails(&[REMOTE, REGION, AVOIDED], 1)]
#[case::remote_when_nothing_else_is_left(&[REMOTE], 0)]
#[case::own_zone_when_all_are_full(&[Candidate { in_flight: 6, ..REMOTE }, FULL], 1)]
fn the_nearest_tier_with_room_is_chosen(#[case] candidates: &[Candidate], #[case] expected: usize) {
    assert_eq!(shares(candidates)[expected], 10_000);
}

/// Seen to fail with `warmth` left out of `draw`.
#[test]
fn a_cold_target_starts_with_a_small_share() {
    let cold = Candidate {
        warmth: 0.1,
        ..IDLE
    };
    let shares = shares(&[IDLE, IDLE, IDLE, cold]);
    assert!((200..=1_200).contains(&shares[3]), "{shares:?}");
}

/// Seen to fail with the report counted in full, in place of this node's own calls.
#[test]
fn a_target_that_reports_no_load_is_not_flooded() {
    // The liar is as busy as the others with this node's calls, and says that it is idle.
    let honest = Candidate {
        in_flight: 2,
        reported: 2,
        ..IDLE
    };
    let liar = Candidate {
        reported: 0,
        ..honest
    };
    let shares = shares(&[honest, honest, honest, liar]);
    assert!((2_000..=3_000).contains(&shares[3]), "{shares:?}");
}

#[test]
fn nothing_is_chosen_of_nothing() {
    let chosen = choose(&[], &mut fastrand::Rng::with_seed(1));
    assert_eq!(chosen, None);
}
