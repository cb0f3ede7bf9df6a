//! Admission of calls to the slots of a node's own target.
//!
//! Calls that find no slot free wait in a short queue, the lowest rank and the earliest deadline
//! first. A call whose deadline cannot be met by what is known of the target's speed is refused at
//! once.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Calls that may wait for each slot, where nothing else is said.
const QUEUED_PER_SLOT: usize = 1;

/// Calls that may wait where the target has few slots.
const MIN_QUEUE: usize = 4;

/// Weight of the newest call in the mean time that a slot is held.
const MEAN_WEIGHT: f64 = 0.1;

/// What becomes of a call on arrival.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival<T> {
    /// It has a slot.
    Admitted(T),
    /// It waits for one.
    Queued,
    /// The queue is full, or the deadline cannot be met.
    Refused(T),
}

/// What becomes of a waiting call when a slot is free.
#[derive(Debug, PartialEq, Eq)]
pub enum Release<T> {
    /// It has the slot.
    Admitted(T),
    /// Its deadline has passed.
    Expired(T),
}

/// What a call's deadline is for.
#[derive(Debug, Clone, Copy)]
enum Due {
    End(Instant),
    Start(Instant),
}

/// The slots of a target, and the calls that wait for one; `T` stands for a waiting call.
#[derive(Debug)]
pub struct Admission<T> {
    slots: usize,
    queued_per_slot: usize,
    running: usize,
    waiting: BTreeMap<(u8, Instant, u64), T>,
    arrivals: u64,
    mean_held: Duration,
}

impl<T> Admission<T> {
    /// Admission to so many slots.
    pub fn new(slots: u16) -> Self {
        Self::with_queue(slots, QUEUED_PER_SLOT)
    }

    /// Admission to so many slots, with a queue of so many calls for each.
    pub fn with_queue(slots: u16, queued_per_slot: usize) -> Self {
        Self {
            slots: usize::from(slots),
            queued_per_slot,
            running: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            mean_held: Duration::ZERO,
        }
    }

    /// Calls in slots and waiting.
    pub fn in_flight(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Calls in slots.
    pub fn running(&self) -> usize {
        self.running
    }

    /// The target's slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Takes a call in that is to end by its deadline, queues it or refuses it.
    pub fn arrive(&mut self, now: Instant, deadline: Instant, call: T) -> Arrival<T> {
        self.enter(now, Due::End(deadline), 0, call)
    }

    /// Takes a call in that is to have a slot by `start_by`, queues it or refuses it; of the calls
    /// that wait, those of the lowest rank go first.
    pub fn arrive_ranked(
        &mut self,
        now: Instant,
        rank: u8,
        start_by: Instant,
        call: T,
    ) -> Arrival<T> {
        self.enter(now, Due::Start(start_by), rank, call)
    }

    fn enter(&mut self, now: Instant, due: Due, rank: u8, call: T) -> Arrival<T> {
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Arrival::Admitted(call);
        }
        let full = self.waiting.len() >= MIN_QUEUE.max(self.slots * self.queued_per_slot);
        let (by, work) = match due {
            Due::End(by) => (by, self.mean_held),
            Due::Start(by) => (by, Duration::ZERO),
        };
        if full || now + self.wait(rank, by) + work > by {
            return Arrival::Refused(call);
        }
        self.arrivals += 1;
        self.waiting.insert((rank, by, self.arrivals), call);
        Arrival::Queued
    }

    /// Frees the slot of a call that held it for that long.
    pub fn finish(&mut self, now: Instant, held: Duration) -> Vec<Release<T>> {
        self.running -= 1;
        self.mean_held = if self.mean_held.is_zero() {
            held
        } else {
            self.mean_held
                .mul_f64(1.0 - MEAN_WEIGHT)
                .saturating_add(held.mul_f64(MEAN_WEIGHT))
        };
        self.release(now)
    }

    /// Changes the number of slots; calls that hold more finish first.
    pub fn resize(&mut self, now: Instant, slots: u16) -> Vec<Release<T>> {
        self.slots = usize::from(slots);
        self.release(now)
    }

    fn release(&mut self, now: Instant) -> Vec<Release<T>> {
        let mut released = Vec::new();
        while let Some(first) = self.waiting.first_entry() {
            let expired = first.key().1 <= now;
            if !expired && self.running >= self.slots {
                break;
            }
            let call = first.remove();
            if expired {
                released.push(Release::Expired(call));
            } else {
                self.running += 1;
                released.push(Release::Admitted(call));
            }
        }
        released
    }

    /// Time until the calls that wait now will have a slot, by the mean of earlier calls.
    pub fn backlog(&self) -> Duration {
        let rounds = (self.waiting.len() + 1) as f64 / self.slots.max(1) as f64;
        self.mean_held.mul_f64(rounds)
    }

    /// Time until a call of that rank and deadline would have a slot, by the mean of earlier calls.
    fn wait(&self, rank: u8, deadline: Instant) -> Duration {
        let last = (rank, deadline, u64::MAX);
        let ahead = self.waiting.range(..=last).count();
        let rounds = (ahead + 1) as f64 / self.slots.max(1) as f64;
        self.mean_held.mul_f64(rounds)
    }
}
