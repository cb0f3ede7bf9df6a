//! A baseline: the fixed ramp, taken back over a fixed rate of errors.

use super::{Driver, Published, Ramp, Tick};
use crate::case::Case;
use fulmarreel_rollout::{Evidence, state::Phase};
use std::collections::VecDeque;

/// Seconds over which errors are counted.
const WINDOW_S: usize = 60;

/// Calls to the new version below which nothing is said.
const MIN_CALLS: u64 = 20;

/// A fixed ramp with a fixed threshold.
pub struct Threshold {
    ramp: Ramp,
    bound: f64,
    window: VecDeque<(u64, u64)>,
    taken_back: bool,
}

impl Driver for Threshold {
    const GUARDED: bool = false;
    const LATENCY: bool = false;

    fn new(case: &Case) -> Self {
        Self {
            ramp: Ramp::new(case),
            bound: case.error_percent / 100.0,
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
        let over = calls >= MIN_CALLS && errors as f64 > self.bound * calls as f64;
        self.taken_back |= over && published.phase != Phase::Completed;
        if self.taken_back {
            return Published {
                share: 0.0,
                phase: Phase::TakenBack,
            };
        }
        published
    }

    /// Calls and errors of the new version, with the route.
    fn report_bytes(report: &Evidence) -> usize {
        let routes = report.routes.iter();
        let counts: Vec<_> = routes
            .map(|(route, pair)| (*route, pair.new.calls, pair.new.errors))
            .collect();
        postcard::to_allocvec(&counts).map_or(0, |bytes| bytes.len())
    }
}
