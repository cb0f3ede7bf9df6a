//! One decision.

use super::{Contact, Hold, Outcome, contact, ramp::Ramp};
use crate::{
    Comparison, Plan, Share, State,
    state::{Phase, Reason},
};
use fulmarreel_document::shift::{Fallback, Timestamp};
use std::time::Duration;

/// Share of the new version while both are compared after all traffic had moved.
const CHECKING: f64 = 0.5;

/// How long a comparison after the move takes if nothing speaks against the version.
const CHECK: Duration = Duration::from_secs(20);

/// Calls to the new version that a step waits for beyond its time.
const STEP_CALLS: u64 = 100;

/// Decides on the next step. All traffic moves by the plan's deadline; the end of the move comes when
/// the soak has passed since the deadline and since the move.
///
///  The comparison has taken in what came until `now`.
pub fn step(
    state: &State,
    plan: &Plan,
    comparison: &Comparison,
    contact: &Contact,
    now: Timestamp,
) -> Outcome {
    if state.is_final() {
        return Outcome::Hold(Hold::Over);
    }
    let unproven = matches!(state.phase, Phase::Proving | Phase::Held);
    if let Some(figures) = comparison.verdict(unproven && now >= plan.complete_by) {
        let verdict = state.next(Share::NONE, Phase::TakenBack, Reason::Bad(figures), now);
        return Outcome::TakeBack(verdict);
    }
    if let Some(hold) = contact.hinders(state, comparison, now) {
        return Outcome::Hold(hold);
    }
    let decision = Decision {
        state,
        plan,
        comparison,
        nodes: contact.nodes,
        now,
        ramp: Ramp {
            plan,
            share: state.share,
            left: contact::ahead(plan.complete_by, now),
            evidence_age: contact::since(contact.evidence_until, now),
        },
    };
    match state.phase {
        _ if contact.new_targets == 0 && state.phase != Phase::Completed => {
            Outcome::Hold(Hold::NoTargets)
        }
        Phase::Waiting => decision.start(),
        Phase::Proving => decision.prove(),
        Phase::Held => decision.prove_late(),
        Phase::Raising => decision.raise(),
        Phase::Soaking => decision.soak(),
        Phase::Checking => decision.check(),
        Phase::Completed | Phase::TakenBack => Outcome::Hold(Hold::Over),
    }
}

struct Decision<'a> {
    state: &'a State,
    plan: &'a Plan,
    comparison: &'a Comparison,
    nodes: u32,
    now: Timestamp,
    ramp: Ramp<'a>,
}

impl Decision<'_> {
    fn start(&self) -> Outcome {
        let rate = self.comparison.calls_per_s(self.nodes);
        match rate.filter(|rate| *rate > 0.0) {
            Some(rate) => self.to(self.ramp.first(rate), Phase::Proving, Reason::Started),
            None if self.ramp.deadline_is_near() => self.deadline(),
            None => Outcome::Hold(Hold::NoCalls),
        }
    }

    fn prove(&self) -> Outcome {
        if self.comparison.doubts() {
            return Outcome::Hold(Hold::Doubted);
        }
        if self.comparison.proves() && self.watched_for(self.ramp.proving_dwell()) {
            return self.grow(Reason::Proved);
        }
        if self.ramp.deadline_is_near() && self.comparison.proves_in_haste() {
            return self.grow(Reason::ProvedInHaste);
        }
        if self.ramp.deadline_is_near() {
            return self.deadline();
        }
        self.gather()
    }

    fn prove_late(&self) -> Outcome {
        if self.comparison.doubts() {
            return Outcome::Hold(Hold::Doubted);
        }
        if self.comparison.proves() && self.watched_for(self.ramp.min_dwell()) {
            return self.grow(Reason::Proved);
        }
        self.gather()
    }

    /// Raises an unproven share as far as the proof needs it.
    fn gather(&self) -> Outcome {
        let missing = self.comparison.missing_proof();
        let rate = self.comparison.calls_per_s(self.nodes).unwrap_or(0.0);
        let share = self.ramp.proving(missing, rate);
        if share > self.state.share && self.watched_for(self.ramp.min_dwell()) {
            return self.to(share, self.state.phase, Reason::NeedsCalls);
        }
        Outcome::Hold(Hold::Unproven)
    }

    /// What the document says about an unproven version at its deadline.
    fn deadline(&self) -> Outcome {
        match self.plan.fallback {
            Fallback::Complete => self.grow(Reason::DeadlineUnproven),
            Fallback::Hold if self.ramp.left.is_zero() => {
                self.to(self.state.share, Phase::Held, Reason::DeadlineHeld)
            }
            Fallback::Hold => self.gather(),
        }
    }

    fn raise(&self) -> Outcome {
        if self.comparison.doubts() {
            return Outcome::Hold(Hold::Doubted);
        }
        let dwell = self.ramp.dwell();
        let enough = self.comparison.new_calls() >= STEP_CALLS || self.watched_for(dwell * 2);
        let seen = enough || self.ramp.deadline_is_near();
        if seen && self.watched_for(dwell) {
            return self.grow(Reason::Scheduled);
        }
        Outcome::Hold(Hold::NotDue)
    }

    fn soak(&self) -> Outcome {
        if self.comparison.suspects() {
            let share = Share::from_fraction(CHECKING);
            let state = self.next(share, Phase::Checking, Reason::Suspected);
            return Outcome::Lower(state);
        }
        if self.watched_for(self.plan.soak) && self.since_deadline() >= self.plan.soak {
            let reason = if self.moved_late() {
                Reason::SoakedLate
            } else {
                Reason::Soaked
            };
            return Outcome::Complete(self.next(Share::ALL, Phase::Completed, reason));
        }
        Outcome::Hold(Hold::NotDue)
    }

    fn check(&self) -> Outcome {
        if self.comparison.doubts() {
            return Outcome::Hold(Hold::Doubted);
        }
        if self.watched_for(CHECK) {
            return self.to(Share::ALL, Phase::Soaking, Reason::Cleared);
        }
        Outcome::Hold(Hold::NotDue)
    }

    fn grow(&self, reason: Reason) -> Outcome {
        let share = self.ramp.next();
        let phase = if share == Share::ALL {
            Phase::Soaking
        } else {
            Phase::Raising
        };
        self.to(share, phase, reason)
    }

    fn to(&self, share: Share, phase: Phase, reason: Reason) -> Outcome {
        Outcome::Raise(self.next(share, phase, reason))
    }

    fn next(&self, share: Share, phase: Phase, reason: Reason) -> State {
        self.state.next(share, phase, reason, self.now)
    }

    fn watched_for(&self, time: Duration) -> bool {
        self.comparison.watched() >= time
    }

    /// Time since the deadline.
    fn since_deadline(&self) -> Duration {
        contact::since(self.plan.complete_by, self.now)
    }

    fn moved_late(&self) -> bool {
        self.state
            .moved_at
            .is_some_and(|moved| moved > self.plan.complete_by)
    }
}
