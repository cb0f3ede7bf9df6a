//! The retry delays of refused requests.

use std::time::{Duration, Instant};

/// Refused requests are told to come back within this time at the latest.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// The shortest delay, as 0 would mean that none is known.
const MIN_DELAY: Duration = Duration::from_millis(10);

/// Spreads the retries of refused requests over the time in which the target can run them: those refused
/// first are told to come back first, one for each slot that becomes free. Without this, requests that
/// are refused together come back together and are refused again.
#[derive(Debug, Default)]
pub struct Retries {
    /// When the next refused request is told to come back at the earliest.
    next: Option<Instant>,
}

impl Retries {
    /// The delay after which a request that is refused now is told to come back. `backlog` is the time in
    /// which the queue drains, `interval` the time between two slots that become free.
    pub fn delay(&mut self, now: Instant, backlog: Duration, interval: Duration) -> Duration {
        let earliest = now + backlog.max(MIN_DELAY);
        let latest = now + MAX_DELAY;
        let at = self
            .next
            .map_or(earliest, |next| next.max(earliest))
            .min(latest);
        self.next = Some(at + interval);
        at.saturating_duration_since(now)
    }
}
