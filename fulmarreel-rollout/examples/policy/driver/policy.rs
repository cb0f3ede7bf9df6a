//! The policy of this crate, run as an owner runs it.

use super::{Driver, Published, Tick};
use crate::case::{Case, START_MS};
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{
    Comparison, Evidence, Plan, State, evidence,
    step::{Decision, Hold, OwnerContact, step},
};

/// Seconds until another owner takes over.
const TAKEOVER_S: u64 = 10;

/// Seconds that a lease lasts after its renewal.
const LEASE_S: u64 = 5;

/// An owner and its state in memory.
pub struct Policy {
    plan: Plan,
    state: State,
    comparison: Comparison,
    nodes: u32,
    lost_at: Vec<u64>,
    clock_ahead_s: i64,
    idle_until: u64,
    lease_until: u64,
}

impl Driver for Policy {
    const USES_GUARDS: bool = true;
    const USES_LATENCY: bool = true;

    fn new(case: &Case) -> Self {
        let plan = case.plan();
        let now = Timestamp(START_MS);
        Self {
            state: State::waiting(1, now),
            comparison: Comparison::new(plan.fault, now),
            plan,
            nodes: case.nodes,
            lost_at: case.owner_lost_at.clone(),
            clock_ahead_s: case.clock_ahead_seconds,
            idle_until: 0,
            lease_until: LEASE_S,
        }
    }

    fn decide(&mut self, tick: &Tick<'_>) -> Published {
        if self.lost_at.contains(&tick.second) {
            self.replace_owner(tick.second);
        }
        if tick.second >= self.idle_until {
            self.decide_as_owner(tick);
        }
        Published {
            share: self.state.share.fraction(),
            phase: self.state.phase,
        }
    }

    fn report_bytes(report: &Evidence) -> usize {
        postcard::to_allocvec(&evidence::Wire::from(report)).map_or(0, |bytes| bytes.len())
    }
}

impl Policy {
    fn decide_as_owner(&mut self, tick: &Tick<'_>) {
        if tick.store_reachable {
            self.lease_until = tick.second + LEASE_S;
        }
        let now = self.at(tick.second);
        self.comparison.absorb(tick.evidence, self.state.step, now);
        let contact = OwnerContact {
            lease_until: self.at(self.lease_until),
            evidence_until: self.at(tick.evidence_until),
            clock_ahead_ms: Some(self.clock_ahead_s * 1_000),
            nodes: self.nodes,
            new_targets: 4,
        };
        let decision = step(&self.state, &self.plan, &self.comparison, &contact, now);
        if decision == Decision::Hold(Hold::ClockOff) {
            self.replace_owner(tick.second);
        }
        if let Some(state) = decision.state() {
            self.state = self.state.clone().join(state.clone());
        }
    }

    fn replace_owner(&mut self, second: u64) {
        self.clock_ahead_s = 0;
        self.idle_until = second + TAKEOVER_S;
        self.comparison = Comparison::new(self.plan.fault, self.at(self.idle_until));
    }

    fn at(&self, second: u64) -> Timestamp {
        let ms = START_MS + second * 1_000;
        Timestamp(ms.saturating_add_signed(self.clock_ahead_s * 1_000))
    }
}
