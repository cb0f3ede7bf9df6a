//! The slots of a target, and the requests that wait for one in the order of their classes and of the
//! fair shares of their accounts.

use super::{
    class::{Class, Kind},
    lane::{Lane, Place},
    pace::{Group, Paces},
    retries::Retries,
    share::Shares,
};
use crate::admission::QueueDeadlines;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Length limit of the queue, per slot.
const MAX_WAITING_PER_SLOT: usize = 4;

/// Lower bound of the queue's length limit, for targets with few slots.
const MIN_WAITING_LIMIT: usize = 16;

/// Limit of the internal calls that wait, per slot. New work does not count towards it.
const MAX_INTERNAL_PER_SLOT: usize = 16;

/// Lower bound of the limit of internal calls, for targets with few slots.
const MIN_INTERNAL_LIMIT: usize = 64;

/// What the queue needs to know about a request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// Identifies its account; requests without an account share one identifier.
    pub account: u64,
    /// The account's weight relative to others.
    pub weight: f64,
    /// By when it has to get a slot.
    pub deadlines: QueueDeadlines,
}

/// Identifies a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    class: Class,
    account: u64,
    place: Place,
}

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The queue is full of requests that are as urgent.
    Full,
    /// It cannot get a slot in time.
    Late,
    /// A more urgent request took its place in the queue.
    Displaced,
}

/// What happens to a request on arrival.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision<T> {
    /// It holds a slot.
    Admitted(T),
    /// It waits for a slot.
    Queued(Key),
    /// It is not run.
    Refused(T, Cause),
}

/// What an arrival changes.
#[derive(Debug, PartialEq, Eq)]
pub struct Arrival<T> {
    /// The class that the request was treated as: its own, unless its account is starved.
    pub class: Class,
    /// What happens to the request that arrived.
    pub decision: Decision<T>,
    /// Requests that waited until now and are not run.
    pub displaced: Vec<T>,
}

/// What happens to a request that leaves the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Released<T> {
    /// It holds a slot that was freed.
    Admitted(T),
    /// Its deadline has passed.
    Expired(T),
}

#[derive(Debug)]
struct Waiting<T> {
    key: Key,
    since: Instant,
    latest: Instant,
    weight: f64,
    group: Group,
    /// The number of requests before it when it arrived.
    ahead: usize,
    handle: T,
}

/// The slots of a target and the requests that wait for one; `T` is the caller's handle of a request.
#[derive(Debug)]
pub struct Queue<T> {
    slots: usize,
    running: usize,
    waiting: usize,
    arrivals: u64,
    lanes: BTreeMap<Class, Lane<Waiting<T>>>,
    paces: Paces,
    shares: Shares,
    retries: Retries,
}

impl<T> Queue<T> {
    /// Creates a queue in front of this number of free slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            running: 0,
            waiting: 0,
            arrivals: 0,
            lanes: BTreeMap::new(),
            paces: Paces::default(),
            shares: Shares::default(),
            retries: Retries::default(),
        }
    }

    /// Mean time that a request holds a slot; zero if none has.
    pub fn mean_hold_time(&self) -> Duration {
        self.paces.mean_hold_time()
    }

    /// Number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of requests that hold a slot or wait for one.
    pub fn in_flight(&self) -> usize {
        self.running + self.waiting
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, now: Instant, mut request: Request, handle: T) -> Arrival<T> {
        let Request {
            account, weight, ..
        } = request;
        if request.class.kind != Kind::Internal && self.shares.is_starved(now, account) {
            request.class = Class::starved();
        }
        if self.running < self.slots && self.waiting == 0 {
            self.running += 1;
            let lane = self.lanes.entry(request.class).or_default();
            lane.charge(account, weight);
            self.record_end(now, request.class, account, weight, true);
            return Arrival::new(request.class, Decision::Admitted(handle));
        }
        if let Err(cause) = self.check(now, &request) {
            self.record_end(now, request.class, account, weight, false);
            return Arrival::new(request.class, Decision::Refused(handle, cause));
        }
        let key = self.insert(now, &request, handle);
        Arrival {
            displaced: self.displace(now),
            ..Arrival::new(request.class, Decision::Queued(key))
        }
    }

    /// Removes a request that no longer wants a slot, if it still waits.
    pub fn withdraw(&mut self, key: Key) -> Option<T> {
        let lane = self.lanes.get_mut(&key.class)?;
        let waiting = lane.remove(key.account, key.place)?;
        self.waiting -= 1;
        Some(waiting.handle)
    }

    /// Frees the slot of a request that held it for `held`, and returns the requests that leave the queue.
    pub fn release_slot(&mut self, now: Instant, held: Duration) -> Vec<Released<T>> {
        self.running -= 1;
        self.paces.record_hold(held);
        self.dequeue(now)
    }

    /// Changes the number of slots, and returns the requests that leave the queue.
    pub fn resize(&mut self, now: Instant, slots: usize) -> Vec<Released<T>> {
        self.slots = slots;
        self.dequeue(now)
    }

    /// Expected time until every waiting request has got a slot.
    pub fn backlog(&self) -> Duration {
        let rounds = u32::try_from(self.waiting).unwrap_or(u32::MAX);
        self.paces.interval(self.slots).saturating_mul(rounds)
    }

    /// The delay after which a request that is refused now is told to come back.
    pub fn retry_delay(&mut self, now: Instant) -> Duration {
        let interval = self.paces.interval(self.slots);
        self.retries.delay(now, self.backlog() + interval, interval)
    }

    /// Whether a request may wait, or why not.
    fn check(&self, now: Instant, request: &Request) -> Result<(), Cause> {
        let class = request.class;
        let lane = self.lanes.get(&class);
        let tag = lane.map_or(0, |lane| lane.next_tag(request.account, request.weight));
        let is_full = if class.kind == Kind::Internal {
            self.internal_waiting() >= MIN_INTERNAL_LIMIT.max(self.slots * MAX_INTERNAL_PER_SLOT)
        } else {
            let last = self
                .last_lane()
                .map(|(class, lane)| (class, lane.last_tag()));
            self.waiting >= self.waiting_limit() && last <= Some((class, Some(tag)))
        };
        if is_full {
            return Err(Cause::Full);
        }
        let ahead = self.count_ahead(request);
        let group = self.group(class, request.account);
        let wait = self.paces.expected_wait(now, group, self.slots, ahead);
        let QueueDeadlines { wanted, latest } = request.deadlines;
        // The next request in the queue waits for one slot only, even if the learned pace says more.
        let is_next = ahead == 0;
        let limit = match class.kind {
            Kind::Internal | Kind::Starved => latest,
            Kind::New if is_next => latest,
            Kind::New => wanted,
        };
        if now + wait > limit {
            return Err(Cause::Late);
        }
        Ok(())
    }

    fn insert(&mut self, now: Instant, request: &Request, handle: T) -> Key {
        let class = request.class;
        let ahead = self.count_ahead(request);
        let latest = request.deadlines.latest;
        self.arrivals += 1;
        let key = Key {
            class,
            account: request.account,
            place: (latest, self.arrivals),
        };
        let waiting = Waiting {
            key,
            since: now,
            latest,
            weight: request.weight,
            group: self.group(class, request.account),
            ahead,
            handle,
        };
        let lane = self.lanes.entry(class).or_default();
        lane.push(request.account, request.weight, key.place, waiting);
        self.waiting += 1;
        key
    }

    /// Removes the least urgent new work that has no room any more, or that others have overtaken so that
    /// it cannot get a slot in time.
    fn displace(&mut self, now: Instant) -> Vec<T> {
        let mut displaced = Vec::new();
        while let Some((class, lane)) = self.last_lane() {
            let Some(last) = lane.last().filter(|_| class.kind != Kind::Internal) else {
                break;
            };
            let ahead = self.waiting - 1;
            let group = last.group;
            let wait = self.paces.expected_wait(now, group, self.slots, ahead);
            let is_late = ahead > 0 && now + wait > last.latest;
            if self.waiting <= self.waiting_limit() && !is_late {
                break;
            }
            let lane = self.lanes.get_mut(&class);
            let Some(last) = lane.and_then(Lane::pop_last) else {
                break;
            };
            self.waiting -= 1;
            self.paces
                .record_displaced(now, last.group, self.slots, last.ahead);
            self.record_end(now, class, last.key.account, last.weight, false);
            displaced.push(last.handle);
        }
        displaced
    }

    /// Takes requests from the head of the queue while they have expired or there is a free slot.
    fn dequeue(&mut self, now: Instant) -> Vec<Released<T>> {
        let mut released = Vec::new();
        while self.running < self.slots {
            let lanes = self.lanes.values_mut();
            let Some(lane) = lanes.into_iter().find(|lane| !lane.is_empty()) else {
                break;
            };
            let expired = lane.first().filter(|first| first.latest <= now);
            if let Some(key) = expired.map(|first| first.key) {
                released.extend(self.withdraw(key).map(Released::Expired));
                continue;
            }
            let Some(first) = lane.pop_first() else {
                break;
            };
            self.waiting -= 1;
            self.running += 1;
            let waited = now.saturating_duration_since(first.since);
            let Key { class, account, .. } = first.key;
            self.paces
                .record_wait(now, first.group, self.slots, first.ahead, waited);
            self.record_end(now, class, account, first.weight, true);
            released.push(Released::Admitted(first.handle));
        }
        released
    }

    /// Records whether a request got a slot.
    fn record_end(
        &mut self,
        now: Instant,
        class: Class,
        account: u64,
        weight: f64,
        is_served: bool,
    ) {
        if class.kind != Kind::Internal {
            self.shares.record(now, account, weight, is_served);
        }
    }

    fn waiting_limit(&self) -> usize {
        MIN_WAITING_LIMIT.max(self.slots * MAX_WAITING_PER_SLOT)
    }

    fn internal_waiting(&self) -> usize {
        let lanes = self.lanes.iter();
        let internal = lanes.take_while(|(class, _)| class.kind == Kind::Internal);
        internal.map(|(_, lane)| lane.len()).sum()
    }

    /// The least urgent class with waiting requests.
    fn last_lane(&self) -> Option<(Class, &Lane<Waiting<T>>)> {
        let mut lanes = self.lanes.iter().rev();
        let (class, lane) = lanes.find(|(_, lane)| !lane.is_empty())?;
        Some((*class, lane))
    }

    /// The requests with which one of this class and account shares its pace.
    fn group(&self, class: Class, account: u64) -> Group {
        let lane = self.lanes.get(&class);
        if lane.is_some_and(|lane| lane.is_ahead(account)) {
            Group::Account(class, account)
        } else {
            Group::Class(class)
        }
    }

    /// The number of waiting requests that go before one that arrives now.
    fn count_ahead(&self, request: &Request) -> usize {
        let class = request.class;
        let more_urgent = self.lanes.range(..class).map(|(_, lane)| lane.len());
        let place = (request.deadlines.latest, u64::MAX);
        let lane = self.lanes.get(&class);
        let in_lane = lane.map_or(0, |lane| {
            lane.count_ahead(request.account, request.weight, place)
        });
        more_urgent.sum::<usize>() + in_lane
    }
}

impl<T> Arrival<T> {
    fn new(class: Class, decision: Decision<T>) -> Self {
        Self {
            class,
            decision,
            displaced: Vec::new(),
        }
    }
}

impl Cause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Late => "late",
            Self::Displaced => "displaced",
        }
    }
}
