//! Absorbs evidence, once per tick.

use super::{Comparison, MAX_OBSERVED_TICK, MIN_CLOCK_JUMP, StepObservation};
use crate::Evidence;
use fulmarreel_document::rollout::Timestamp;
use std::time::Duration;

/// Weight of the latest tick in the running mean of the call rate.
const RATE_WEIGHT: f64 = 0.2;

impl Comparison {
    /// Absorbs all evidence that has arrived since the last tick, one item for each sum that a zone
    /// has sent; `step` is the active step.
    pub fn absorb(&mut self, evidence: &[Evidence], step: u64, now: Timestamp) {
        let elapsed = self.tick(now);
        if self.step.step != step {
            self.begin_step(step);
        }
        let reports = evidence.iter().map(|zone| zone.reports).sum();
        if reports == 0 {
            if !self.is_silent() {
                self.step.observed_time += elapsed.min(MAX_OBSERVED_TICK);
            }
            return;
        }
        self.last_reports = reports;
        let calls: u64 = evidence.iter().map(|zone| self.absorb_zone(zone)).sum();
        self.step.observed_time += elapsed.min(MAX_OBSERVED_TICK);
        self.update_rates(calls as f64, reports);
        for tests in self.routes.values_mut().chain([&mut self.all_routes]) {
            tests.tick(self.fault, reports);
        }
    }

    fn begin_step(&mut self, step: u64) {
        self.step = StepObservation {
            step,
            ..StepObservation::default()
        };
        for tests in self.routes.values_mut().chain([&mut self.all_routes]) {
            tests.begin_step();
        }
    }

    /// Absorbs the sum of one zone and returns its number of calls.
    fn absorb_zone(&mut self, evidence: &Evidence) -> u64 {
        let total = evidence.total();
        self.step.new_calls += total.new.calls;
        self.new_calls += total.new.calls;
        for (route, pair) in &evidence.routes {
            self.routes.entry(*route).or_default().absorb(pair);
        }
        self.all_routes.absorb(&total);
        total.old.calls + total.new.calls
    }

    /// Records the time and returns how long ago the last tick was, or zero after a clock jump.
    fn tick(&mut self, now: Timestamp) -> Duration {
        let elapsed = now.0.checked_sub(self.clock.last_tick.0);
        self.clock.last_tick = now;
        match elapsed.map(Duration::from_millis) {
            Some(elapsed) if elapsed <= MIN_CLOCK_JUMP => elapsed,
            _ => {
                self.clock.steady_since = now;
                Duration::ZERO
            }
        }
    }

    /// Updates the mean calls per report, which a node sends once a second, and the mean reported
    /// calls per second.
    fn update_rates(&mut self, calls: f64, reports: u32) {
        let per_node = calls / f64::from(reports);
        let mean = self.calls_per_node_s.unwrap_or(per_node);
        self.calls_per_node_s = Some(mean + RATE_WEIGHT * (per_node - mean));
        let silence_s = self.silence().as_secs_f64().max(1.0);
        self.reported_calls_per_s += RATE_WEIGHT * (calls / silence_s - self.reported_calls_per_s);
        self.clock.last_evidence = self.clock.last_tick;
    }
}
