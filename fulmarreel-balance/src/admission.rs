//! Admission of calls to the slots of a node's own target.
//!
//! Calls that find no slot free wait in a short queue, the lowest rank and the earliest deadline
//! first. A call whose deadline cannot be met by what is known of the target's speed is refused at
//! once.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Calls that may wait for each slot.
const QUEUED_PER_SLOT: usize = 1;

/// Calls that may wait where the target has few slots.
const MIN_QUEUE: usize = 4;

/// Weight of the newest call in the mean time that a slot is held.
const MEAN_WEIGHT: f64 = 0.1;

/// How long after its last call a rank still counts as one that is passed.
const RANK_AGE: Duration = Duration::from_secs(1);

/// What becomes of a call on arrival.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival<T> {
    /// It has a slot.
    Admitted(T),
    /// It waits for one, at that place.
    Queued(Place),
    /// The queue is full, or the deadline cannot be met.
    Refused(T),
}

impl<T> Arrival<T> {
    /// Whether the call waits for a slot.
    pub fn is_queued(&self) -> bool {
        matches!(self, Self::Queued(_))
    }
}

/// The place of a call among those that wait: its rank, when it wants a slot, and how many calls
/// waited before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(u8, Instant, u64);

/// What becomes of a waiting call when a slot is free.
#[derive(Debug, PartialEq, Eq)]
pub enum Release<T> {
    /// It has the slot.
    Admitted(T),
    /// Its deadline has passed.
    Expired(T),
}

/// How long a call waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueDeadlines {
    /// By when it wants a slot; it is refused where it cannot expect one.
    pub wanted: Instant,
    /// When it gives up.
    pub latest: Instant,
}

/// What a call's deadline is for.
#[derive(Debug, Clone, Copy)]
enum Due {
    End(Instant),
    Start(QueueDeadlines),
}

/// A call that waits.
#[derive(Debug)]
struct Waiting<T> {
    latest: Instant,
    call: T,
}

/// The slots of a target, and the calls that wait for one; `T` stands for a waiting call.
#[derive(Debug)]
pub struct Admission<T> {
    slots: usize,
    running: usize,
    waiting: BTreeMap<Place, Waiting<T>>,
    arrivals: u64,
    mean_held: Duration,
    /// When a call of each rank came last.
    ranks: BTreeMap<u8, Instant>,
    /// How fast calls of each rank leave the queue.
    paces: BTreeMap<u8, Pace>,
}

/// How fast calls of a rank leave the queue; those of lower ranks pass them.
#[derive(Debug)]
struct Pace {
    /// When one had a slot last while others of its rank waited.
    last: Option<Instant>,
    mean_interval: Duration,
}

impl<T> Admission<T> {
    /// Admission to so many slots.
    pub fn new(slots: u16) -> Self {
        Self {
            slots: usize::from(slots),
            running: 0,
            waiting: BTreeMap::new(),
            arrivals: 0,
            mean_held: Duration::ZERO,
            ranks: BTreeMap::new(),
            paces: BTreeMap::new(),
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

    /// Takes a call in that waits for a slot as its deadlines allows, queues it or refuses it; of the
    /// calls that wait, those of the lowest rank go first.
    ///
    /// A call that finds nobody waiting, and one that passes less urgent ones, wait until the latest
    /// time, also where they cannot have a slot by the wanted one: little stands between them and a
    /// slot, and a refusal may waste what led to them. Less urgent calls take no room in the queue
    /// from a call.
    pub fn arrive_ranked(
        &mut self,
        now: Instant,
        rank: u8,
        deadlines: QueueDeadlines,
        call: T,
    ) -> Arrival<T> {
        self.enter(now, Due::Start(deadlines), rank, call)
    }

    fn enter(&mut self, now: Instant, due: Due, rank: u8, call: T) -> Arrival<T> {
        self.ranks.insert(rank, now);
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Arrival::Admitted(call);
        }
        let before = self.waiting.keys().filter(|key| key.0 <= rank).count();
        let full = before >= MIN_QUEUE.max(self.slots * QUEUED_PER_SLOT);
        let (by, latest, in_time) = match due {
            Due::End(by) => {
                let ahead = self.ahead(rank, by);
                (by, by, now + self.wait(rank, ahead) + self.mean_held <= by)
            }
            Due::Start(QueueDeadlines { wanted, latest }) => {
                let ahead = self.ahead(rank, wanted);
                let patient = self.waiting.is_empty() || self.passes_others(rank, now);
                let until = if patient { latest } else { wanted };
                (wanted, latest, now + self.wait(rank, ahead) <= until)
            }
        };
        if full || !in_time {
            return Arrival::Refused(call);
        }
        self.arrivals += 1;
        let waiting = Waiting { latest, call };
        let place = Place(rank, by, self.arrivals);
        self.waiting.insert(place, waiting);
        Arrival::Queued(place)
    }

    /// Takes back a call that waits, if it still does: its caller no longer wants a slot.
    pub fn withdraw(&mut self, place: Place) -> Option<T> {
        self.waiting.remove(&place).map(|waiting| waiting.call)
    }

    /// Frees the slot of a call that held it for that long.
    pub fn finish(&mut self, now: Instant, held: Duration) -> Vec<Release<T>> {
        self.running -= 1;
        self.mean_held = mean(self.mean_held, held);
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
            let expired = first.get().latest <= now;
            if !expired && self.running >= self.slots {
                break;
            }
            let rank = first.key().0;
            let call = first.remove().call;
            if expired {
                released.push(Release::Expired(call));
            } else {
                self.running += 1;
                self.pace(rank, now);
                released.push(Release::Admitted(call));
            }
        }
        released
    }

    /// Notes that a call of that rank left the queue for a slot.
    fn pace(&mut self, rank: u8, now: Instant) {
        let others = self.waiting.keys().any(|key| key.0 == rank);
        let pace = self.paces.entry(rank).or_insert(Pace {
            last: None,
            mean_interval: Duration::ZERO,
        });
        if let Some(last) = pace.last {
            let interval = now.saturating_duration_since(last);
            pace.mean_interval = mean(pace.mean_interval, interval);
        }
        pace.last = others.then_some(now);
    }

    /// Time until the calls that wait now will have a slot, by the mean of earlier calls.
    pub fn backlog(&self) -> Duration {
        let last = self.waiting.keys().next_back();
        self.wait(last.map_or(0, |key| key.0), self.waiting.len())
    }

    /// Calls that wait before one of that rank and deadline.
    fn ahead(&self, rank: u8, deadline: Instant) -> usize {
        self.waiting
            .range(..=Place(rank, deadline, u64::MAX))
            .count()
    }

    /// Time until a call of that rank behind so many has a slot, by the mean of earlier calls.
    fn wait(&self, rank: u8, ahead: usize) -> Duration {
        let rounds = (ahead + 1) as f64 / self.slots.max(1) as f64;
        let by_slots = self.mean_held.mul_f64(rounds);
        let Some(pace) = self.paces.get(&rank) else {
            return by_slots;
        };
        let passed = self.waiting.keys().filter(|key| key.0 < rank).count();
        let own = ahead.saturating_sub(passed) + 1;
        by_slots.max(pace.mean_interval.mul_f64(own as f64))
    }

    /// Whether less urgent calls come besides those of that rank.
    fn passes_others(&self, rank: u8, now: Instant) -> bool {
        let mut others = self.ranks.range(rank.saturating_add(1)..);
        others.any(|(_, last)| now.saturating_duration_since(*last) < RANK_AGE)
    }
}

/// A mean with a newest value taken in.
fn mean(mean: Duration, newest: Duration) -> Duration {
    if mean.is_zero() {
        return newest;
    }
    let kept = mean.mul_f64(1.0 - MEAN_WEIGHT);
    kept.saturating_add(newest.mul_f64(MEAN_WEIGHT))
}
