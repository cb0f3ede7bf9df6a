//! Exponential decay of what was learned.

use std::time::{Duration, Instant};

/// The part that remains at `now` of a value as of `since`, if half of it remains after each half-life.
pub fn remaining(since: Instant, now: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(since);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
