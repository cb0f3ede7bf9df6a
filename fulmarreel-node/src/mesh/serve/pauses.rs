//! Pauses of the process, during which requests wait in its sockets.

use super::CHECK_INTERVAL;
use std::time::{Duration, Instant};

/// How long after a pause requests that waited may still be read.
const BACKLOG_READ_TIME: Duration = Duration::from_millis(500);

/// The shortest pause that is told from the usual time between two observations.
const MIN_PAUSE: Duration = CHECK_INTERVAL.saturating_mul(2);

/// Pauses of the process, seen by the time between two observations. One is due every [`CHECK_INTERVAL`],
/// and before each decision.
#[derive(Debug)]
pub(super) struct Pauses {
    last_observed: Instant,
    last: Option<Pause>,
}

#[derive(Debug)]
struct Pause {
    length: Duration,
    ended: Instant,
}

impl Pauses {
    pub fn new(now: Instant) -> Self {
        Self {
            last_observed: now,
            last: None,
        }
    }

    /// Records that the process runs.
    pub fn observe(&mut self, now: Instant) {
        let length = now.saturating_duration_since(self.last_observed);
        self.last_observed = self.last_observed.max(now);
        if length >= MIN_PAUSE {
            self.last = Some(Pause { length, ended: now });
        }
    }

    /// Whether a request that is read now may have waited for as long as `limit`.
    pub fn has_backlog(&mut self, limit: Duration, now: Instant) -> bool {
        self.observe(now);
        self.last.as_ref().is_some_and(|pause| {
            let since = now.saturating_duration_since(pause.ended);
            pause.length >= limit && since < BACKLOG_READ_TIME
        })
    }
}
