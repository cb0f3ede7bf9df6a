//! Results of this node's own calls.

use super::{FIRST_STOP, Guard, MAX_STOP, PAUSE, Tally};
use crate::{evidence::Side, state::Phase};
use fulmarreel_document::shift::Timestamp;

/// The excess rate of failures that stops a node's own use.
const EXCESS: f64 = 0.5;

/// A rate of failures that is assumed before any calls were seen.
const PRIOR_RATE: f64 = 0.002;

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
        let rate = self.old.rate();
        let with = (rate + EXCESS).min(1.0 - f64::EPSILON);
        let evidence = if failed {
            (with / rate).ln()
        } else {
            ((1.0 - with) / (1.0 - rate)).ln()
        };
        self.sum = (self.sum + evidence).max(0.0);
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

    fn rate(&self) -> f64 {
        let errors = self.errors + PRIOR_RATE * PRIOR_CALLS;
        errors / (self.calls + PRIOR_CALLS)
    }
}

fn after(now: Timestamp, length: std::time::Duration) -> Timestamp {
    Timestamp(now.0.saturating_add(length.as_millis() as u64))
}
