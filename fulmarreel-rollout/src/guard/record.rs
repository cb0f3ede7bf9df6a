//! Results of this node's own calls.

use super::{FIRST_STOP, Guard, MAX_STOP, PAUSE, Tally};
use crate::{evidence::Side, state::Phase};
use fulmarreel_document::shift::Timestamp;

/// The excess rate of failures that stops a node's own use.
const EXCESS: f64 = 0.5;

/// The least rate of failures that is assumed of a good version.
const MIN_RATE: f64 = 0.005;

/// Rate of the old version's failures from which on a node cannot tell the versions apart.
const MAX_RATE: f64 = 0.3;

/// Weight of the assumed rate in calls.
const PRIOR_CALLS: f64 = 20.0;

/// Calls after which older calls lose their weight.
const MEMORY_CALLS: f64 = 200.0;

impl Guard {
    /// Counts one finished call of this node; returns whether it stops the node's use.
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
        self.sum = (self.sum + self.old.evidence(failed)).max(0.0);
        if self.sum >= self.bad {
            self.stop(now);
            return true;
        }
        if failed && !self.idempotent && phase == Phase::Proving {
            self.stopped_until = self.stopped_until.max(Some(after(now, PAUSE)));
        }
        false
    }

    fn stop(&mut self, now: Timestamp) {
        let length = FIRST_STOP
            .saturating_mul(1 << self.stops.min(5))
            .min(MAX_STOP);
        self.stops += 1;
        self.sum = 0.0;
        self.stopped_until = Some(after(now, length));
    }
}

impl Tally {
    fn record(&mut self, failed: bool) {
        self.calls += 1.0;
        self.errors += f64::from(u8::from(failed));
        if self.calls > MEMORY_CALLS {
            self.errors *= MEMORY_CALLS / self.calls;
            self.calls = MEMORY_CALLS;
        }
    }

    /// Log-likelihood ratio of one call to the new version, with an excess against without one.
    fn evidence(&self, failed: bool) -> f64 {
        let rate = (self.errors / (self.calls + PRIOR_CALLS)).max(MIN_RATE);
        if rate > MAX_RATE {
            return 0.0;
        }
        let with = rate + EXCESS;
        if failed {
            (with / rate).ln()
        } else {
            ((1.0 - with) / (1.0 - rate)).ln()
        }
    }
}

fn after(now: Timestamp, length: std::time::Duration) -> Timestamp {
    Timestamp(now.0.saturating_add(length.as_millis() as u64))
}
