//! The guards of a fleet's nodes.

use crate::conditions::Conditions;
use fastrand::Rng;
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{Guard, evidence::Side, state::Phase};

/// Number of nodes that are sampled in place of all where calls are many.
pub const SAMPLED_NODES: usize = 24;

/// Largest number of one node's calls in one second that are simulated one by one.
const MAX_SIMULATED_CALLS: u64 = 500;

/// Largest number of calls to the old version that a guard records in one second.
const MAX_OLD_CALLS: f64 = 20.0;

/// One guard for each node.
pub struct Guards(Vec<Guard>);

impl Guards {
    /// Guards of a fleet.
    pub fn new(nodes: u32, idempotent: bool) -> Self {
        Self((0..nodes).map(|_| Guard::new(nodes, idempotent)).collect())
    }

    /// Whether a node's guard admits a call to the new version.
    pub fn admit(&mut self, node: usize, phase: Phase, now: Timestamp) -> bool {
        self.0[node].admit(phase, now)
    }

    /// Records a call to the new version at a node's guard.
    pub fn record(&mut self, node: usize, failed: bool, phase: Phase, now: Timestamp) {
        self.0[node].record(Side::New, failed, phase, now);
    }

    /// Records one second's calls to the old version at the guards of the sampled nodes.
    pub fn record_old(
        &mut self,
        rng: &mut Rng,
        calls: u64,
        conditions: &Conditions,
        now: Timestamp,
    ) {
        let nodes = self.0.len() as f64;
        let per_node = calls as f64 / nodes;
        for (node, guard) in self.0.iter_mut().take(SAMPLED_NODES).enumerate() {
            let errors = conditions.error_probability_at(node as f64 / nodes);
            let expected = per_node.min(MAX_OLD_CALLS);
            let count = expected as u64 + u64::from(rng.f64() < expected.fract());
            for _ in 0..count {
                guard.record(Side::Old, rng.f64() < errors, Phase::Raising, now);
            }
        }
    }

    /// The fraction of many calls that the guards of the sampled nodes admit.
    pub fn admitted_fraction(
        &mut self,
        rng: &mut Rng,
        calls: u64,
        conditions: &Conditions,
        phase: Phase,
        now: Timestamp,
    ) -> f64 {
        let per_node = (calls as f64 / self.0.len() as f64) as u64;
        let failure_probability =
            1.0 - (1.0 - conditions.common_errors) * (1.0 - conditions.fault_errors);
        let (mut tried, mut admitted) = (0, 0);
        for guard in self.0.iter_mut().take(SAMPLED_NODES) {
            for _ in 0..per_node.clamp(1, MAX_SIMULATED_CALLS) {
                tried += 1;
                if guard.admit(phase, now) {
                    admitted += 1;
                    guard.record(Side::New, rng.f64() < failure_probability, phase, now);
                }
            }
        }
        f64::from(admitted) / f64::from(tried.max(1))
    }
}
