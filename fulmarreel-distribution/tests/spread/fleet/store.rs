//! The simulated store: a log of writes, and the ways in which it fails.

use fulmarreel_distribution::mirror::{Change, Item};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Up,
    /// Connections are refused.
    Down,
    /// Calls are accepted and never answered.
    Silent,
}

/// A watch that waits for a change.
#[derive(Debug, Clone, Copy)]
pub struct PendingWatch {
    pub node: usize,
    pub process: u32,
    pub call: u64,
    /// The revision after which the watch asks for changes.
    pub after: u64,
}

/// A call that a node made.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub at: Instant,
    pub node: usize,
    /// Whether the node had data of the store when it called.
    pub has_data: bool,
}

#[derive(Debug, Default)]
pub struct Store {
    pub condition: Condition,
    /// Nodes whose calls all get an error.
    pub refused: BTreeSet<usize>,
    pub pending_watches: Vec<PendingWatch>,
    pub items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    /// When each revision was written.
    pub written: Vec<Instant>,
    /// All calls, in order.
    pub calls: Vec<Call>,
}

impl Store {
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    pub fn write(&mut self, key: &str, value: Vec<u8>, now: Instant) {
        let revision = self.revision() + 1;
        let item = Item { revision, value };
        self.changes.push(Change {
            key: key.to_owned(),
            revision,
            value: Some(item.value.clone()),
        });
        self.items.insert(key.to_owned(), item);
        self.written.push(now);
    }

    /// The writes after a revision.
    pub fn changes_after(&self, revision: u64) -> Vec<Change> {
        self.changes[revision as usize..].to_vec()
    }

    /// The highest revision that was written at or before a time.
    pub fn revision_at(&self, time: Instant) -> u64 {
        self.written.partition_point(|written| *written <= time) as u64
    }
}
