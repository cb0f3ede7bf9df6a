//! Shares and their times, worked back from the deadline.

use crate::{Plan, Share};
use std::time::Duration;

/// Calls per second over the fleet at first, for services with non-idempotent routes.
const FIRST_CALLS_PER_S: f64 = 2.0;

/// Calls per second over the fleet at first, where every route is idempotent.
const FIRST_CALLS_PER_S_IDEMPOTENT: f64 = 20.0;

/// Factor by which one step raises the share at most.
const GROWTH: f64 = 2.0;

/// Shortest time between two steps besides the age of the evidence.
const MIN_DWELL: Duration = Duration::from_secs(3);

/// Longest time between two steps.
const MAX_DWELL: Duration = Duration::from_secs(300);

/// Time that a hasty growth is given, as a multiple of the least.
const HASTE: f64 = 1.5;

/// Longest time that a proved version stays at its first share.
const MAX_PROVING: Duration = Duration::from_secs(900);

/// Part of the remaining time that the remaining steps may take.
const USABLE: f64 = 0.8;

/// Part of the remaining time that a proved version stays at its first share.
const PROVING: f64 = 0.3;

/// Part of the remaining time in which the proof is to be complete.
const PROOF_BY: f64 = 0.3;

/// Calls that prove a version without errors.
const PROOF_CALLS: f64 = 160.0;

/// What the times are worked out from.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ramp<'a> {
    pub plan: &'a Plan,
    /// The present share.
    pub share: Share,
    /// Time left until the deadline.
    pub left: Duration,
    /// Age of the latest evidence.
    pub evidence_age: Duration,
}

impl Ramp<'_> {
    /// The first share: few calls, and no more than the unproven share.
    pub fn first(&self, calls_per_s: f64) -> Share {
        let first = if self.plan.idempotent {
            FIRST_CALLS_PER_S_IDEMPOTENT
        } else {
            FIRST_CALLS_PER_S
        };
        part_of(first, calls_per_s).min(self.plan.unproven)
    }

    /// The share at which the missing proof, from 0 to 1, comes in time; at most the unproven one.
    pub fn proving(&self, missing: f64, calls_per_s: f64) -> Share {
        let time = self.left.mul_f64(PROOF_BY).max(self.min_dwell());
        let needed = missing * PROOF_CALLS / time.as_secs_f64();
        let most = self.next().min(self.plan.unproven);
        part_of(needed, calls_per_s).min(most).max(self.share)
    }

    /// The share after this one.
    pub fn next(&self) -> Share {
        at_least_some(self.share.fraction() * GROWTH)
    }

    /// How long a proved version stays at its first share.
    pub fn proving_dwell(&self) -> Duration {
        self.left
            .mul_f64(PROVING)
            .min(MAX_PROVING)
            .max(self.min_dwell())
    }

    /// How long a share is kept while it grows.
    pub fn dwell(&self) -> Duration {
        let steps = self.steps_left().max(1.0);
        let dwell = self.left.mul_f64(USABLE / steps);
        dwell.min(MAX_DWELL).max(self.min_dwell())
    }

    /// Shortest time between two steps: evidence of the last step has to come in.
    pub fn min_dwell(&self) -> Duration {
        MIN_DWELL + self.evidence_age
    }

    /// Whether the share has to grow from now on to be on time.
    pub fn deadline_is_near(&self) -> bool {
        let least = self.min_dwell().mul_f64(HASTE * (self.steps_left() + 1.0));
        self.left <= least
    }

    fn steps_left(&self) -> f64 {
        let share = self.share.max(Share::SMALLEST).fraction();
        (1.0 / share).log(GROWTH).ceil()
    }
}

fn part_of(wanted: f64, calls_per_s: f64) -> Share {
    at_least_some(wanted / calls_per_s.max(f64::MIN_POSITIVE))
}

fn at_least_some(fraction: f64) -> Share {
    Share::from_fraction(fraction).max(Share::SMALLEST)
}
