//! Compares the old and the new version over the same time, per route and over all routes, by
//! sequential tests.
//!
//! Each batch of evidence shows how the failed (or slow) calls split between the versions. If the
//! versions are alike, the split follows from how many calls each version took, whatever the
//! network path, the load or a common fault did to both. A cumulative sum of log-likelihood ratios
//! (CUSUM) detects a fault that begins at any time.

mod absorb;
mod judge;
mod measure;
mod route;
mod sum;

use crate::evidence::Route;
use fulmarreel_document::rollout::{FaultThresholds, Timestamp};
use route::RouteTests;
use std::{collections::BTreeMap, time::Duration};

/// Longest time between two ticks that counts as observed; of a longer one only this much does.
pub const MAX_OBSERVED_TICK: Duration = Duration::from_secs(2);

/// Time between two ticks above which the owner's clock is taken to have jumped, or the owner to
/// have been paused.
pub const MIN_CLOCK_JUMP: Duration = Duration::from_secs(10);

/// What an owner has learned from the fleet's evidence. It is kept in memory only; a new owner
/// starts with nothing.
#[derive(Debug, Clone)]
pub struct Comparison {
    fault: FaultThresholds,
    /// Tests of all routes together.
    all_routes: RouteTests,
    routes: BTreeMap<Route, RouteTests>,
    /// Nodes whose reports came with the last evidence.
    last_reports: u32,
    /// Calls to the new version since the comparison began.
    new_calls: u64,
    clock: Clock,
    step: StepObservation,
    /// Running mean of the calls per second of a reporting node.
    calls_per_node_s: Option<f64>,
    /// Running mean of the reported calls per second.
    reported_calls_per_s: f64,
}

/// The owner's clock over its ticks.
#[derive(Debug, Clone, Copy)]
struct Clock {
    last_tick: Timestamp,
    steady_since: Timestamp,
    /// Time of the last tick that brought evidence.
    last_evidence: Timestamp,
}

/// What was observed since the present step began.
#[derive(Debug, Clone, Copy, Default)]
struct StepObservation {
    step: u64,
    observed_time: Duration,
    new_calls: u64,
}

impl Comparison {
    /// A comparison without evidence.
    pub fn new(fault: FaultThresholds, now: Timestamp) -> Self {
        Self {
            fault,
            all_routes: RouteTests::default(),
            routes: BTreeMap::new(),
            last_reports: 0,
            new_calls: 0,
            clock: Clock {
                last_tick: now,
                steady_since: now,
                last_evidence: now,
            },
            step: StepObservation::default(),
            calls_per_node_s: None,
            reported_calls_per_s: 0.0,
        }
    }
}
