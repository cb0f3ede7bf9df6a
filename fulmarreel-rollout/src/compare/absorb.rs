//! Evidence is taken in, once a tick.

use super::{Comparison, JUMP, MAX_TICK, Watched};
use crate::Evidence;
use fulmarreel_document::shift::Timestamp;
use std::time::Duration;

/// Weight of the latest tick in the running mean of the call rate.
const RATE_WEIGHT: f64 = 0.2;

impl Comparison {
    /// Takes in all evidence that has come since the last tick, one item for each sum that a zone
    /// has sent; the step is the active one.
    pub fn absorb(&mut self, evidence: &[Evidence], step: u64, now: Timestamp) {
        let elapsed = self.tick(now);
        if self.step.step != step {
            self.begin_step(step);
        }
        let reports = evidence.iter().map(|sum| sum.reports).sum();
        if reports == 0 {
            if !self.is_silent() {
                self.step.time += elapsed.min(MAX_TICK);
            }
            return;
        }
        self.reports = reports;
        let calls: u64 = evidence.iter().map(|sum| self.absorb_sum(sum)).sum();
        self.step.time += elapsed.min(MAX_TICK);
        self.note_rates(calls as f64, reports);
        for track in self.routes.values_mut().chain([&mut self.total]) {
            track.tick(self.fault, reports);
        }
    }

    fn begin_step(&mut self, step: u64) {
        self.step = Watched {
            step,
            ..Watched::default()
        };
        for track in self.routes.values_mut().chain([&mut self.total]) {
            track.begin_step();
        }
    }

    /// Takes in one zone's sum and returns its calls.
    fn absorb_sum(&mut self, evidence: &Evidence) -> u64 {
        let total = evidence.total();
        self.step.new_calls += total.new.calls;
        self.new_calls += total.new.calls;
        for (route, pair) in &evidence.routes {
            self.routes.entry(*route).or_default().absorb(pair);
        }
        self.total.absorb(&total);
        total.old.calls + total.new.calls
    }

    /// Notes the time and returns what has passed since the last tick, zero after a jump.
    fn tick(&mut self, now: Timestamp) -> Duration {
        let passed = now.0.checked_sub(self.clock.last.0);
        self.clock.last = now;
        match passed.map(Duration::from_millis) {
            Some(passed) if passed <= JUMP => passed,
            _ => {
                self.clock.steady_since = now;
                Duration::ZERO
            }
        }
    }

    /// Notes how many calls one report holds, sent once a second, and how many come in a second.
    fn note_rates(&mut self, calls: f64, reports: u32) {
        let per_report = calls / f64::from(reports);
        let mean = self.calls_per_report_s.unwrap_or(per_report);
        self.calls_per_report_s = Some(mean + RATE_WEIGHT * (per_report - mean));
        let since_last = self.silence().as_secs_f64().max(1.0);
        self.reported_per_s += RATE_WEIGHT * (calls / since_last - self.reported_per_s);
        self.clock.heard = self.clock.last;
    }
}
