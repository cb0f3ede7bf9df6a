//! Limits how many members of its zone a node declares gone within a short time.
//!
//! When most of a zone seems gone within a short time, it is more likely that this node is cut off
//! or was paused. It then keeps the remaining members: they stay suspect, less preferred but in
//! use.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Length of the sliding window in which losses are counted.
const LOSS_WINDOW: Duration = Duration::from_secs(30);

/// Counts the losses of a zone within a sliding window.
#[derive(Debug, Default)]
pub struct LossLimiter {
    losses: VecDeque<Instant>,
}

impl LossLimiter {
    /// Records one more loss and returns true if the losses of the window stay within half of the
    /// zone; otherwise records nothing and returns false.
    ///
    /// `present` is the number of the zone's members that are not gone, this node included.
    pub fn admit(&mut self, present: usize, now: Instant) -> bool {
        while self
            .losses
            .front()
            .is_some_and(|loss| now.saturating_duration_since(*loss) > LOSS_WINDOW)
        {
            self.losses.pop_front();
        }
        let zone_members = present + self.losses.len();
        if (self.losses.len() + 1) * 2 > zone_members {
            return false;
        }
        self.losses.push_back(now);
        true
    }
}
