//! Recording of the results of this node's own calls.

use super::{FAILURE_PAUSE, FIRST_STOP, Guard, MAX_STOP, RecentCalls};
use crate::{evidence::Side, state::Phase};
use fulmarreel_document::rollout::Timestamp;

/// Excess failure rate that the guard tests for.
const EXCESS_RATE: f64 = 0.5;

/// Lowest failure rate that is assumed of a good version.
const MIN_RATE: f64 = 0.005;

/// Failure rate of the old version above which a node cannot tell the versions apart.
const MAX_RATE: f64 = 0.3;

/// Weight, in calls, of the assumption that the old version does not fail.
const PRIOR_CALLS: f64 = 20.0;

/// Number of calls above which older calls lose weight.
const MEMORY_CALLS: f64 = 200.0;

impl Guard {
    /// Counts one finished call of this node; returns whether this node now stops its use of the
    /// new version.
    pub fn record(&mut self, side: Side, failed: bool, phase: Phase, now: Timestamp) -> bool {
        match side {
            Side::Old => {
                self.old.record(failed);
                false
            }
            Side::New => self.record_new(failed, phase, now),
        }
    }

    fn record_new(&mut self, failed: bool, phase: Phase, now: Timestamp) -> bool {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.cusum = (self.cusum + self.old.log_likelihood_ratio(failed)).max(0.0);
        if self.cusum >= self.stop_threshold {
            self.stop_use(now);
            return true;
        }
        if failed && !self.idempotent && phase == Phase::Proving {
            self.stopped_until = self.stopped_until.max(Some(later(now, FAILURE_PAUSE)));
        }
        false
    }

    fn stop_use(&mut self, now: Timestamp) {
        let duration = FIRST_STOP
            .saturating_mul(1 << self.stop_count.min(5))
            .min(MAX_STOP);
        self.stop_count += 1;
        self.cusum = 0.0;
        self.stopped_until = Some(later(now, duration));
    }
}

impl RecentCalls {
    fn record(&mut self, failed: bool) {
        self.calls += 1.0;
        self.errors += f64::from(u8::from(failed));
        if self.calls > MEMORY_CALLS {
            self.errors *= MEMORY_CALLS / self.calls;
            self.calls = MEMORY_CALLS;
        }
    }

    /// Log-likelihood ratio of the result of one call to the new version: with the excess failure
    /// rate against without it.
    fn log_likelihood_ratio(&self, failed: bool) -> f64 {
        let rate = (self.errors / (self.calls + PRIOR_CALLS)).max(MIN_RATE);
        if rate > MAX_RATE {
            return 0.0;
        }
        let rate_if_bad = rate + EXCESS_RATE;
        if failed {
            (rate_if_bad / rate).ln()
        } else {
            ((1.0 - rate_if_bad) / (1.0 - rate)).ln()
        }
    }
}

fn later(now: Timestamp, duration: std::time::Duration) -> Timestamp {
    Timestamp(now.0.saturating_add(duration.as_millis() as u64))
}
