//! The store: a log of writes, and the ways in which it fails.

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

/// A watch that waits.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    pub node: usize,
    pub process: u32,
    pub call: u64,
    pub after: u64,
}

/// A call that a node made.
#[derive(Debug, Clone, Copy)]
pub struct Called {
    pub at: Instant,
    pub node: usize,
    /// Whether the node knew anything of the store when it called.
    pub informed: bool,
}

#[derive(Debug, Default)]
pub struct Store {
    pub condition: Condition,
    /// Nodes that get an error to each call.
    pub refused: BTreeSet<usize>,
    pub waiting: Vec<Waiting>,
    pub items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    /// When each revision was written.
    pub written: Vec<Instant>,
    /// The calls, in order.
    pub calls: Vec<Called>,
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

    /// The last write of each key after a revision.
    pub fn changes_after(&self, revision: u64) -> Vec<Change> {
        self.changes[revision as usize..].to_vec()
    }

    /// The highest revision that was written at or before a time.
    pub fn revision_at(&self, time: Instant) -> u64 {
        self.written.partition_point(|written| *written <= time) as u64
    }
}
