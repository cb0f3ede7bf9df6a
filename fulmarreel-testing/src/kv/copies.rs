//! Copies of the fake store's contents, from one of which it can start again.

use super::data::Data;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// How long a copy is kept after a later one was made.
const COPY_LIFETIME: Duration = Duration::from_secs(20);

/// The era of a store, and the earlier states of its contents.
#[derive(Debug)]
pub(super) struct Copies {
    /// The number that the store puts into the header of its responses.
    pub era: u64,
    /// The contents from each time on, earliest first.
    copies: VecDeque<(Instant, Data)>,
}

impl Copies {
    /// The copies of a store with these contents.
    pub fn new(era: u64, data: &Data, now: Instant) -> Self {
        let copies = [(now, data.clone())].into();
        Self { era, copies }
    }

    /// Adds a copy, if the contents have changed since the last one.
    pub fn add(&mut self, data: &Data, now: Instant) {
        let last = self.copies.back();
        if last.is_none_or(|(_, copy)| copy.differs(data)) {
            self.copies.push_back((now, data.clone()));
        }
        let is_old = |copy: &(Instant, Data)| copy.0 + COPY_LIFETIME < now;
        while self.copies.get(1).is_some_and(is_old) {
            self.copies.pop_front();
        }
    }

    /// The contents as of a time, or the earliest that are kept; the next era begins.
    pub fn go_back(&mut self, to: Instant, now: Instant) -> Data {
        while self.copies.len() > 1 && self.copies.back().is_some_and(|copy| copy.0 > to) {
            self.copies.pop_back();
        }
        self.era += 1;
        let copy = self.copies.back().map(|copy| copy.1.clone());
        let mut data = copy.unwrap_or_default();
        data.restart_leases(now);
        data
    }
}
