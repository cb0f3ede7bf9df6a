//! Exponential backoff with full jitter.

use fastrand::Rng;
use std::time::Duration;

/// Delays between attempts that fail.
#[derive(Debug)]
pub struct Backoff {
    initial_limit: Duration,
    max_limit: Duration,
    failures: u32,
}

impl Backoff {
    /// Draws each delay from zero up to a limit that starts at `initial_limit` and doubles with
    /// each failure, up to `max_limit`.
    pub fn new(initial_limit: Duration, max_limit: Duration) -> Self {
        let failures = 0;
        Self {
            initial_limit,
            max_limit,
            failures,
        }
    }

    /// The delay after one more failure.
    pub fn next(&mut self, rng: &mut Rng) -> Duration {
        let limit = self
            .initial_limit
            .saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        limit.min(self.max_limit).mul_f64(rng.f64())
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
