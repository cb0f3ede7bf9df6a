//! Sizes and times of the steps, computed backwards from the deadline.

use crate::{Plan, Share};
use std::time::Duration;

/// Fleet-wide calls per second at the first share, for services with non-idempotent routes.
const FIRST_CALLS_PER_S: f64 = 2.0;

/// Fleet-wide calls per second at the first share, where every route is idempotent.
const FIRST_CALLS_PER_S_IDEMPOTENT: f64 = 20.0;

/// Largest factor by which one step raises the share.
const GROWTH_FACTOR: f64 = 2.0;

/// Shortest time between two steps, not counting the age of the evidence.
const MIN_DWELL: Duration = Duration::from_secs(3);

/// Longest time between two steps.
const MAX_DWELL: Duration = Duration::from_secs(300);

/// Factor on the shortest time in which the share can reach all calls: once less time is left, the
/// deadline is near.
const DEADLINE_MARGIN: f64 = 1.5;

/// Longest time that a proven version stays at its first share.
const MAX_PROVING_DWELL: Duration = Duration::from_secs(900);

/// Fraction of the remaining time that the remaining steps take.
const RAISING_FRACTION: f64 = 0.8;

/// Fraction of the remaining time that a proven version stays at its first share.
const PROVING_FRACTION: f64 = 0.3;

/// Fraction of the remaining time within which the proof should be complete.
const PROOF_FRACTION: f64 = 0.3;

/// Error-free calls that it takes to prove a version.
const PROOF_CALLS: f64 = 160.0;

/// Inputs to the computation of shares and times.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ramp<'a> {
    pub plan: &'a Plan,
    /// The present share.
    pub share: Share,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Age of the latest evidence.
    pub evidence_age: Duration,
}

impl Ramp<'_> {
    /// The first share: few calls, and at most the plan's unproven share.
    pub fn first_share(&self, calls_per_s: f64) -> Share {
        let first_calls_per_s = if self.plan.idempotent {
            FIRST_CALLS_PER_S_IDEMPOTENT
        } else {
            FIRST_CALLS_PER_S
        };
        share_of_rate(first_calls_per_s, calls_per_s).min(self.plan.unproven_share)
    }

    /// The share at which the missing part of the proof, from 0 to 1, is gathered in time; at least
    /// the present share, and otherwise at most the plan's unproven share.
    pub fn proving_share(&self, missing_proof: f64, calls_per_s: f64) -> Share {
        let time = self.time_left.mul_f64(PROOF_FRACTION).max(self.min_dwell());
        let needed_calls_per_s = missing_proof * PROOF_CALLS / time.as_secs_f64();
        let max_share = self.next_share().min(self.plan.unproven_share);
        share_of_rate(needed_calls_per_s, calls_per_s)
            .min(max_share)
            .max(self.share)
    }

    /// The share of the next step.
    pub fn next_share(&self) -> Share {
        nonzero_share(self.share.fraction() * GROWTH_FACTOR)
    }

    /// How long a proven version stays at its first share.
    pub fn proving_dwell(&self) -> Duration {
        self.time_left
            .mul_f64(PROVING_FRACTION)
            .min(MAX_PROVING_DWELL)
            .max(self.min_dwell())
    }

    /// How long each share is kept while it is being raised.
    pub fn dwell(&self) -> Duration {
        let steps = self.steps_left().max(1.0);
        let dwell = self.time_left.mul_f64(RAISING_FRACTION / steps);
        dwell.min(MAX_DWELL).max(self.min_dwell())
    }

    /// Shortest time between two steps, which lets evidence of the last step arrive.
    pub fn min_dwell(&self) -> Duration {
        MIN_DWELL + self.evidence_age
    }

    /// Whether the share must be raised from now on to meet the deadline.
    pub fn deadline_is_near(&self) -> bool {
        let min_time = self
            .min_dwell()
            .mul_f64(DEADLINE_MARGIN * (self.steps_left() + 1.0));
        self.time_left <= min_time
    }

    fn steps_left(&self) -> f64 {
        let share = self.share.max(Share::SMALLEST).fraction();
        (1.0 / share).log(GROWTH_FACTOR).ceil()
    }
}

/// The share that amounts to a number of calls per second, at least the smallest one.
fn share_of_rate(wanted_calls_per_s: f64, calls_per_s: f64) -> Share {
    nonzero_share(wanted_calls_per_s / calls_per_s.max(f64::MIN_POSITIVE))
}

fn nonzero_share(fraction: f64) -> Share {
    Share::from_fraction(fraction).max(Share::SMALLEST)
}
