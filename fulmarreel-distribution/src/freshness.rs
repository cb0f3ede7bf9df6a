//! How long ago a region's watcher was in contact with the store, as far as a node knows.

use std::time::{Duration, Instant};

/// The latest known contact of a region's watcher with the store.
#[derive(Debug, Default)]
pub struct Freshness {
    contact: Option<Instant>,
}

impl Freshness {
    /// Notes that this node, watching for its region, is in contact now.
    pub fn touch(&mut self, now: Instant) {
        self.contact = Some(now);
    }

    /// Takes in how long ago a peer says that a watcher was in contact.
    pub fn hear(&mut self, age: Duration, now: Instant) {
        self.contact = self.contact.max(now.checked_sub(age));
    }

    /// How long ago that was; none where it was never heard of.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let contact = self.contact?;
        Some(now.saturating_duration_since(contact))
    }
}
