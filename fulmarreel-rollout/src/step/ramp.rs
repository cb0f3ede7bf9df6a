//! Shares and their times, worked back from the hour.

use crate::{Comparison, Plan, Share};
use std::time::Duration;

/// Calls per second over the fleet at first, for services with non-idempotent routes.
const FIRST_CALLS_PER_S: f64 = 2.0;

/// Calls per second over the fleet at first, where every route is idempotent.
const FIRST_CALLS_PER_S_IDEMPOTENT: f64 = 20.0;

/// Factor by which one step raises the share at most.
const GROWTH: f64 = 2.0;

/// Shortest time between two steps: evidence of the last step has to come in.
pub(super) const MIN_DWELL: Duration = Duration::from_secs(4);

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

/// The first share: few calls, and no more than the unproven share.
pub(super) fn first(plan: &Plan, calls_per_s: f64) -> Share {
    let first = if plan.idempotent {
        FIRST_CALLS_PER_S_IDEMPOTENT
    } else {
        FIRST_CALLS_PER_S
    };
    at_least_some(first / calls_per_s.max(f64::MIN_POSITIVE)).min(plan.unproven)
}

/// The share at which the missing proof comes in time, at most the unproven one.
pub(super) fn proving(plan: &Plan, comparison: &Comparison, share: Share, left: Duration) -> Share {
    let calls_per_s = comparison.calls_per_s().unwrap_or(0.0);
    let time = (left.as_secs_f64() * PROOF_BY).max(MIN_DWELL.as_secs_f64());
    let needed = comparison.missing_proof() * PROOF_CALLS / time;
    let wanted = at_least_some(needed / calls_per_s.max(f64::MIN_POSITIVE));
    wanted.min(next(share)).min(plan.unproven).max(share)
}

/// The share after this one.
pub(super) fn next(share: Share) -> Share {
    at_least_some(share.fraction() * GROWTH)
}

/// How long a proved version stays at its first share.
pub(super) fn proving_dwell(left: Duration) -> Duration {
    left.mul_f64(PROVING).clamp(MIN_DWELL, MAX_PROVING)
}

/// How long a share is kept while it grows.
pub(super) fn dwell(share: Share, left: Duration) -> Duration {
    let steps = steps_left(share).max(1.0);
    left.mul_f64(USABLE / steps).clamp(MIN_DWELL, MAX_DWELL)
}

/// The least time in which a share can grow to all traffic.
pub(super) fn least(share: Share) -> Duration {
    MIN_DWELL.mul_f64(HASTE * (steps_left(share) + 1.0))
}

fn steps_left(share: Share) -> f64 {
    let parts = share.fraction().max(Share::SMALLEST.fraction());
    (1.0 / parts).log(GROWTH).ceil()
}

fn at_least_some(fraction: f64) -> Share {
    Share::from_fraction(fraction).max(Share::SMALLEST)
}
