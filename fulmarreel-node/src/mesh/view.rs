//! The routing view: what requests are routed by, decoded from the mirror of the store. It is rebuilt
//! as a whole after each change and replaced atomically.

pub use super::era::rollouts::Rollout;
use super::{
    era::{self, nodes::FormerNodes, zones::HeldZones},
    keys::{self, Node},
};
use crate::telemetry::metrics;
use fulmarreel_balance::choice::Tier;
use fulmarreel_distribution::{Mirror, mirror::Item};
use fulmarreel_platform::{
    config, evacuation,
    order::{self, State},
};
use fulmarreel_route::Table;
use std::{
    collections::{BTreeSet, HashMap},
    fmt::Display,
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

/// A target, as its node's entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The address of its node.
    pub address: SocketAddr,
    /// Identifies one run of the target's process.
    pub id: String,
    /// When the run started, in milliseconds since the Unix epoch, if its node tells.
    pub started_at_ms: Option<u64>,
    /// The version that it runs.
    pub version: String,
    /// Its availability zone.
    pub zone: String,
    /// The number of requests that it runs at once.
    pub slots: u16,
    /// Its distance from this node.
    pub tier: Tier,
    /// The region of its node.
    pub region: String,
}

/// The location of a node.
#[derive(Debug, Clone, Copy)]
pub struct Location<'a> {
    /// Its availability zone.
    pub zone: &'a str,
    /// Its region.
    pub region: &'a str,
}

/// What requests are routed by.
#[derive(Debug, Default)]
pub struct View {
    /// The active configuration; `None` until one was read.
    pub table: Option<Arc<Table>>,
    /// Whether the active configuration has routes or accounts that only some regions may serve.
    pub restricts_regions: bool,
    /// Targets by service.
    pub targets: HashMap<String, Vec<Arc<Target>>>,
    /// Rollouts by service.
    pub rollouts: HashMap<String, Rollout>,
    /// Every node's address, with whether the node is in this node's region.
    pub nodes: Vec<(SocketAddr, bool)>,
    /// The availability zones whose targets get no requests.
    pub evacuated_zones: BTreeSet<String>,
    /// Whether it was decoded from a mirror; before that, no zone is known to be in service.
    is_known: bool,
    /// What an earlier era of the store had of nodes, once there was one.
    pub former_nodes: Option<Arc<FormerNodes>>,
    /// Evacuations that only an earlier era of the store had.
    held_zones: HeldZones,
    /// The store revision up to which it is complete.
    revision: u64,
    /// Until when something of an earlier era is in force that is not in the store.
    pub held_until: Option<Instant>,
    /// The revision of a configuration that is left out because its version is lower than the active
    /// one's.
    outdated_config: Option<u64>,
    /// The items that are left out because they are malformed: their revisions by key.
    malformed: HashMap<String, u64>,
}

impl View {
    /// Decodes a mirror for a node at `own`. The routing table is taken over from the last view if the
    /// configuration has not changed.
    pub fn new(
        mirror: &Mirror,
        own: Location<'_>,
        last: &Self,
        former_nodes: Option<Arc<FormerNodes>>,
    ) -> Self {
        let mut view = Self {
            is_known: true,
            former_nodes,
            revision: mirror.revision(),
            ..Self::default()
        };
        view.add_evacuated_zones(mirror, last, Instant::now());
        view.table = view.active_table(mirror, last);
        let table = view.table.as_deref();
        view.restricts_regions = table.is_some_and(Table::has_allowed_regions);
        view.add_nodes(mirror, own, last);
        view.add_rollouts(mirror, last);
        view
    }

    /// Whether the active configuration has routes with large bodies.
    pub fn has_bulk_routes(&self) -> bool {
        self.table.as_deref().is_some_and(Table::has_bulk_routes)
    }

    /// The targets of a service.
    pub fn targets(&self, service: &str) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// The path of a service's health check, if the active configuration has one.
    pub fn health_path(&self, service: &str) -> Option<String> {
        self.table.as_ref()?.health_paths.get(service).cloned()
    }

    /// Whether any target of a service runs a version.
    pub fn runs(&self, service: &str, version: &str) -> bool {
        let mut targets = self.targets(service).iter();
        targets.any(|target| target.version == version)
    }

    /// Whether the targets of a zone may get requests: the view is known, and the zone is not evacuated.
    pub fn is_in_service(&self, zone: &str) -> bool {
        self.is_known && !self.evacuated_zones.contains(zone)
    }

    fn add_evacuated_zones(&mut self, mirror: &Mirror, last: &Self, now: Instant) {
        let orders = mirror.items_under_prefix(evacuation::ORDERS);
        let mut zones: BTreeSet<String> = orders.map(|(zone, _)| zone.to_owned()).collect();
        self.held_zones = last.held_zones.clone();
        if era::of(mirror.revision()) > era::of(last.revision) {
            self.held_zones.hold(&last.evacuated_zones, now);
        }
        self.held_zones.release(&zones, now);
        zones.extend(self.held_zones.zones().cloned());
        log_evacuated_zones(&zones, &last.evacuated_zones);
        self.evacuated_zones = zones;
    }

    fn add_nodes(&mut self, mirror: &Mirror, own: Location<'_>, last: &Self) {
        let former = self.former_nodes.clone();
        let former = former.as_deref();
        let held = former.map(|former| former.in_force(mirror, Instant::now()));
        let held = held.unwrap_or_default();
        let held_until = former.filter(|_| !held.is_empty());
        let held_until = held_until.map(|former| former.held_until);
        let releases = [held_until, self.held_zones.next_release()];
        self.held_until = releases.into_iter().flatten().min();
        for (instance, item) in mirror.items_under_prefix(keys::NODES) {
            if held.contains_key(instance) {
                continue;
            }
            match Node::decode(&item.value) {
                Ok(mut node) => {
                    if let Some(former) = former {
                        former.remove_departed(instance, &mut node);
                    }
                    self.add(node, own);
                }
                Err(error) => {
                    let key = format!("{}{instance}", keys::NODES);
                    self.leave_out(key, item, &error, last);
                }
            }
        }
        for node in held.into_values() {
            self.add(node.clone(), own);
        }
    }

    fn add_rollouts(&mut self, mirror: &Mirror, last: &Self) {
        for (service, item) in mirror.items_under_prefix(order::ORDERS) {
            match order::decode(&item.value) {
                Ok(order) => {
                    let state = self.recorded_state(mirror, service, item, &order.version, last);
                    let rollout =
                        Rollout::new(item.revision, order.version, order.time_limit, state);
                    let rollout = rollout.after(last.rollouts.get(service));
                    self.rollouts.insert(service.to_owned(), rollout);
                }
                Err(error) => {
                    let key = format!("{}{service}", order::ORDERS);
                    self.leave_out(key, item, &error, last);
                }
            }
        }
        let era = era::of(mirror.revision());
        for (service, known) in &last.rollouts {
            if era::of(known.order) < era && !self.rollouts.contains_key(service) {
                let recorded = outcome(mirror, service);
                let is_recorded = recorded.is_some_and(|outcome| {
                    outcome.version == known.version && Some(outcome.state) == known.state
                });
                self.rollouts
                    .insert(service.clone(), known.lost(is_recorded));
            }
        }
    }

    fn add(&mut self, node: Node, own: Location<'_>) {
        let in_own_region = node.region == own.region;
        self.nodes.push((node.address, in_own_region));
        let Some(target) = node.target else {
            return;
        };
        let tier = match in_own_region {
            true if node.zone == own.zone => Tier::SameZone,
            true => Tier::SameRegion,
            false => Tier::OtherRegion,
        };
        let targets = self.targets.entry(target.service).or_default();
        targets.push(Arc::new(Target {
            address: node.address,
            id: target.id,
            started_at_ms: target.started_at_ms,
            version: target.version,
            zone: node.zone,
            slots: target.slots,
            tier,
            region: node.region,
        }));
    }

    /// Leaves a malformed item out; it is logged and counted once for each of its revisions.
    fn leave_out(&mut self, key: String, item: &Item, error: &dyn Display, last: &Self) {
        if last.malformed.get(&key) != Some(&item.revision) {
            log::warn!(key = key.as_str(), revision = item.revision; "store item ignored: {error}");
            metrics::malformed_item("value");
        }
        self.malformed.insert(key, item.revision);
    }

    /// The configuration in the mirror, or the last active one if the mirror has none that can be
    /// decoded.
    fn active_table(&mut self, mirror: &Mirror, last: &Self) -> Option<Arc<Table>> {
        let item = mirror.get(config::KEY);
        let Some(item) = item else {
            return last.table.clone();
        };
        if let Some(known) = &last.table
            && known.revision >= item.revision
        {
            return last.table.clone();
        }
        if last.outdated_config == Some(item.revision) {
            self.outdated_config = last.outdated_config;
            return last.table.clone();
        }
        let started = Instant::now();
        match config::decode(item.revision, &item.value) {
            Ok(table) if last.has_later_table(&table) => {
                log::warn!(
                    revision = item.revision, version = table.version;
                    "configuration ignored: its version is lower than the active one's"
                );
                self.outdated_config = Some(item.revision);
                last.table.clone()
            }
            Ok(table) => {
                log::info!(
                    revision = item.revision,
                    version = table.version,
                    bytes = item.value.len(),
                    decode_us = started.elapsed().as_micros() as u64;
                    "active configuration"
                );
                Some(Arc::new(table))
            }
            Err(error) => {
                self.leave_out(config::KEY.to_owned(), item, &error, last);
                last.table.clone()
            }
        }
    }

    /// Whether the active configuration has a higher version than another one.
    fn has_later_table(&self, other: &Table) -> bool {
        let table = self.table.as_ref();
        table.is_some_and(|table| table.version > other.version)
    }

    /// The state that was written for a rollout; `None` if the last one belongs to an earlier order.
    fn recorded_state(
        &mut self,
        mirror: &Mirror,
        service: &str,
        order_item: &Item,
        version: &str,
        last: &Self,
    ) -> Option<State> {
        let key = format!("{}{service}", order::OUTCOMES);
        let item = mirror.get(&key)?;
        if item.revision < order_item.revision {
            return None;
        }
        match order::decode_outcome(&item.value) {
            Ok(outcome) => (outcome.version == version).then_some(outcome.state),
            Err(error) => {
                self.leave_out(key, item, &error, last);
                None
            }
        }
    }
}

/// The outcome of a service's last rollout, if it can be decoded.
fn outcome(mirror: &Mirror, service: &str) -> Option<order::Outcome> {
    let item = mirror.get(&format!("{}{service}", order::OUTCOMES))?;
    order::decode_outcome(&item.value).ok()
}

/// Logs which zones were not evacuated before, or are not any more.
fn log_evacuated_zones(zones: &BTreeSet<String>, last: &BTreeSet<String>) {
    for zone in zones.difference(last) {
        log::info!(zone = zone.as_str(); "zone evacuated");
    }
    for zone in last.difference(zones) {
        log::info!(zone = zone.as_str(); "zone taken back");
    }
}
