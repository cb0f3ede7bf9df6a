//! The pace at which requests get slots.

use super::class::Class;
use crate::decay::remaining;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// The weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The time in which a learned pace decays half of the way to the one that follows from the slots. A
/// group whose requests are all refused brings no samples that could show a faster pace.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// A request that is displaced counts as one that waited longer than expected by this factor.
const DISPLACED_FACTOR: f64 = 2.0;

/// The paces of more groups than this are forgotten.
const MAX_GROUPS: usize = 4_096;

/// The requests that share a pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Group {
    /// Those of accounts that got no more than their share.
    Class(Class),
    /// Those of one account that got more than its share, so that others overtake it.
    Account(Class, u64),
}

/// How fast slots become free, and how fast requests of each group get them. Requests of more
/// urgent classes, and of accounts that got less, overtake those that wait, so the latter is slower.
#[derive(Debug, Default)]
pub(super) struct Paces {
    mean_hold_s: Option<f64>,
    by_group: HashMap<Group, Pace>,
}

/// The time for which requests wait, for each request ahead of them and themselves.
#[derive(Debug, Clone, Copy)]
struct Pace {
    seconds: f64,
    at: Instant,
}

impl Paces {
    /// Records how long a request held a slot.
    pub fn record_hold(&mut self, held: Duration) {
        let held_s = held.as_secs_f64();
        let mean = self.mean_hold_s.get_or_insert(held_s);
        *mean += (held_s - *mean) * SAMPLE_WEIGHT;
    }

    /// Records that a request waited for a slot, with `ahead` requests before it when it arrived.
    pub fn record_wait(
        &mut self,
        now: Instant,
        group: Group,
        slots: usize,
        ahead: usize,
        waited: Duration,
    ) {
        let sample_s = waited.as_secs_f64() / (ahead + 1) as f64;
        let expected_s = self.seconds(now, group, slots);
        if self.by_group.len() >= MAX_GROUPS {
            self.by_group.clear();
        }
        let seconds = expected_s + (sample_s - expected_s) * SAMPLE_WEIGHT;
        self.by_group.insert(group, Pace { seconds, at: now });
    }

    /// Records that a request left the queue without a slot, since others overtook it.
    pub fn record_displaced(&mut self, now: Instant, group: Group, slots: usize, ahead: usize) {
        let expected = self.expected_wait(now, group, slots, ahead);
        self.record_wait(now, group, slots, ahead, expected.mul_f64(DISPLACED_FACTOR));
    }

    /// Mean time that a request holds a slot; zero if none has.
    pub fn mean_hold_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_hold_s.unwrap_or_default())
    }

    /// The mean time between two slots that become free while all are taken.
    pub fn interval(&self, slots: usize) -> Duration {
        Duration::from_secs_f64(self.interval_s(slots))
    }

    /// How long a request is expected to wait behind `ahead` others.
    pub fn expected_wait(
        &self,
        now: Instant,
        group: Group,
        slots: usize,
        ahead: usize,
    ) -> Duration {
        Duration::from_secs_f64(self.seconds(now, group, slots) * (ahead + 1) as f64)
    }

    fn seconds(&self, now: Instant, group: Group, slots: usize) -> f64 {
        let default_s = match group {
            Group::Class(_) => self.interval_s(slots),
            Group::Account(class, _) => self.seconds(now, Group::Class(class), slots),
        };
        self.by_group.get(&group).map_or(default_s, |pace| {
            default_s + (pace.seconds - default_s) * remaining(pace.at, now, HALF_LIFE)
        })
    }

    fn interval_s(&self, slots: usize) -> f64 {
        self.mean_hold_s.unwrap_or_default() / slots.max(1) as f64
    }
}
