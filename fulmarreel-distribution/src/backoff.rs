//! Pauses between attempts: exponential, with full jitter.

use fastrand::Rng;
use std::time::Duration;

/// Pauses between attempts that fail.
#[derive(Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses that are drawn from zero up to `least`, twice that, and so on, up to `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        let failures = 0;
        Self {
            least,
            most,
            failures,
        }
    }

    /// The pause after one more failure.
    pub fn next(&mut self, rng: &mut Rng) -> Duration {
        let limit = self.least.saturating_mul(1 << self.failures.min(16));
        self.failures += 1;
        limit.min(self.most).mul_f64(rng.f64())
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
