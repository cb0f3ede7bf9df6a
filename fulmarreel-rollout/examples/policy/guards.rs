//! The nodes' own guards over a fleet.

use crate::conditions::Conditions;
use fastrand::Rng;
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{Guard, evidence::Side, state::Phase};

/// Nodes that stand for the others where calls are many.
pub const SAMPLE: usize = 24;

/// Calls of one node in one second that are walked through one by one.
const MAX_WALKED: u64 = 500;

/// Calls to the old version that a guard is told of in one second.
const MAX_OLD: f64 = 20.0;

/// One guard for each node.
pub struct Guards(Vec<Guard>);

impl Guards {
    /// Guards of a fleet.
    pub fn new(nodes: u32, idempotent: bool) -> Self {
        Self((0..nodes).map(|_| Guard::new(nodes, idempotent)).collect())
    }

    /// Whether a node lets a call pass to the new version.
    pub fn admit(&mut self, node: usize, phase: Phase, now: Timestamp) -> bool {
        self.0[node].admit(phase, now)
    }

    /// Tells a node's guard of a call to the new version.
    pub fn record(&mut self, node: usize, failed: bool, phase: Phase, now: Timestamp) {
        self.0[node].record(Side::New, failed, phase, now);
    }

    /// Tells the first nodes of a second's calls to the old version.
    pub fn record_old(
        &mut self,
        rng: &mut Rng,
        calls: u64,
        conditions: &Conditions,
        now: Timestamp,
    ) {
        let nodes = self.0.len() as f64;
        let per_node = calls as f64 / nodes;
        for (node, guard) in self.0.iter_mut().take(SAMPLE).enumerate() {
            let errors = conditions.errors_at(node as f64 / nodes);
            let expected = per_node.min(MAX_OLD);
            let count = expected as u64 + u64::from(rng.f64() < expected.fract());
            for _ in 0..count {
                guard.record(Side::Old, rng.f64() < errors, Phase::Raising, now);
            }
        }
    }

    /// The part of many calls that a sample of the nodes lets pass.
    pub fn admitted_part(
        &mut self,
        rng: &mut Rng,
        calls: u64,
        conditions: &Conditions,
        phase: Phase,
        now: Timestamp,
    ) -> f64 {
        let per_node = (calls as f64 / self.0.len() as f64) as u64;
        let fails = 1.0 - (1.0 - conditions.common_errors) * (1.0 - conditions.fault_errors);
        let (mut tried, mut admitted) = (0, 0);
        for guard in self.0.iter_mut().take(SAMPLE) {
            for _ in 0..per_node.clamp(1, MAX_WALKED) {
                tried += 1;
                if guard.admit(phase, now) {
                    admitted += 1;
                    guard.record(Side::New, rng.f64() < fails, phase, now);
                }
            }
        }
        f64::from(admitted) / f64::from(tried.max(1))
    }
}
