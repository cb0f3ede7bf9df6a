//! The bandwidth of a machine's link as a capacity that large bodies take up.
//!
//! What has been handed to the link drains at its bandwidth. Bodies that are expected, such as the
//! responses of requests that run, take up what comes after that. A body that cannot cross in time is
//! refused before any work is done for it. The load it answers: downloads and uploads at up to twice what
//! the link carries, among small requests.

use std::time::{Duration, Instant};

/// The part of the bandwidth that is left for bodies; the rest are headers of Ethernet, IP and TCP.
const PAYLOAD_FRACTION: f64 = 0.94;

/// The longest retry delay of a refused body.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// One direction of a machine's link.
#[derive(Debug, Clone)]
pub struct Link {
    bytes_per_s: f64,
    /// When everything that was handed to the link has crossed it.
    free_at: Instant,
    /// Bytes of the bodies that are expected.
    expected: f64,
    /// The earliest retry of the next body that is refused.
    next_retry: Instant,
}

/// A body that is to cross the link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Body {
    /// Its expected length.
    pub bytes: f64,
    /// When it is expected to be there.
    pub ready_at: Instant,
    /// The latency objective of its request.
    pub objective: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

impl Link {
    /// Creates one direction of a link that carries this many bytes per second.
    pub fn new(bytes_per_s: f64, now: Instant) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1.0) * PAYLOAD_FRACTION,
            free_at: now,
            expected: 0.0,
            next_retry: now,
        }
    }

    /// Changes the bandwidth.
    pub fn set_bandwidth(&mut self, bytes_per_s: f64) {
        self.bytes_per_s = bytes_per_s.max(1.0) * PAYLOAD_FRACTION;
    }

    /// The time until everything that was handed to the link has crossed it.
    pub fn under_way(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now)
    }

    /// The time until everything that was handed to the link or is expected has crossed it.
    pub fn backlog(&self, now: Instant) -> Duration {
        self.free_at.saturating_duration_since(now) + self.time_of(self.expected)
    }

    /// Expects a body, unless it cannot cross in time: by its objective, or by its deadline if less than one
    /// such body is before it. A body that is late for its objective would take the link from one that is
    /// not.
    ///
    /// # Errors
    ///
    /// The body cannot cross in time; its request may come back after the returned time. Those that are
    /// refused one after the other come back in that order, at the pace of the link.
    pub fn expect(&mut self, body: &Body, now: Instant) -> Result<(), Duration> {
        let backlog = self.backlog(now);
        let starts_at = body.ready_at.max(now + backlog);
        let crosses_at = starts_at + self.time_of(body.bytes);
        let limit = if backlog < self.time_of(body.bytes) {
            body.deadline
        } else {
            body.objective.min(body.deadline)
        };
        if crosses_at <= limit {
            self.expected += body.bytes;
            return Ok(());
        }
        let has_room_at = now + backlog.min(crosses_at.saturating_duration_since(limit));
        let latest = now + MAX_RETRY_AFTER;
        let retry_at = self.next_retry.max(has_room_at).min(latest);
        self.next_retry = retry_at + self.time_of(body.bytes);
        Err(retry_at.saturating_duration_since(now))
    }

    /// A body that was expected has been handed to the link, or never will be.
    pub fn forget(&mut self, bytes: f64) {
        // Rounding may leave a little less than nothing.
        self.expected = (self.expected - bytes).max(0.0);
    }

    /// Records bytes that are handed to the link.
    pub fn send(&mut self, bytes: f64, now: Instant) {
        self.free_at = self.free_at.max(now) + self.time_of(bytes);
    }

    fn time_of(&self, bytes: f64) -> Duration {
        Duration::from_secs_f64(bytes / self.bytes_per_s)
    }
}
