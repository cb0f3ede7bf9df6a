//! Seeded random schedules: the store's changes reach nodes with losses, duplicates and reordering.

use super::log::{compare, entry};
use fastrand::Rng;
use fulmarreel_distribution::{
    Catalog, Entry, VersionedEntries,
    catalog::{OfferResult, Targets},
};
use rstest::rstest;
use std::collections::BTreeMap;

const SERVICES: [&str; 3] = ["parcelas", "reservas", "agronomia"];

struct Node {
    entries: VersionedEntries,
    catalog: Catalog,
    targets: Targets,
    /// The last active revision of each service.
    last_active: BTreeMap<String, u64>,
}

impl Node {
    fn new() -> Self {
        let mut targets = Targets::default();
        for service in SERVICES {
            targets.add(service, "v1");
        }
        Self {
            entries: VersionedEntries::default(),
            catalog: Catalog::default(),
            targets,
            last_active: BTreeMap::new(),
        }
    }

    fn receive(&mut self, entry: &Entry, history: &[Entry]) {
        if self.entries.offer(entry) {
            let value = entry.value.as_deref();
            let outcome = self.catalog.offer(&entry.key, entry.revision, value);
            assert!(!matches!(outcome, OfferResult::Outdated));
        }
        self.check(history);
    }

    /// Checks that active revisions only rise, and that each active document is complete.
    fn check(&mut self, history: &[Entry]) {
        self.catalog.activate_ready(&self.targets);
        for (service, revised) in self.catalog.active() {
            let before = self
                .last_active
                .insert(service.to_owned(), revised.revision);
            assert!(
                before.unwrap_or(0) <= revised.revision,
                "the active revision of {service} decreased"
            );
            let written = history
                .iter()
                .find(|entry| entry.revision == revised.revision);
            let text = written.and_then(|entry| entry.value.as_deref()).unwrap();
            let document = fulmarreel_document::parse(std::str::from_utf8(text).unwrap()).unwrap();
            assert_eq!(*revised.document, document);
        }
    }
}

fn value(service: &str, revision: u64, rng: &mut Rng) -> Option<String> {
    match rng.u32(..10) {
        0 => None,
        1 => Some("{ malformed".to_owned()),
        2 => Some(format!(
            r#"{{ "service": "{service}", "version": "v9", "routes": [{{ "path": "/" }}] }}"#
        )),
        _ => Some(format!(
            r#"{{ "service": "{service}", "version": "v1", "routes": [{{ "path": "/r{revision}" }}] }}"#
        )),
    }
}

/// Fails if `VersionedEntries::offer` does not compare revisions, or refuses deletions.
#[rstest]
fn no_node_falls_back_and_all_agree(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let mut nodes: Vec<Node> = (0..5).map(|_| Node::new()).collect();
    let mut history: Vec<Entry> = Vec::new();
    let mut under_way: Vec<(usize, Entry)> = Vec::new();
    for revision in 1..200u64 {
        let service = *rng.choice(&SERVICES).unwrap();
        let value = value(service, revision, &mut rng);
        history.push(entry(service, revision, value.as_deref()));
        for index in 0..nodes.len() {
            // Each entry is lost or arrives once or twice, with equal probability.
            for _ in 0..rng.usize(..3) {
                under_way.push((index, history[history.len() - 1].clone()));
            }
        }
        rng.shuffle(&mut under_way);
        let delayed = under_way.len().saturating_sub(rng.usize(..12));
        for (index, entry) in under_way.split_off(delayed) {
            nodes[index].receive(&entry, &history);
        }
        if rng.u32(..10) == 0 {
            // A restart: the process knows nothing and learns from a peer.
            let index = rng.usize(..nodes.len());
            nodes[index] = Node::new();
        }
        compare_random_pair(&mut nodes, &history, &mut rng);
    }
    // The last deletion reaches only one node.
    history.push(entry(SERVICES[0], 200, None));
    nodes[0].receive(&history[history.len() - 1], &history);
    for _ in 0..60 {
        compare_random_pair(&mut nodes, &history, &mut rng);
    }
    let hashes: Vec<u64> = nodes.iter().map(|node| node.entries.hash()).collect();
    assert!(hashes.iter().all(|hash| *hash == hashes[0]), "{hashes:?}");
    let has_deleted = |node: &Node| node.catalog.active().any(|(name, _)| name == SERVICES[0]);
    assert!(
        !nodes.iter().any(has_deleted),
        "the last deletion did not spread"
    );
}

/// Two random nodes compare their copies.
fn compare_random_pair(nodes: &mut [Node], history: &[Entry], rng: &mut Rng) {
    let (one, other) = (rng.usize(..nodes.len()), rng.usize(..nodes.len()));
    if one == other {
        return;
    }
    let mut copies = [one, other].map(|index| std::mem::take(&mut nodes[index].entries));
    let (left, right) = copies.split_at_mut(1);
    compare(&mut left[0], &mut right[0]);
    for (index, copy) in [one, other].into_iter().zip(copies) {
        let entries: Vec<Entry> = copy.entries().cloned().collect();
        nodes[index].entries = copy;
        for entry in &entries {
            let value = entry.value.as_deref();
            nodes[index]
                .catalog
                .offer(&entry.key, entry.revision, value);
        }
        nodes[index].check(history);
    }
}
