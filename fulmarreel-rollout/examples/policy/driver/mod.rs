//! What decides about a move: the policy, or a baseline.

mod policy;
mod ramp;
mod threshold;

pub use policy::Policy;
pub use ramp::Ramp;
pub use threshold::Threshold;

use crate::case::Case;
use fulmarreel_rollout::{Evidence, state::Phase};

/// Decides once a second.
pub trait Driver {
    /// Whether nodes have guards.
    const GUARDED: bool;

    /// Whether the driver looks at latency.
    const LATENCY: bool;

    /// The driver of a case.
    fn new(case: &Case) -> Self;

    /// Takes in what came during one second and decides at its end.
    fn decide(&mut self, tick: &Tick<'_>) -> Published;

    /// Bytes that one node sends in one second for these calls.
    fn report_bytes(report: &Evidence) -> usize;
}

/// What the owner knows at the end of one second.
#[derive(Debug)]
pub struct Tick<'a> {
    /// Seconds since the declaration.
    pub second: u64,
    /// Evidence that came during this second.
    pub evidence: &'a [Evidence],
    /// End of the latest window that has come, in seconds since the declaration.
    pub evidence_until: u64,
    /// Whether the store can be reached.
    pub store: bool,
}

/// What is published.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Published {
    /// Share of the new version.
    pub share: f64,
    /// Phase of the move.
    pub phase: Phase,
}
