//! Limits the number of log lines per second and counts the dropped ones.

use std::sync::atomic::{AtomicU64, Ordering};

/// Admits a limited number of lines in each second.
#[derive(Debug)]
pub struct Sampler {
    max_per_second: u64,
    second: AtomicU64,
    requested: AtomicU64,
}

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Whether the line is written.
    pub admitted: bool,
    /// Lines dropped in the latest earlier second in which any was requested; set only for the first
    /// request of a second, 0 for all others.
    pub dropped_before: u64,
}

impl Sampler {
    /// Creates a sampler that admits `limit` lines per second.
    pub fn new(limit: u32) -> Self {
        Self {
            max_per_second: limit.into(),
            second: AtomicU64::new(0),
            requested: AtomicU64::new(0),
        }
    }

    /// Requests one line in a second, which is given as seconds since the Unix epoch.
    ///
    /// Concurrent callers around the start of a second may be counted in either second, but are
    /// never counted twice.
    pub fn admit(&self, second: u64) -> Admission {
        let current = self.second.load(Ordering::Relaxed);
        let is_first_in_second = second > current
            && self
                .second
                .compare_exchange(current, second, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        let requested_before = if is_first_in_second {
            self.requested.swap(0, Ordering::Relaxed)
        } else {
            0
        };
        Admission {
            admitted: self.requested.fetch_add(1, Ordering::Relaxed) < self.max_per_second,
            dropped_before: requested_before.saturating_sub(self.max_per_second),
        }
    }
}
