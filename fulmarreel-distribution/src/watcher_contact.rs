//! Time since a region's watcher was in contact with the store, as far as a node knows.

use std::time::{Duration, Instant};

/// The latest known contact of a region's watcher with the store.
#[derive(Debug, Default)]
pub struct WatcherContact {
    contact: Option<Instant>,
}

impl WatcherContact {
    /// Records that this node, a watcher of its region, is in contact now.
    pub fn record_own_contact(&mut self, now: Instant) {
        self.contact = Some(now);
    }

    /// Records a peer's statement of how long ago a watcher was in contact.
    pub fn record_remote_contact(&mut self, age: Duration, now: Instant) {
        self.contact = self.contact.max(now.checked_sub(age));
    }

    /// Time since the latest known contact; none if none is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let contact = self.contact?;
        Some(now.saturating_duration_since(contact))
    }
}
