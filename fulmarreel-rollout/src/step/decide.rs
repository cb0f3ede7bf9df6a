//! The decision on the next step.

use super::{Decision, Hold, OwnerContact, contact, ramp::Ramp};
use crate::{
    Comparison, Plan, Share, State,
    state::{Phase, Reason},
};
use fulmarreel_document::rollout::{Timestamp, UnprovenAction};
use std::time::Duration;

/// Share of the new version while a suspicion that arose after all traffic had moved is checked.
const CHECK_SHARE: f64 = 0.5;

/// How long such a check lasts if nothing speaks against the version.
const CHECK_TIME: Duration = Duration::from_secs(20);

/// Calls to the new version that a step waits for, up to twice its dwell time.
const MIN_STEP_CALLS: u64 = 100;

/// Decides on the next step.
///
/// All traffic moves by the plan's deadline. The rollout completes once the soak time has passed
/// both since the deadline and since all traffic moved.
///
/// The comparison must have absorbed all evidence up to `now`.
pub fn step(
    state: &State,
    plan: &Plan,
    comparison: &Comparison,
    contact: &OwnerContact,
    now: Timestamp,
) -> Decision {
    if state.is_final() {
        return Decision::Hold(Hold::Over);
    }
    let is_unproven = matches!(state.phase, Phase::Proving | Phase::Held);
    if let Some(figures) = comparison.verdict(is_unproven && now >= plan.complete_by) {
        let verdict = state.next(Share::NONE, Phase::TakenBack, Reason::Bad(figures), now);
        return Decision::RollBack(verdict);
    }
    if let Some(hold) = contact.blocking_hold(state, comparison, now) {
        return Decision::Hold(hold);
    }
    let context = StepContext {
        state,
        plan,
        comparison,
        nodes: contact.nodes,
        now,
        ramp: Ramp {
            plan,
            share: state.share,
            time_left: contact::time_until(plan.complete_by, now),
            evidence_age: contact::elapsed_since(contact.evidence_until, now),
        },
    };
    match state.phase {
        _ if contact.new_targets == 0 && state.phase != Phase::Completed => {
            Decision::Hold(Hold::NoTargets)
        }
        Phase::Waiting => context.start(),
        Phase::Proving => context.prove(),
        Phase::Held => context.prove_late(),
        Phase::Raising => context.raise(),
        Phase::Soaking => context.soak(),
        Phase::Checking => context.check(),
        Phase::Completed | Phase::TakenBack => Decision::Hold(Hold::Over),
    }
}

/// What the decision depends on.
struct StepContext<'a> {
    state: &'a State,
    plan: &'a Plan,
    comparison: &'a Comparison,
    nodes: u32,
    now: Timestamp,
    ramp: Ramp<'a>,
}

impl StepContext<'_> {
    fn start(&self) -> Decision {
        let rate = self.comparison.calls_per_s(self.nodes);
        match rate.filter(|rate| *rate > 0.0) {
            Some(rate) => {
                self.raise_to(self.ramp.first_share(rate), Phase::Proving, Reason::Started)
            }
            None if self.ramp.deadline_is_near() => self.at_deadline(),
            None => Decision::Hold(Hold::NoCalls),
        }
    }

    fn prove(&self) -> Decision {
        if self.comparison.is_doubtful() {
            return Decision::Hold(Hold::Doubted);
        }
        if self.comparison.is_proven() && self.observed_for(self.ramp.proving_dwell()) {
            return self.raise_to_next(Reason::Proved);
        }
        if self.ramp.deadline_is_near() && self.comparison.is_proven_in_haste() {
            return self.raise_to_next(Reason::ProvedInHaste);
        }
        if self.ramp.deadline_is_near() {
            return self.at_deadline();
        }
        self.raise_for_proof()
    }

    fn prove_late(&self) -> Decision {
        if self.comparison.is_doubtful() {
            return Decision::Hold(Hold::Doubted);
        }
        if self.comparison.is_proven() && self.observed_for(self.ramp.min_dwell()) {
            return self.raise_to_next(Reason::Proved);
        }
        self.raise_for_proof()
    }

    /// Raises an unproven share as far as the proof needs more calls.
    fn raise_for_proof(&self) -> Decision {
        let missing = self.comparison.missing_proof();
        let rate = self.comparison.calls_per_s(self.nodes).unwrap_or(0.0);
        let share = self.ramp.proving_share(missing, rate);
        if share > self.state.share && self.observed_for(self.ramp.min_dwell()) {
            return self.raise_to(share, self.state.phase, Reason::NeedsCalls);
        }
        Decision::Hold(Hold::Unproven)
    }

    /// Does what the document says about an unproven version at its deadline.
    fn at_deadline(&self) -> Decision {
        match self.plan.unproven_at_deadline {
            UnprovenAction::Complete => self.raise_to_next(Reason::DeadlineUnproven),
            UnprovenAction::Hold if self.ramp.time_left.is_zero() => {
                self.raise_to(self.state.share, Phase::Held, Reason::DeadlineHeld)
            }
            UnprovenAction::Hold => self.raise_for_proof(),
        }
    }

    fn raise(&self) -> Decision {
        if self.comparison.is_doubtful() {
            return Decision::Hold(Hold::Doubted);
        }
        let dwell = self.ramp.dwell();
        let has_enough_calls =
            self.comparison.new_calls() >= MIN_STEP_CALLS || self.observed_for(dwell * 2);
        let may_raise = has_enough_calls || self.ramp.deadline_is_near();
        if may_raise && self.observed_for(dwell) {
            return self.raise_to_next(Reason::Scheduled);
        }
        Decision::Hold(Hold::NotDue)
    }

    fn soak(&self) -> Decision {
        if self.comparison.is_suspect() {
            let share = Share::from_fraction(CHECK_SHARE);
            let state = self.next_state(share, Phase::Checking, Reason::Suspected);
            return Decision::Lower(state);
        }
        if self.observed_for(self.plan.soak) && self.since_deadline() >= self.plan.soak {
            let reason = if self.moved_after_deadline() {
                Reason::SoakedLate
            } else {
                Reason::Soaked
            };
            return Decision::Complete(self.next_state(Share::ALL, Phase::Completed, reason));
        }
        Decision::Hold(Hold::NotDue)
    }

    fn check(&self) -> Decision {
        if self.comparison.is_doubtful() {
            return Decision::Hold(Hold::Doubted);
        }
        if self.observed_for(CHECK_TIME) {
            return self.raise_to(Share::ALL, Phase::Soaking, Reason::Cleared);
        }
        Decision::Hold(Hold::NotDue)
    }

    fn raise_to_next(&self, reason: Reason) -> Decision {
        let share = self.ramp.next_share();
        let phase = if share == Share::ALL {
            Phase::Soaking
        } else {
            Phase::Raising
        };
        self.raise_to(share, phase, reason)
    }

    fn raise_to(&self, share: Share, phase: Phase, reason: Reason) -> Decision {
        Decision::Raise(self.next_state(share, phase, reason))
    }

    fn next_state(&self, share: Share, phase: Phase, reason: Reason) -> State {
        self.state.next(share, phase, reason, self.now)
    }

    fn observed_for(&self, time: Duration) -> bool {
        self.comparison.observed_time() >= time
    }

    /// Time since the deadline; zero before it.
    fn since_deadline(&self) -> Duration {
        contact::elapsed_since(self.plan.complete_by, self.now)
    }

    fn moved_after_deadline(&self) -> bool {
        self.state
            .moved_at
            .is_some_and(|moved_at| moved_at > self.plan.complete_by)
    }
}
