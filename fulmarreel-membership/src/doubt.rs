//! Whether a node may believe that yet another member of its zone is gone.
//!
//! When most of a zone seems gone within a short time, it is more likely that this node is cut off
//! or was paused. It then keeps the last set: members stay suspect, less preferred but in use.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long a loss counts.
const WINDOW: Duration = Duration::from_secs(30);

/// The losses of a zone within a sliding window.
#[derive(Debug, Default)]
pub struct Doubt {
    losses: VecDeque<Instant>,
}

impl Doubt {
    /// Records one more loss where the losses stay within half of the zone; false in doubt.
    ///
    /// `present` is how many members the zone has without those lost, this node included.
    pub fn admit(&mut self, present: usize, now: Instant) -> bool {
        while self
            .losses
            .front()
            .is_some_and(|loss| now.saturating_duration_since(*loss) > WINDOW)
        {
            self.losses.pop_front();
        }
        let zone = present + self.losses.len();
        if (self.losses.len() + 1) * 2 > zone {
            return false;
        }
        self.losses.push_back(now);
        true
    }
}
