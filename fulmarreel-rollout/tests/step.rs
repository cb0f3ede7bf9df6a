//! The owner's next step.

mod common;

use common::{Fleet, Rates, at, observe, plan};
use fulmarreel_document::rollout::{Timestamp, UnprovenAction};
use fulmarreel_rollout::{
    Comparison, Evidence, Share, State,
    state::{Phase, Reason},
    step::{Decision, Hold, OwnerContact, step},
};
use rstest::rstest;

const GOOD: Rates = Rates {
    old_errors: 0.001,
    new_errors: 0.001,
    old_slow: 0.005,
    new_slow: 0.005,
};

fn state(phase: Phase, share: f64) -> State {
    let mut state = State::waiting(7, at(0));
    (state.step, state.phase, state.share) = (3, phase, Share::from_fraction(share));
    state
}

fn contact(second: u64) -> OwnerContact {
    OwnerContact {
        lease_until: at(second + 5),
        evidence_until: at(second - 1),
        clock_ahead_ms: Some(0),
        nodes: 12,
        new_targets: 4,
    }
}

/// A comparison that has observed step 3 until a second.
fn observed(rates: Rates, calls: (u64, u64), from: u64, until: u64) -> Comparison {
    let mut comparison = Comparison::new(common::FAULT, at(from));
    observe(
        &mut comparison,
        &mut Fleet::new(rates),
        3,
        calls,
        from + 1..until + 1,
    );
    comparison
}

fn decision_kind(decision: &Decision) -> (&'static str, Option<(Phase, f64)>) {
    let name = match decision {
        Decision::Hold(_) => "hold",
        Decision::Raise(_) => "raise",
        Decision::Lower(_) => "lower",
        Decision::RollBack(_) => "take back",
        Decision::Complete(_) => "complete",
    };
    let state = decision.state();
    (
        name,
        state.map(|state| (state.phase, state.share.fraction())),
    )
}

/// The share of a proven version with enough time left would rise here; each case fails if its
/// check is left out.
#[rstest]
#[case::lease_over(|c: &mut OwnerContact| c.lease_until = at(400), Hold::NoContact)]
#[case::evidence_late(|c: &mut OwnerContact| c.evidence_until = at(369), Hold::StaleEvidence)]
#[case::clock_ahead(|c: &mut OwnerContact| c.clock_ahead_ms = Some(5_001), Hold::ClockOff)]
#[case::clock_behind(|c: &mut OwnerContact| c.clock_ahead_ms = Some(-5_001), Hold::ClockOff)]
#[case::no_targets(|c: &mut OwnerContact| c.new_targets = 0, Hold::NoTargets)]
fn nothing_rises_without_contact(#[case] change: fn(&mut OwnerContact), #[case] hold: Hold) {
    let comparison = observed(GOOD, (100, 4), 0, 400);
    let (state, plan) = (
        state(Phase::Raising, 0.1),
        plan(1_000, UnprovenAction::Hold),
    );
    let mut contact = contact(400);
    let decision = step(&state, &plan, &comparison, &contact, at(400));
    assert_eq!(
        decision_kind(&decision),
        ("raise", Some((Phase::Raising, 0.2)))
    );
    change(&mut contact);
    let decision = step(&state, &plan, &comparison, &contact, at(400));
    assert_eq!(decision, Decision::Hold(hold));
}

/// Fails if a clock jump counts as observed time, or the share may rise in the ticks right after
/// it.
#[rstest]
#[case::forward(4_000)]
#[case::back(100)]
fn a_share_does_not_rise_when_the_clock_jumps(#[case] to: u64) {
    let mut comparison = observed(GOOD, (100, 4), 0, 400);
    let (state, plan) = (
        state(Phase::Raising, 0.1),
        plan(5_000, UnprovenAction::Complete),
    );
    let mut fleet = Fleet::new(GOOD);
    observe(&mut comparison, &mut fleet, 3, (100, 4), to..to + 1);
    for second in to..to + 5 {
        let decision = step(&state, &plan, &comparison, &contact(second), at(second));
        assert_eq!(decision, Decision::Hold(Hold::ClockJumped));
        observe(
            &mut comparison,
            &mut fleet,
            3,
            (100, 4),
            second + 1..second + 2,
        );
    }
    let decision = step(&state, &plan, &comparison, &contact(to + 5), at(to + 5));
    assert_ne!(decision, Decision::Hold(Hold::ClockJumped));
}

/// Fails if evidence that was on time a few seconds ago is still enough.
#[test]
fn nothing_rises_in_silence() {
    let mut comparison = observed(GOOD, (100, 4), 0, 400);
    let (state, plan) = (
        state(Phase::Raising, 0.1),
        plan(1_000, UnprovenAction::Hold),
    );
    for second in 401..=404 {
        comparison.absorb(&[], 3, at(second));
        let decision = step(&state, &plan, &comparison, &contact(401), at(second));
        let rises = matches!(decision, Decision::Raise(_));
        assert_eq!(rises, second <= 403, "at second {second}");
    }
}

/// A service without a single call, whose zones report just that. Fails if time counts as observed
/// only while calls arrive (seen with the first driver, whose nodes report calls alone), or a held
/// version grows past the unproven share.
#[rstest]
#[case::completes(UnprovenAction::Complete, Phase::Soaking, Share::ALL)]
#[case::holds(UnprovenAction::Hold, Phase::Held, Share::from_fraction(0.02))]
fn an_idle_service_meets_its_deadline(
    #[case] unproven_at_deadline: UnprovenAction,
    #[case] phase: Phase,
    #[case] share: Share,
) {
    let plan = plan(600, unproven_at_deadline);
    let (mut comparison, mut state) = (
        Comparison::new(common::FAULT, at(0)),
        State::waiting(7, at(0)),
    );
    for second in 1..=601 {
        comparison.absorb(&[], state.step, at(second));
        let decision = step(&state, &plan, &comparison, &contact(second), at(second));
        state = decision.state().cloned().unwrap_or(state);
    }
    assert_eq!((state.phase, state.share), (phase, share));
    assert!(state.moved_at.is_none_or(|moved| moved <= at(600)));
}

/// Fails if the time of the last step is not compared with the owner's clock.
#[test]
fn an_owner_whose_clock_is_behind_the_last_step_holds() {
    let comparison = observed(GOOD, (100, 4), 0, 400);
    let mut state = state(Phase::Raising, 0.1);
    state.at = at(406);
    let plan = plan(1_000, UnprovenAction::Hold);
    let decision = step(&state, &plan, &comparison, &contact(400), at(400));
    assert_eq!(decision, Decision::Hold(Hold::ClockOff));
}

/// Fails if a verdict waits for contact or recent evidence.
#[test]
fn a_verdict_needs_no_contact() {
    let bad = Rates {
        new_errors: 0.5,
        ..GOOD
    };
    let comparison = observed(bad, (100, 4), 0, 60);
    let mut contact = contact(60);
    (contact.lease_until, contact.evidence_until) = (at(0), at(0));
    let (state, plan) = (
        state(Phase::Raising, 0.1),
        plan(1_000, UnprovenAction::Hold),
    );
    let decision = step(&state, &plan, &comparison, &contact, at(60));
    assert_eq!(
        decision_kind(&decision),
        ("take back", Some((Phase::TakenBack, 0.0)))
    );
    let verdict = decision.state().expect("a state");
    assert!(matches!(verdict.reason, Reason::Bad(figures) if figures.new_bad > 0));
    assert_eq!((verdict.revision, verdict.step), (7, 4));
}

/// The step at and around the deadline; `calls` are the calls per second to the old and the new
/// version, observed until `now`. Fails if the fallbacks are swapped, the schedule is not computed
/// backwards from the deadline, the proof is not required, or the unproven share is exceeded.
#[rstest]
#[case::proved_in_time((100, 4), 400, 1_000, UnprovenAction::Hold, "raise", Some((Phase::Raising, 0.04)))]
#[case::unproven_in_time((100, 0), 400, 1_000, UnprovenAction::Hold, "hold", None)]
#[case::unproven_near_the_deadline((100, 0), 400, 430, UnprovenAction::Complete, "raise", Some((Phase::Raising, 0.04)))]
#[case::unproven_near_the_deadline_but_holds((100, 0), 400, 430, UnprovenAction::Hold, "hold", None)]
#[case::unproven_at_the_deadline((100, 0), 400, 400, UnprovenAction::Hold, "raise", Some((Phase::Held, 0.02)))]
#[case::proved_late((100, 4), 400, 300, UnprovenAction::Hold, "raise", Some((Phase::Raising, 0.04)))]
fn the_deadline_decides(
    #[case] calls: (u64, u64),
    #[case] now: u64,
    #[case] deadline: u64,
    #[case] unproven_at_deadline: UnprovenAction,
    #[case] expected: &str,
    #[case] next: Option<(Phase, f64)>,
) {
    let comparison = observed(GOOD, calls, 0, now);
    let state = state(Phase::Proving, 0.02);
    let decision = step(
        &state,
        &plan(deadline, unproven_at_deadline),
        &comparison,
        &contact(now),
        at(now),
    );
    assert_eq!(decision_kind(&decision), (expected, next));
}

/// Fails if the soak ends before its time since all traffic moved, or since the deadline, has
/// passed.
#[rstest]
#[case::soaked(500, 400, 900, "complete", Some((Phase::Completed, 1.0)))]
#[case::too_soon_after_the_move(650, 400, 900, "hold", None)]
#[case::too_soon_after_the_deadline(500, 700, 900, "hold", None)]
fn the_soak_ends_the_move(
    #[case] moved: u64,
    #[case] deadline: u64,
    #[case] now: u64,
    #[case] expected: &str,
    #[case] next: Option<(Phase, f64)>,
) {
    let comparison = observed(GOOD, (0, 100), moved, now);
    let state = state(Phase::Soaking, 1.0);
    let plan = plan(deadline, UnprovenAction::Hold);
    let decision = step(&state, &plan, &comparison, &contact(now), at(now));
    assert_eq!(decision_kind(&decision), (expected, next));
}

/// Fails if a fault that begins after all traffic has moved is not checked by comparing both
/// versions over the same time, or a fault of both versions keeps the rollout from going on.
#[rstest]
#[case::only_the_new_version(0.0, "take back", Some((Phase::TakenBack, 0.0)))]
#[case::both_versions(0.3, "raise", Some((Phase::Soaking, 1.0)))]
fn a_late_fault_is_checked_side_by_side(
    #[case] old_errors: f64,
    #[case] expected: &str,
    #[case] next: Option<(Phase, f64)>,
) {
    let (plan, mut fleet) = (plan(100, UnprovenAction::Hold), Fleet::new(GOOD));
    let mut comparison = Comparison::new(common::FAULT, at(0));
    observe(&mut comparison, &mut fleet, 2, (100, 100), 1..100);
    (fleet.rates.new_errors, fleet.rates.old_errors) = (0.3, old_errors);
    observe(&mut comparison, &mut fleet, 3, (0, 200), 100..105);
    let decision = step(
        &state(Phase::Soaking, 1.0),
        &plan,
        &comparison,
        &contact(104),
        at(104),
    );
    assert_eq!(
        decision_kind(&decision),
        ("lower", Some((Phase::Checking, 0.5)))
    );
    let checking = decision.state().expect("a state").clone();
    let after = (105..400).find_map(|second| {
        observe(
            &mut comparison,
            &mut fleet,
            4,
            (100, 100),
            second..second + 1,
        );
        let decision = step(&checking, &plan, &comparison, &contact(second), at(second));
        decision.state().map(|_| decision_kind(&decision))
    });
    assert_eq!(after, Some((expected, next)));
}

/// Fails if a step does not reset the evidence against the earlier rate, or the old version's rate
/// is not updated: the rollout would go back and forth for as long as both versions fail.
#[test]
fn a_lasting_fault_of_both_versions_is_checked_a_few_times_only() {
    let (plan, mut fleet) = (plan(100, UnprovenAction::Hold), Fleet::new(GOOD));
    let mut comparison = Comparison::new(common::FAULT, at(0));
    observe(&mut comparison, &mut fleet, 2, (100, 100), 1..100);
    (fleet.rates.new_errors, fleet.rates.old_errors) = (0.3, 0.3);
    let (mut state, mut checks) = (state(Phase::Soaking, 1.0), 0);
    for second in 100..1_100 {
        let new = (200.0 * state.share.fraction()) as u64;
        let now = second..second + 1;
        observe(
            &mut comparison,
            &mut fleet,
            state.step,
            (200 - new, new),
            now,
        );
        let decision = step(&state, &plan, &comparison, &contact(second), at(second));
        checks += u32::from(matches!(decision, Decision::Lower(_)));
        state = decision.state().cloned().unwrap_or(state);
    }
    assert!((1..=8).contains(&checks), "{checks} checks");
    assert_eq!(state.phase, Phase::Completed);
}

/// Fails if a share rises in a tick without a lease, with a clock jump or without evidence. The
/// version is good, but leases lapse, clocks jump and reports stop at random times.
#[test]
fn no_share_rises_without_contact() {
    for seed in 0..8 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (plan, mut fleet) = (plan(900, UnprovenAction::Complete), Fleet::new(GOOD));
        let (mut second, mut lease_until, mut evidence_until) = (1, 5, 0);
        let (mut store_down_until, mut silent_until) = (0, 0);
        let mut comparison = Comparison::new(common::FAULT, at(0));
        let mut state = State::waiting(7, at(0));
        for _ in 0..3_000 {
            let jumped = rng.u8(..) == 0;
            second += if jumped { rng.u64(11..300) } else { 1 };
            for until in [&mut store_down_until, &mut silent_until] {
                if rng.u8(..) < 2 {
                    *until = second + rng.u64(20..200);
                }
            }
            if second >= store_down_until {
                lease_until = second + 3;
            }
            let new = (20.0 * state.share.fraction()).ceil() as u64;
            let mut sum = fleet.second(20 - new, new);
            if second >= silent_until {
                evidence_until = second;
            } else {
                sum = Evidence::default();
            }
            comparison.absorb(&[sum], state.step, at(second));
            let contact = OwnerContact {
                lease_until: at(lease_until),
                evidence_until: at(evidence_until),
                ..contact(second)
            };
            let decision = step(&state, &plan, &comparison, &contact, at(second));
            if let Some(next) = decision.state() {
                let rises = next.share > state.share;
                let may_rise = second < lease_until && !jumped && second - evidence_until <= 3;
                assert!(!rises || may_rise, "seed {seed}, second {second}");
                state = next.clone();
            }
        }
        assert_eq!(state.phase, Phase::Completed, "seed {seed}");
        assert!(state.at > Timestamp(0));
    }
}
