//! The drivers that decide about a rollout: the policy, and the baselines that it is compared with.

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
    /// Whether the nodes have guards.
    const USES_GUARDS: bool;

    /// Whether the driver evaluates latency.
    const USES_LATENCY: bool;

    /// Creates the driver for a case.
    fn new(case: &Case) -> Self;

    /// Absorbs what arrived during one second, and decides at its end.
    fn decide(&mut self, tick: &Tick<'_>) -> Published;

    /// Size in bytes of one node's report on one second.
    fn report_bytes(report: &Evidence) -> usize;
}

/// What the owner knows at the end of one second.
#[derive(Debug)]
pub struct Tick<'a> {
    /// Seconds since the declaration.
    pub second: u64,
    /// Evidence that arrived during this second.
    pub evidence: &'a [Evidence],
    /// End of the latest window whose evidence has arrived, in seconds since the declaration.
    pub evidence_until: u64,
    /// Whether the owner can reach the store.
    pub store_reachable: bool,
}

/// The published step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Published {
    /// Share of the new version.
    pub share: f64,
    /// Phase of the rollout.
    pub phase: Phase,
}
