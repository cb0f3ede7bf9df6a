//! How many lines are written in a second, and how many were left out.

use std::sync::atomic::{AtomicU64, Ordering};

/// Admits a number of lines in each second.
#[derive(Debug)]
pub struct Sampler {
    limit: u64,
    second: AtomicU64,
    asked: AtomicU64,
}

/// What became of one line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Whether the line is written.
    pub admitted: bool,
    /// Lines left out in the last second with lines, told to the first caller of the next one.
    pub dropped_before: u64,
}

impl Sampler {
    /// A sampler that admits so many lines in a second.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit.into(),
            second: AtomicU64::new(0),
            asked: AtomicU64::new(0),
        }
    }

    /// Asks for one line in a second of the clock.
    ///
    /// Callers at the turn of a second may be counted in either; none is counted twice.
    pub fn admit(&self, second: u64) -> Admission {
        let current = self.second.load(Ordering::Relaxed);
        let turned = second > current
            && self
                .second
                .compare_exchange(current, second, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        let asked_before = if turned {
            self.asked.swap(0, Ordering::Relaxed)
        } else {
            0
        };
        Admission {
            admitted: self.asked.fetch_add(1, Ordering::Relaxed) < self.limit,
            dropped_before: asked_before.saturating_sub(self.limit),
        }
    }
}
