//! Admission of calls to the slots of the target beside this node.
//!
//! A call that finds no free slot waits in a short queue, ordered by rank (0 is the most urgent)
//! and then by deadline. A call whose deadline cannot be met at the rate at which the target has
//! freed slots so far is refused at once.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Length limit of the queue, per slot.
const MAX_QUEUED_PER_SLOT: usize = 1;

/// Lower bound of the queue's length limit, for targets with few slots.
const MIN_QUEUE_LIMIT: usize = 4;

/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// How long after the last arrival of a rank its calls are still assumed to keep arriving.
const RANK_ACTIVE_FOR: Duration = Duration::from_secs(1);

/// What happened to a call on arrival.
#[derive(Debug, PartialEq, Eq)]
pub enum AdmissionOutcome<T> {
    /// It holds a slot.
    Admitted(T),
    /// It waits for a slot in the queue under this key.
    Queued(QueueKey),
    /// The queue is full, or the call's deadline cannot be met.
    Refused(T),
}

impl<T> AdmissionOutcome<T> {
    /// Whether the call waits for a slot.
    pub fn is_queued(&self) -> bool {
        matches!(self, Self::Queued(_))
    }
}

/// Sort key of a queued call: its rank, the time by which it wants a slot (or has to complete, if
/// it came by [`Admission::admit`]), and its number among the queued calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey(u8, Instant, u64);

/// What happened to a call that leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Dequeued<T> {
    /// It holds a slot that was freed.
    Admitted(T),
    /// Its deadline has passed.
    Expired(T),
}

/// By when a call has to get a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueDeadlines {
    /// The call is refused on arrival if it cannot expect a slot by this time; see
    /// [`Admission::admit_ranked`] for the exceptions.
    pub wanted: Instant,
    /// A call that still waits at this time expires.
    pub latest: Instant,
}

/// What a call has to reach by its deadline: its completion, or a slot.
#[derive(Debug, Clone, Copy)]
enum DeadlineKind {
    Completion(Instant),
    Admission(QueueDeadlines),
}

#[derive(Debug)]
struct QueuedCall<T> {
    since: Instant,
    latest: Instant,
    call: T,
}

/// The slots of a target and the queue of calls that wait for one; `T` is the caller's handle of a
/// call.
#[derive(Debug)]
pub struct Admission<T> {
    slots: usize,
    running: usize,
    queue: BTreeMap<QueueKey, QueuedCall<T>>,
    queued_total: u64,
    /// Moving average of the time that calls hold a slot.
    mean_hold_time: Duration,
    /// When a call of each rank last arrived.
    last_arrivals: BTreeMap<u8, Instant>,
    dequeue_rates: BTreeMap<u8, DequeueRate>,
}

/// The rate at which calls of one rank leave the queue for a slot. Calls of lower ranks overtake
/// them, so this is slower than the rate at which slots are freed.
#[derive(Debug)]
struct DequeueRate {
    /// When a call of the rank last got a slot, if others of the rank were left waiting.
    last: Option<Instant>,
    mean_interval: Duration,
}

impl<T> Admission<T> {
    /// Creates an admission with this number of free slots.
    pub fn new(slots: u16) -> Self {
        Self {
            slots: usize::from(slots),
            running: 0,
            queue: BTreeMap::new(),
            queued_total: 0,
            mean_hold_time: Duration::ZERO,
            last_arrivals: BTreeMap::new(),
            dequeue_rates: BTreeMap::new(),
        }
    }

    /// Number of calls that hold a slot or wait for one.
    pub fn in_flight(&self) -> usize {
        self.running + self.queue.len()
    }

    /// Number of calls that hold a slot.
    pub fn running(&self) -> usize {
        self.running
    }

    /// The target's number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Admits, queues or refuses a call that has to complete by its deadline.
    pub fn admit(&mut self, now: Instant, deadline: Instant, call: T) -> AdmissionOutcome<T> {
        self.admit_or_queue(now, DeadlineKind::Completion(deadline), 0, call)
    }

    /// Admits, queues or refuses a call that has to get a slot by its deadlines. The queue serves
    /// the lowest rank first.
    ///
    /// A call that finds the queue empty, or that overtakes calls of higher ranks, is only refused
    /// if it cannot expect a slot by `latest`, even if it cannot expect one by `wanted`: it is
    /// close to the head of the queue, and a refusal may waste the work that led to the call. Calls
    /// of higher ranks do not count towards the queue's length limit.
    pub fn admit_ranked(
        &mut self,
        now: Instant,
        rank: u8,
        deadlines: QueueDeadlines,
        call: T,
    ) -> AdmissionOutcome<T> {
        self.admit_or_queue(now, DeadlineKind::Admission(deadlines), rank, call)
    }

    fn admit_or_queue(
        &mut self,
        now: Instant,
        deadline: DeadlineKind,
        rank: u8,
        call: T,
    ) -> AdmissionOutcome<T> {
        self.last_arrivals.insert(rank, now);
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            return AdmissionOutcome::Admitted(call);
        }
        let competing = self.queue.keys().filter(|key| key.0 <= rank).count();
        let full = competing >= MIN_QUEUE_LIMIT.max(self.slots * MAX_QUEUED_PER_SLOT);
        let (wanted, latest, in_time) = match deadline {
            DeadlineKind::Completion(end) => {
                let ahead = self.queued_ahead(rank, end);
                (
                    end,
                    end,
                    now + self.expected_wait(rank, ahead) + self.mean_hold_time <= end,
                )
            }
            DeadlineKind::Admission(QueueDeadlines { wanted, latest }) => {
                let ahead = self.queued_ahead(rank, wanted);
                let near_head = self.queue.is_empty() || self.overtakes_others(rank, now);
                let accepted_until = if near_head { latest } else { wanted };
                (
                    wanted,
                    latest,
                    now + self.expected_wait(rank, ahead) <= accepted_until,
                )
            }
        };
        if full || !in_time {
            return AdmissionOutcome::Refused(call);
        }
        self.queued_total += 1;
        let queued = QueuedCall {
            since: now,
            latest,
            call,
        };
        let key = QueueKey(rank, wanted, self.queued_total);
        self.queue.insert(key, queued);
        AdmissionOutcome::Queued(key)
    }

    /// Removes a call that no longer wants a slot from the queue, if it still waits there.
    pub fn withdraw(&mut self, key: QueueKey) -> Option<T> {
        self.queue.remove(&key).map(|queued| queued.call)
    }

    /// Frees the slot of a call that held it for `held`, and returns the calls that leave the
    /// queue.
    pub fn release_slot(&mut self, now: Instant, held: Duration) -> Vec<Dequeued<T>> {
        self.running -= 1;
        self.mean_hold_time = ewma(self.mean_hold_time, held);
        self.dequeue(now)
    }

    /// Changes the number of slots, and returns the calls that leave the queue. Calls that hold
    /// slots beyond the new number keep them until they finish.
    pub fn resize(&mut self, now: Instant, slots: u16) -> Vec<Dequeued<T>> {
        self.slots = usize::from(slots);
        self.dequeue(now)
    }

    /// Takes calls from the head of the queue while they have expired or there is a free slot.
    fn dequeue(&mut self, now: Instant) -> Vec<Dequeued<T>> {
        let mut released = Vec::new();
        while let Some(first) = self.queue.first_entry() {
            let expired = first.get().latest <= now;
            if !expired && self.running >= self.slots {
                break;
            }
            let rank = first.key().0;
            let QueuedCall { since, call, .. } = first.remove();
            if expired {
                released.push(Dequeued::Expired(call));
            } else {
                self.running += 1;
                self.record_dequeue(rank, since, now);
                released.push(Dequeued::Admitted(call));
            }
        }
        released
    }

    /// Updates the dequeue rate of a rank after one of its calls got a slot, for which it waited from
    /// `since` on.
    ///
    /// The wait of a call that was the only one of its rank updates a known rate, but does not start
    /// one: it may have begun shortly before a slot was freed. Without it a rate from a rush would
    /// stay, since it has all calls refused that join a queue.
    fn record_dequeue(&mut self, rank: u8, since: Instant, now: Instant) {
        let others_wait = self.queue.keys().any(|key| key.0 == rank);
        let rate = self.dequeue_rates.entry(rank).or_insert(DequeueRate {
            last: None,
            mean_interval: Duration::ZERO,
        });
        let is_known = !rate.mean_interval.is_zero();
        if let Some(last) = rate.last.or(is_known.then_some(since)) {
            let interval = now.saturating_duration_since(last);
            rate.mean_interval = ewma(rate.mean_interval, interval);
        }
        rate.last = others_wait.then_some(now);
    }

    /// Expected time until every call in the queue has got a slot.
    pub fn backlog(&self) -> Duration {
        let last = self.queue.keys().next_back();
        self.expected_wait(last.map_or(0, |key| key.0), self.queue.len())
    }

    /// Mean time that a call holds a slot; zero if none has.
    pub fn mean_hold_time(&self) -> Duration {
        self.mean_hold_time
    }

    /// Number of queued calls ahead of a new one with this rank and deadline.
    fn queued_ahead(&self, rank: u8, deadline: Instant) -> usize {
        self.queue
            .range(..=QueueKey(rank, deadline, u64::MAX))
            .count()
    }

    /// Expected time until a call with this rank and number of calls ahead of it gets a slot.
    ///
    /// Takes the larger of two estimates: by the mean time that calls hold slots, and by the rate
    /// at which calls of the same rank leave the queue.
    fn expected_wait(&self, rank: u8, ahead: usize) -> Duration {
        let rounds = (ahead + 1) as f64 / self.slots.max(1) as f64;
        let by_slots = self.mean_hold_time.mul_f64(rounds);
        let Some(rate) = self.dequeue_rates.get(&rank) else {
            return by_slots;
        };
        let lower_ranks = self.queue.keys().filter(|key| key.0 < rank).count();
        let position_in_rank = ahead.saturating_sub(lower_ranks) + 1;
        by_slots.max(rate.mean_interval.mul_f64(position_in_rank as f64))
    }

    /// Whether calls of higher ranks arrived recently, which calls of this rank overtake.
    fn overtakes_others(&self, rank: u8, now: Instant) -> bool {
        let mut higher_ranks = self.last_arrivals.range(rank.saturating_add(1)..);
        higher_ranks.any(|(_, last)| now.saturating_duration_since(*last) < RANK_ACTIVE_FOR)
    }
}

/// An exponentially weighted moving average after a new sample; a zero average has no samples yet.
fn ewma(average: Duration, sample: Duration) -> Duration {
    if average.is_zero() {
        return sample;
    }
    let weighted_average = average.mul_f64(1.0 - EWMA_WEIGHT);
    weighted_average.saturating_add(sample.mul_f64(EWMA_WEIGHT))
}
