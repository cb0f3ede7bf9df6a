//! How fast a target works, relative to the typical work of each route.
//!
//! Targets of a service differ in speed, and each of them changes its own: it is slow after its start,
//! and for moments. Few requests of one node reach one target, so one speed is learned per target, from
//! the requests of all routes. What a target reports of its current speed is used with its age.

use crate::decay::remaining;
use std::time::{Duration, Instant};

/// The number of requests as which the assumption of an average speed counts.
const PRIOR_REQUESTS: f64 = 1.5;

/// The lowest weight of the newest request.
const MIN_WEIGHT: f64 = 0.06;

/// The time in which a learned speed returns half of the way to the average without requests.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(60);

/// The time in which a reported factor returns half of the way to the target's usual one. Slow moments
/// last 600 ms, and a report is half as old as that on average when it is used.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(350);

/// The weight of the newest report in a target's usual factor.
const USUAL_WEIGHT: f64 = 0.02;

/// How long a target is slow after its start.
const COLD_TIME: Duration = Duration::from_secs(3);

/// How much longer work takes right after a start.
const COLD_FACTOR: f64 = 2.0;

/// The range of samples of a learned speed. A time outside of it tells of a failure rather than of the
/// speed.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 10.0);

/// The range in which a reported factor is believed.
const REPORT_RANGE: (f64, f64) = (0.1, 20.0);

/// The speed of one target. All factors say how long work takes: 1 is typical, 2 is half as fast.
#[derive(Debug, Clone)]
pub struct Speed {
    /// The natural logarithm of the learned factor, as of `learned_at`.
    learned: f64,
    learned_at: Instant,
    requests: f64,
    /// The factor that the target reported last, and when.
    reported: Option<(f64, Instant)>,
    /// The mean of the reported factors.
    usual: f64,
    /// When the target started, if it did so while this node watched.
    started: Option<Instant>,
}

impl Speed {
    /// The speed of a target of which nothing is known; `started` if it has just started.
    pub fn new(now: Instant, started: Option<Instant>) -> Self {
        Self {
            learned: 0.0,
            learned_at: now,
            requests: 0.0,
            reported: None,
            usual: 1.0,
            started,
        }
    }

    /// Records how long work takes at the target at this moment, as the target says.
    pub fn report(&mut self, factor: f64, now: Instant) {
        if !factor.is_finite() || factor <= 0.0 {
            return;
        }
        let factor = factor.clamp(REPORT_RANGE.0, REPORT_RANGE.1);
        self.usual = match self.reported {
            Some(_) => self.usual + (factor - self.usual) * USUAL_WEIGHT,
            None => factor,
        };
        self.reported = Some((factor, now));
    }

    /// Records a request that the target took `took_s` for, on a route whose work typically takes
    /// `typical_s`. Returns how long that work would have taken at typical speed.
    pub fn record(&mut self, took_s: f64, typical_s: f64, now: Instant) -> f64 {
        let momentary = self.momentary(now);
        let (took_s, typical_s) = (took_s.max(1e-6), typical_s.max(1e-6));
        let ratio = took_s / (typical_s * momentary);
        let sample = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1).ln();
        let before = self.learned_at(now);
        self.requests += 1.0;
        let weight = (1.0 / (self.requests + PRIOR_REQUESTS)).max(MIN_WEIGHT);
        self.learned = before + (sample - before) * weight;
        self.learned_at = now;
        took_s / self.factor(now)
    }

    /// How long work takes at the target now.
    pub fn factor(&self, now: Instant) -> f64 {
        self.learned_at(now).exp() * self.momentary(now)
    }

    fn learned_at(&self, now: Instant) -> f64 {
        self.learned * remaining(self.learned_at, now, LEARNED_HALF_LIFE)
    }

    /// The part of the factor that changes within moments: the larger of the reported factor and what is
    /// expected after a start, since the report may or may not contain the latter.
    fn momentary(&self, now: Instant) -> f64 {
        let reported = self.reported.map_or(1.0, |(factor, at)| {
            self.usual + (factor - self.usual) * remaining(at, now, REPORT_HALF_LIFE)
        });
        let cold = self.started.map_or(1.0, |started| {
            let age = now.saturating_duration_since(started);
            if age < COLD_TIME { COLD_FACTOR } else { 1.0 }
        });
        reported.max(cold)
    }
}
