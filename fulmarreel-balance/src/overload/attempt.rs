//! Whether a request is worth another offer to a target, at the node that received it.

use std::time::{Duration, Instant};

/// New work that found no room is offered to no further target after this fraction of its objective: its
/// caller is told early that it has to come back.
const MAX_OFFERING_FRACTION: f64 = 0.125;

/// A first offer needs this fraction of the typical latency until the deadline. Targets are rarely faster
/// than that.
const MIN_LATENCY_FRACTION: f64 = 0.5;

/// The longest retry delay, as a fraction of the time in which the request can still be started.
const MAX_RETRY_FRACTION: f64 = 0.6;

/// What decides whether a request is offered to another target.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// When it arrived.
    pub started: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// When its route's latency objective ends.
    pub objective: Instant,
    /// The typical latency of its route.
    pub typical_latency: Duration,
    /// Whether no target has been offered the request yet.
    pub is_first: bool,
    /// Whether it is new work for which a target had no room.
    pub is_refused_new_work: bool,
}

impl Attempt {
    /// Whether another target can be expected to answer in time, and the caller should wait for that.
    pub fn is_worthwhile(&self, now: Instant) -> bool {
        let needed = if self.is_first {
            self.typical_latency.mul_f64(MIN_LATENCY_FRACTION)
        } else {
            self.typical_latency
        };
        let objective = self.objective.saturating_duration_since(self.started);
        let offered_until = self.started + objective.mul_f64(MAX_OFFERING_FRACTION);
        let has_time = now + needed <= self.deadline;
        has_time && !(self.is_refused_new_work && now > offered_until)
    }

    /// The longest retry delay after which the request can still be answered in time.
    pub fn longest_retry_delay(&self, now: Instant) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        let usable = left.saturating_sub(self.typical_latency);
        usable.mul_f64(MAX_RETRY_FRACTION)
    }
}
