//! The join of two published states: the greater one in a total order, so that neither the order
//! nor the repetition of deliveries matters.

use super::{Phase, Reason, State};
use crate::Share;
use std::cmp::Reverse;

/// The order of states: a later document goes before an earlier one, then a verdict, then the later
/// step, then the smaller share.
type JoinKey<'a> = (
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
    /// The state that is in force once both are known.
    pub fn join(self, other: Self) -> Self {
        if other.join_key() > self.join_key() {
            other
        } else {
            self
        }
    }

    /// Whether joining `other` would change nothing.
    pub fn covers(&self, other: &Self) -> bool {
        self.join_key() >= other.join_key()
    }

    fn join_key(&self) -> JoinKey<'_> {
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
