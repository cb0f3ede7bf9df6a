//! What the store's items mean for requests; rebuilt whole and swapped in at once.

use super::keys::{self, Node};
use fulmarreel_balance::choice::Tier;
use fulmarreel_distribution::{Mirror, mirror::Item};
use fulmarreel_platform::{
    config,
    order::{self, State},
};
use fulmarreel_route::Table;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// A target, by the word of the node in front of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Where its node is reached.
    pub address: SocketAddr,
    /// Names its start.
    pub id: String,
    /// The version that it runs.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: u16,
    /// How far it is from this node.
    pub tier: Tier,
}

/// An order to move a service, and what has come of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The revision of the order.
    pub order: u64,
    /// The version that takes over.
    pub version: String,
    /// The time from the order until it is to be complete.
    pub limit: Duration,
    /// What has come of it, as far as it was written.
    pub state: Option<State>,
}

/// Where a node is.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// Its availability zone.
    pub zone: &'a str,
    /// Its region.
    pub region: &'a str,
}

/// What requests are routed by.
#[derive(Debug, Default)]
pub struct View {
    /// The active configuration; none where nothing was read.
    pub table: Option<Arc<Table>>,
    /// Targets by service.
    pub targets: HashMap<String, Vec<Arc<Target>>>,
    /// Moves by service.
    pub moves: HashMap<String, Move>,
    /// Every node's address, with whether it is in the own region.
    pub nodes: Vec<(SocketAddr, bool)>,
}

impl View {
    /// The view of a mirror from one place; the last view's table is kept where it is the same.
    pub fn of(mirror: &Mirror, place: Place<'_>, last: &Self) -> Self {
        let mut view = Self {
            table: table(mirror, last),
            ..Self::default()
        };
        for (instance, item) in mirror.below(keys::NODES) {
            match serde_json::from_slice::<Node>(&item.value) {
                Ok(node) => view.add(node, place),
                Err(error) => log::warn!(instance, revision = item.revision; "node: {error}"),
            }
        }
        for (service, item) in mirror.below(order::ORDERS) {
            match order::decode(&item.value) {
                Ok(order) => {
                    let state = outcome(mirror, service, item, &order.version);
                    let ordered = Move {
                        order: item.revision,
                        version: order.version,
                        limit: order.limit,
                        state,
                    };
                    view.moves.insert(service.to_owned(), ordered);
                }
                Err(error) => log::warn!(service, revision = item.revision; "order: {error}"),
            }
        }
        view
    }

    /// The targets of a service.
    pub fn targets(&self, service: &str) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether a target of a service runs a version.
    pub fn runs(&self, service: &str, version: &str) -> bool {
        let mut targets = self.targets(service).iter();
        targets.any(|target| target.version == version)
    }

    fn add(&mut self, node: Node, place: Place<'_>) {
        let near = node.region == place.region;
        self.nodes.push((node.address, near));
        let Some(target) = node.target else {
            return;
        };
        let tier = match near {
            true if node.zone == place.zone => Tier::Zone,
            true => Tier::Region,
            false => Tier::Remote,
        };
        let known = self.targets.entry(target.service).or_default();
        known.push(Arc::new(Target {
            address: node.address,
            id: target.id,
            version: target.version,
            slots: target.slots,
            tier,
        }));
    }
}

/// The configuration that the mirror holds; one that cannot be read leaves the last active.
fn table(mirror: &Mirror, last: &View) -> Option<Arc<Table>> {
    let item = mirror.get(config::KEY);
    let Some(item) = item else {
        return last.table.clone();
    };
    if let Some(known) = &last.table
        && known.revision >= item.revision
    {
        return last.table.clone();
    }
    let began = Instant::now();
    match config::decode(item.revision, &item.value) {
        Ok(table) => {
            log::info!(
                revision = item.revision,
                version = table.version,
                bytes = item.value.len(),
                decode_us = began.elapsed().as_micros() as u64;
                "active configuration"
            );
            Some(Arc::new(table))
        }
        Err(error) => {
            log::error!(revision = item.revision; "configuration skipped: {error}");
            last.table.clone()
        }
    }
}

/// What was written of a move; what was written of an earlier order says nothing of it.
fn outcome(mirror: &Mirror, service: &str, ordered: &Item, version: &str) -> Option<State> {
    let item = mirror.get(&format!("{}{service}", order::OUTCOMES))?;
    if item.revision < ordered.revision {
        return None;
    }
    match order::decode_outcome(&item.value) {
        Ok(outcome) => (outcome.version == version).then_some(outcome.state),
        Err(error) => {
            log::warn!(service, revision = item.revision; "outcome: {error}");
            None
        }
    }
}
