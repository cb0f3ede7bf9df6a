//! Whether a target is cold, as far as it has told.

use std::time::{Duration, Instant};

/// Whether a target is cold, as far as it has told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    cold_until: Instant,
}

impl State {
    /// The state of a target that says that it stays cold for `remaining`.
    pub fn new(remaining: Duration, now: Instant) -> Self {
        let cold_until = now.checked_add(remaining).unwrap_or(now);
        Self { cold_until }
    }

    /// Adds what an answer says. An answer and an announcement may overtake each other, so that an answer
    /// can lengthen the remaining time but not shorten it.
    pub fn lengthen(&mut self, remaining: Duration, now: Instant) {
        self.cold_until = self.cold_until.max(Self::new(remaining, now).cold_until);
    }

    /// How long the target stays cold; zero if it is warm.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.cold_until.saturating_duration_since(now)
    }
}
