//! The join of two published states: the greater in a total order, so that order and duplication
//! of deliveries do not matter.

use super::{Phase, Reason, State};
use crate::Share;
use std::cmp::Reverse;

/// Later document first, then a verdict, then the later step, then the smaller share.
type Key<'a> = (
    u64,
    bool,
    u64,
    Reverse<Share>,
    Phase,
    u64,
    Option<u64>,
    &'a Reason,
);

impl State {
    /// The state that holds where both are known.
    pub fn join(self, other: Self) -> Self {
        if other.key() > self.key() {
            other
        } else {
            self
        }
    }

    /// Whether joining `other` would change nothing.
    pub fn covers(&self, other: &Self) -> bool {
        self.key() >= other.key()
    }

    fn key(&self) -> Key<'_> {
        (
            self.revision,
            self.phase == Phase::TakenBack,
            self.step,
            Reverse(self.share),
            self.phase,
            self.at.0,
            self.moved_at.map(|at| at.0),
            &self.reason,
        )
    }
}
