//! The join of published states, and their JSON.

use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{
    Share, State,
    state::{Figures, Measure, Phase, Reason, Wire},
};
use rstest::rstest;

const PHASES: [Phase; 8] = [
    Phase::Waiting,
    Phase::Proving,
    Phase::Held,
    Phase::Raising,
    Phase::Soaking,
    Phase::Checking,
    Phase::Completed,
    Phase::TakenBack,
];

fn random_state(rng: &mut fastrand::Rng) -> State {
    let mut state = State::waiting(rng.u64(0..3), Timestamp(rng.u64(0..3)));
    state.step = rng.u64(0..3);
    state.share = Share::try_from(rng.u32(0..3)).expect("a small share");
    state.phase = PHASES[rng.usize(0..PHASES.len())];
    state.moved_at = rng.bool().then(|| Timestamp(rng.u64(0..3)));
    state.reason = if rng.bool() {
        Reason::Scheduled
    } else {
        Reason::Bad(figures(rng.u64(0..3)))
    };
    state
}

fn figures(new_bad: u64) -> Figures {
    Figures {
        measure: Measure::Latency,
        route: Some(1),
        new_calls: 9,
        new_bad,
        old_calls: 900,
        old_bad: 1,
    }
}

/// Fails if any field is left out of the order, or a tie is decided by the position of the states.
#[test]
fn join_is_commutative_associative_and_idempotent() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..20_000 {
        let (a, b, c) = (
            random_state(&mut rng),
            random_state(&mut rng),
            random_state(&mut rng),
        );
        let join = |x: &State, y: &State| x.clone().join(y.clone());
        assert_eq!(join(&a, &a), a);
        assert_eq!(join(&a, &b), join(&b, &a));
        assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        assert_eq!(a.covers(&b), join(&a, &b) == a);
    }
}

/// Fails if the step takes precedence over the verdict, or the verdict over the revision.
#[rstest]
#[case::a_verdict_wins_over_a_later_step((4, 2, Phase::TakenBack), (4, 9, Phase::Completed), 0)]
#[case::a_later_step_wins((4, 2, Phase::Raising), (4, 3, Phase::Checking), 1)]
#[case::a_later_document_wins_over_a_verdict((4, 2, Phase::TakenBack), (5, 0, Phase::Waiting), 1)]
fn join_prefers(
    #[case] one: (u64, u64, Phase),
    #[case] other: (u64, u64, Phase),
    #[case] winner: usize,
) {
    let states = [one, other].map(|(revision, step, phase)| {
        let mut state = State::waiting(revision, Timestamp(7));
        (state.step, state.phase) = (step, phase);
        state
    });
    let joined = states[0].clone().join(states[1].clone());
    assert_eq!(joined, states[winner]);
}

/// Fails if any field is lost in the round trip.
#[test]
fn json_keeps_the_state() {
    let mut state = State::waiting(7, Timestamp(1_000));
    state.step = 3;
    state.phase = Phase::TakenBack;
    state.reason = Reason::Bad(figures(8));
    state.moved_at = Some(Timestamp(900));
    let json = serde_json::to_string(&Wire::from(&state)).expect("a state as JSON");
    let wire: Wire = serde_json::from_str(&json).expect("its own JSON");
    assert_eq!(State::try_from(wire), Ok(state));
}

/// Fails if the share is not checked, by itself or against the phase.
#[rstest]
#[case::share_over_all("soaking", 1_000_001, "1000001 parts per million is not a share")]
#[case::share_taken_back("taken_back", 5, "5 parts per million in this phase")]
#[case::share_not_complete("completed", 999_999, "999999 parts per million in this phase")]
fn a_malformed_state_is_refused(#[case] phase: &str, #[case] share: u32, #[case] error: &str) {
    let json = format!(
        r#"{{"revision":7,"step":3,"share_ppm":{share},"phase":"{phase}","reason":"scheduled","at_ms":1,"moved_at_ms":null}}"#
    );
    let wire: Wire = serde_json::from_str(&json).expect("well-formed JSON");
    let rejection = State::try_from(wire).expect_err("a malformed state");
    assert!(rejection.to_string().contains(error), "{rejection}");
    assert!(
        rejection.to_string().contains("step 3 of revision 7"),
        "{rejection}"
    );
}
