//! Orders of rollouts over several eras of the store.
//!
//! An order that the new era has at another revision, from its copy or because the operator wrote it
//! again, is the same order if it names the same version. Its rollout goes on, and an outcome that was
//! recorded stays.

use super::{number, of};
use fulmarreel_platform::order::State;
use std::time::Duration;

/// An order to roll a service's new version out, and its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The store revision of the order.
    pub order: u64,
    /// The new version.
    pub version: String,
    /// How long after the order the rollout has to be complete.
    pub time_limit: Duration,
    /// The state that the rollout's owner last wrote to the store, if any.
    pub state: Option<State>,
    /// Whether the store has that state now; otherwise an earlier era of it had.
    pub is_recorded: bool,
    /// Whether the store has the order now; otherwise an earlier era of it had.
    pub is_ordered: bool,
    /// The revision of the order in the earliest era in which it was known.
    first: u64,
    /// The revision of the order that this one replaced.
    replaced: Option<u64>,
    /// Whether the operator may write the order again in this era, because so far only the copy's is
    /// known.
    may_be_repeated: bool,
}

impl Rollout {
    /// A rollout as the store has it.
    pub fn new(order: u64, version: String, time_limit: Duration, state: Option<State>) -> Self {
        Self {
            order,
            version,
            time_limit,
            state,
            is_recorded: true,
            is_ordered: true,
            first: order,
            replaced: None,
            may_be_repeated: false,
        }
    }

    /// Whether a revision is one that this order had, in any era.
    pub fn includes(&self, order: u64) -> bool {
        (self.first..=self.order).contains(&order)
    }

    /// Whether the order had another revision before.
    pub fn is_continued(&self) -> bool {
        self.first != self.order
    }

    /// Whether the rollout is over.
    pub fn is_over(&self) -> bool {
        matches!(self.state, Some(State::Completed | State::RolledBack))
    }

    /// This rollout with what was `known` of the service's last one; that one if it replaced this one.
    #[must_use]
    pub fn after(mut self, known: Option<&Self>) -> Self {
        let Some(known) = known else {
            return self;
        };
        if known.has_replaced(&self) {
            return known.lost(false);
        }
        let is_same = self.order == known.order;
        if !is_same && !known.is_repeated_by(&self) {
            self.replaced = Some(known.order);
            return self;
        }
        self.first = known.first;
        self.replaced = known.replaced;
        self.may_be_repeated = if is_same {
            known.may_be_repeated
        } else {
            of(self.order) > of(known.order) && number(self.order) == number(known.order)
        };
        if known.is_over() && !self.is_over() && !(is_same && known.is_recorded) {
            self.state = known.state;
            self.is_recorded = false;
        }
        self
    }

    /// This rollout in an era of the store that lacks its order.
    #[must_use]
    pub fn lost(&self, is_recorded: bool) -> Self {
        Self {
            is_ordered: false,
            is_recorded,
            ..self.clone()
        }
    }

    /// Whether another order is one that this one replaced in an earlier era, back from the copy.
    fn has_replaced(&self, other: &Self) -> bool {
        of(self.order) < of(other.order)
            && self.version != other.version
            && self.replaced.map(number) == Some(number(other.order))
    }

    /// Whether another order is this one, at its revision in a later era.
    fn is_repeated_by(&self, other: &Self) -> bool {
        let is_of_later_era = of(self.order) < of(other.order);
        self.version == other.version && (is_of_later_era || self.may_be_repeated)
    }
}
