//! Baseline: the fixed ramp, rolled back above a fixed error rate.

use super::{Driver, Published, Ramp, Tick};
use crate::case::Case;
use fulmarreel_rollout::{Evidence, state::Phase};
use std::collections::VecDeque;

/// Seconds over which errors are counted.
const WINDOW_S: usize = 60;

/// Calls to the new version that a decision needs at least.
const MIN_CALLS: u64 = 20;

/// The fixed ramp with a fixed threshold.
pub struct Threshold {
    ramp: Ramp,
    max_error_fraction: f64,
    window: VecDeque<(u64, u64)>,
    taken_back: bool,
}

impl Driver for Threshold {
    const USES_GUARDS: bool = false;
    const USES_LATENCY: bool = false;

    fn new(case: &Case) -> Self {
        Self {
            ramp: Ramp::new(case),
            max_error_fraction: case.error_percent / 100.0,
            window: VecDeque::new(),
            taken_back: false,
        }
    }

    fn decide(&mut self, tick: &Tick<'_>) -> Published {
        let totals = tick.evidence.iter().map(Evidence::total);
        let counts = totals.map(|total| (total.new.calls, total.new.errors));
        let sum = counts.fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
        self.window.push_back(sum);
        if self.window.len() > WINDOW_S {
            self.window.pop_front();
        }
        let calls: u64 = self.window.iter().map(|second| second.0).sum();
        let errors: u64 = self.window.iter().map(|second| second.1).sum();
        let published = self.ramp.decide(tick);
        let exceeds_threshold =
            calls >= MIN_CALLS && errors as f64 > self.max_error_fraction * calls as f64;
        self.taken_back |= exceeds_threshold && published.phase != Phase::Completed;
        if self.taken_back {
            return Published {
                share: 0.0,
                phase: Phase::TakenBack,
            };
        }
        published
    }

    /// The size of the calls and errors of the new version, per route.
    fn report_bytes(report: &Evidence) -> usize {
        let routes = report.routes.iter();
        let counts: Vec<_> = routes
            .map(|(route, pair)| (*route, pair.new.calls, pair.new.errors))
            .collect();
        postcard::to_allocvec(&counts).map_or(0, |bytes| bytes.len())
    }
}
