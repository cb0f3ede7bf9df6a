//! The slots of the local target, shared by two queues: one by rank, and one by class and account for
//! configurations that call for it.
//!
//! Each queue has the slots that the other does not use, so that together they never exceed the target's
//! slots, also while the configuration changes from one to the other.

use super::slot_queue::Permit;
use fulmarreel_balance::{
    admission::{Admission, Dequeued, QueueKey},
    overload::{Key, Queue, Released},
};
use fulmarreel_wire::call::Refusal;
use smol::channel::Sender;
use std::time::{Duration, Instant};

/// Tells a request that waits in the queue by class its slot, or why it gets none.
pub(super) type Waiter = Sender<Result<Permit, Refusal>>;

/// The queue that granted a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Grantor {
    /// The queue by rank.
    Ranked,
    /// The queue by class and account.
    Classed,
}

/// Requests that leave a queue.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    pub ranked: Vec<Dequeued<Sender<Permit>>>,
    pub classed: Vec<Released<Waiter>>,
    pub displaced: Vec<Waiter>,
}

/// The slots of the local target and both queues.
#[derive(Debug)]
pub(super) struct Slots {
    total: u16,
    ranked: Admission<Sender<Permit>>,
    /// Created with the first request that is ordered by class.
    classed: Option<Queue<Waiter>>,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            total: 0,
            ranked: Admission::new(0),
            classed: None,
        }
    }
}

impl Slots {
    pub fn total(&self) -> u16 {
        self.total
    }

    /// The number of requests that run or wait.
    pub fn in_flight(&self) -> usize {
        let classed = self.classed.as_ref().map_or(0, Queue::in_flight);
        self.ranked.in_flight() + classed
    }

    /// Expected time until all requests that wait now have a slot.
    pub fn backlog(&self) -> Duration {
        let classed = self.classed.as_ref().map(Queue::backlog);
        self.ranked.backlog().max(classed.unwrap_or_default())
    }

    /// Mean time that a request holds a slot; zero if none has.
    pub fn mean_hold_time(&self) -> Duration {
        let classed = self.classed.as_ref().map(Queue::mean_hold_time);
        self.ranked
            .mean_hold_time()
            .max(classed.unwrap_or_default())
    }

    /// Works on the queue by rank.
    pub fn with_ranked<R>(
        &mut self,
        now: Instant,
        work: impl FnOnce(&mut Admission<Sender<Permit>>) -> R,
    ) -> (R, Leaving) {
        let result = work(&mut self.ranked);
        (result, self.share_out(now))
    }

    /// Works on the queue by class.
    pub fn with_classed<R>(
        &mut self,
        now: Instant,
        work: impl FnOnce(&mut Queue<Waiter>) -> R,
    ) -> (R, Leaving) {
        let free = usize::from(self.total).saturating_sub(self.ranked.running());
        let queue = self.classed.get_or_insert_with(|| Queue::new(free));
        let result = work(queue);
        (result, self.share_out(now))
    }

    /// Removes a request that no longer wants a slot from the queue by rank.
    pub fn withdraw_ranked(&mut self, key: QueueKey) {
        self.ranked.withdraw(key);
    }

    /// Removes a request that no longer wants a slot from the queue by class.
    pub fn withdraw_classed(&mut self, key: Key) {
        if let Some(classed) = &mut self.classed {
            classed.withdraw(key);
        }
    }

    /// The delay after which a request that is refused now is told to come back.
    pub fn retry_delay(&mut self, now: Instant) -> Duration {
        let classed = self.classed.as_mut();
        classed.map_or(Duration::ZERO, |queue| queue.retry_delay(now))
    }

    /// Frees a slot.
    pub fn release(&mut self, now: Instant, grantor: Grantor, held: Duration) -> Leaving {
        let (mut leaving, freed) = match grantor {
            Grantor::Ranked => {
                let (ranked, freed) =
                    self.with_ranked(now, |ranked| ranked.release_slot(now, held));
                let leaving = Leaving {
                    ranked,
                    ..Leaving::default()
                };
                (leaving, freed)
            }
            Grantor::Classed => {
                let (classed, freed) =
                    self.with_classed(now, |queue| queue.release_slot(now, held));
                let leaving = Leaving {
                    classed,
                    ..Leaving::default()
                };
                (leaving, freed)
            }
        };
        leaving.append(freed);
        leaving
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, now: Instant, total: u16) -> Leaving {
        if total == self.total {
            return Leaving::default();
        }
        self.total = total;
        if self.classed.is_some() {
            return self.share_out(now);
        }
        Leaving {
            ranked: self.ranked.resize(now, total),
            ..Leaving::default()
        }
    }

    /// Gives each queue the slots that the other does not use.
    fn share_out(&mut self, now: Instant) -> Leaving {
        let Some(classed) = &mut self.classed else {
            return Leaving::default();
        };
        let left = |used: usize| usize::from(self.total).saturating_sub(used);
        let classed_leaving = classed.resize(now, left(self.ranked.running()));
        let slots = u16::try_from(left(classed.running())).unwrap_or(u16::MAX);
        let ranked = self.ranked.resize(now, slots);
        // The queue by rank may have taken slots that the other one counts as free.
        let free = usize::from(self.total).saturating_sub(self.ranked.running());
        let mut classed_again = classed.resize(now, free);
        let mut leaving = Leaving {
            ranked,
            classed: classed_leaving,
            displaced: Vec::new(),
        };
        leaving.classed.append(&mut classed_again);
        leaving
    }
}

impl Leaving {
    pub fn append(&mut self, mut other: Self) {
        self.ranked.append(&mut other.ranked);
        self.classed.append(&mut other.classed);
        self.displaced.append(&mut other.displaced);
    }
}
