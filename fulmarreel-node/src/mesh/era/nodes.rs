//! Entries of nodes that an earlier era of the store had.
//!
//! A node writes its entry again once it notices the new era. Until then the store has none, or one
//! that is some seconds old and may name a target that has left since.

use super::number;
use crate::mesh::keys::{self, Departure, Node};
use fulmarreel_distribution::{Mirror, mirror::Item};
use fulmarreel_membership::announcement::Run;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How long the entry of a node that does not write it again stays in force.
const MAX_HOLD: Duration = Duration::from_secs(3);

/// What an earlier era had of nodes, by the names of their instances.
#[derive(Debug)]
pub struct FormerNodes {
    /// The entries that the new era lacks or has otherwise.
    held: BTreeMap<String, HeldEntry>,
    /// The runs of targets that have left.
    departed: BTreeMap<String, Vec<Run>>,
    /// Until when the entries are in force.
    pub held_until: Instant,
}

/// An entry of an earlier era.
#[derive(Debug, Clone)]
struct HeldEntry {
    node: Node,
    /// The revision of the entry in the new era's copy, if that has one. Another one is a new write.
    copied: Option<u64>,
}

/// The items of nodes in a mirror that is about to enter a new era.
#[derive(Debug)]
pub struct FormerItems {
    entries: Vec<(String, Item)>,
    departures: Vec<(String, Item)>,
}

impl FormerItems {
    /// Copies the items of nodes from a mirror.
    pub fn new(mirror: &Mirror) -> Self {
        let copy = |prefix| {
            let items = mirror.items_under_prefix(prefix);
            items
                .map(|(name, item)| (name.to_owned(), item.clone()))
                .collect()
        };
        Self {
            entries: copy(keys::NODES),
            departures: copy(keys::DEPARTURES),
        }
    }
}

impl FormerNodes {
    /// Compares the items of an earlier era with a mirror that has just entered a new one. `last` is what
    /// was kept of the era before.
    pub fn new(items: FormerItems, last: Option<&Self>, mirror: &Mirror, now: Instant) -> Self {
        let mut departed = last.map_or_else(BTreeMap::new, |last| last.departed.clone());
        for (name, item) in items.departures {
            let departures: Vec<Departure> =
                serde_json::from_slice(&item.value).unwrap_or_default();
            add_departures(&mut departed, &name, &departures);
        }
        let mut held = BTreeMap::new();
        for (name, item) in items.entries {
            let Ok(node) = Node::decode(&item.value) else {
                continue;
            };
            if let Some(departures) = &node.departures {
                add_departures(&mut departed, &name, departures);
            }
            let present = mirror.get(&format!("{}{name}", keys::NODES));
            if present.is_none_or(|present| is_older(present, &item)) {
                let copied = present.map(|present| present.revision);
                held.insert(name, HeldEntry { node, copied });
            }
        }
        if let Some(last) = last.filter(|last| now < last.held_until) {
            for (name, entry) in &last.held {
                held.entry(name.clone()).or_insert_with(|| entry.clone());
            }
        }
        Self {
            held,
            departed,
            held_until: now + MAX_HOLD,
        }
    }

    /// The entries that are still in force: their nodes have not written again.
    pub fn in_force(&self, mirror: &Mirror, now: Instant) -> BTreeMap<&str, &Node> {
        let held = self.held.iter().filter(|_| now < self.held_until);
        held.filter(|(name, entry)| {
            let present = mirror.get(&format!("{}{name}", keys::NODES));
            present.map(|present| present.revision) == entry.copied
        })
        .map(|(name, entry)| (name.as_str(), &entry.node))
        .collect()
    }

    /// Takes a target that had left in an earlier era off its node's entry.
    pub fn remove_departed(&self, name: &str, node: &mut Node) {
        let Some(runs) = self.departed.get(name) else {
            return;
        };
        let run = node.target.as_ref().and_then(keys::Target::run);
        if run.is_some_and(|run| runs.contains(&run)) {
            node.target = None;
        }
    }
}

/// Whether an item of the new era is older than one of an earlier era. A node that lagged behind may know
/// an earlier write than the copy has.
fn is_older(present: &Item, known: &Item) -> bool {
    present.value != known.value && number(present.revision) < number(known.revision)
}

fn add_departures(departed: &mut BTreeMap<String, Vec<Run>>, name: &str, departures: &[Departure]) {
    if departures.is_empty() {
        return;
    }
    let runs = departed.entry(name.to_owned()).or_default();
    for run in departures.iter().map(Departure::run) {
        if !runs.contains(&run) {
            runs.push(run);
        }
    }
}
