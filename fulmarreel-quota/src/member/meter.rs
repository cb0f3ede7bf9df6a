//! The rate of events.

use crate::Time;
use std::time::Duration;

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// A moving average of the rate of events.
#[derive(Debug, Default)]
pub(super) struct Meter {
    per_s: f64,
    updated_at: Time,
}

impl Meter {
    /// Counts an event.
    pub fn record(&mut self, now: Time) {
        self.per_s = self.per_s(now) + 1.0 / DECAY_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Events per second.
    pub fn per_s(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}
