//! The old and the new version side by side, per route and over all routes, by sequential tests.
//!
//! Each batch of evidence asks how the failed (or slow) calls split between the versions. If the
//! versions are alike, the split follows from how many calls each took, whatever the path, the
//! load or a common fault did to both. A cumulative sum of log-likelihood ratios (CUSUM) finds a
//! fault that begins at any time.

mod absorb;
mod channel;
mod judge;
mod sum;
mod track;

use crate::evidence::Route;
use fulmarreel_document::shift::{Fault, Timestamp};
use std::{collections::BTreeMap, time::Duration};
use track::Track;

/// The longest stretch between two ticks that counts as watched time.
pub const MAX_TICK: Duration = Duration::from_secs(2);

/// A stretch between two ticks that is taken for a jump of the clock or a pause.
pub const JUMP: Duration = Duration::from_secs(10);

/// What an owner has learned from the fleet's evidence so far. It lives in the owner's memory;
/// a new owner starts anew.
#[derive(Debug, Clone)]
pub struct Comparison {
    fault: Fault,
    total: Track,
    routes: BTreeMap<Route, Track>,
    reports: u32,
    new_calls: u64,
    clock: Clock,
    step: Watched,
    calls_per_report_s: Option<f64>,
    /// Calls per second that are reported, as a running mean.
    reported_per_s: f64,
}

/// The owner's clock over its ticks.
#[derive(Debug, Clone, Copy)]
struct Clock {
    last: Timestamp,
    steady_since: Timestamp,
    /// The last tick that brought evidence.
    heard: Timestamp,
}

/// What was seen since the present step.
#[derive(Debug, Clone, Copy, Default)]
struct Watched {
    step: u64,
    time: Duration,
    new_calls: u64,
}

impl Comparison {
    /// A comparison that has seen nothing.
    pub fn new(fault: Fault, now: Timestamp) -> Self {
        Self {
            fault,
            total: Track::default(),
            routes: BTreeMap::new(),
            reports: 0,
            new_calls: 0,
            clock: Clock {
                last: now,
                steady_since: now,
                heard: now,
            },
            step: Watched::default(),
            calls_per_report_s: None,
            reported_per_s: 0.0,
        }
    }
}
