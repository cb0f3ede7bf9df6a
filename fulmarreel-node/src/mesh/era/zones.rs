//! Evacuations of zones that an earlier era of the store had.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// How long an evacuation that the new era lacks stays in force, unless the operator writes it again. Without
/// a limit it could never end, as an order cannot be removed from a store that lacks it.
const MAX_HOLD: Duration = Duration::from_secs(10);

/// Evacuations that the store lacks, and until when they are in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldZones {
    until: BTreeMap<String, Instant>,
}

impl HeldZones {
    /// Adds the zones that were evacuated in an era of the store that has just ended.
    pub fn hold(&mut self, zones: &BTreeSet<String>, now: Instant) {
        for zone in zones {
            let until = self.until.entry(zone.clone());
            until.or_insert(now + MAX_HOLD);
        }
    }

    /// Drops the zones that the store has evacuated itself, and those whose time is over.
    pub fn release(&mut self, ordered: &BTreeSet<String>, now: Instant) {
        self.until
            .retain(|zone, until| now < *until && !ordered.contains(zone));
    }

    /// The zones that are held.
    pub fn zones(&self) -> impl Iterator<Item = &String> {
        self.until.keys()
    }

    /// When the first of them is to be released.
    pub fn next_release(&self) -> Option<Instant> {
        self.until.values().min().copied()
    }
}
