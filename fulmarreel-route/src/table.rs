//! The routes of one configuration, indexed by host.

use crate::{Accounts, Limits, Route, WeightedSplit};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// The routes of one version of the configuration.
#[derive(Debug, Default)]
pub struct Table {
    /// The store revision at which the configuration was written.
    pub revision: u64,
    /// The version number that operators gave the configuration.
    pub version: u64,
    /// Limits of callers' connections.
    pub limits: Limits,
    /// Paths of the targets' health checks, by service.
    pub health_paths: HashMap<String, String>,
    /// The most requests per second that a cold target of a service may get, by service.
    pub cold_limits_per_s: HashMap<String, f64>,
    /// How long a target of a service is cold after its start, by service.
    pub cold_times: HashMap<String, Duration>,
    /// The client accounts; without any, requests need no API key.
    pub accounts: Accounts,
    /// Whether any route has large bodies.
    has_bulk_routes: bool,
    /// Routes by host in lower case, those with the longest prefix first.
    entries_by_host: HashMap<String, Vec<Arc<Entry>>>,
}

/// A route and the state of its split.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: Route,
    /// Distributes the route's requests over its services.
    pub split: WeightedSplit,
}

impl Table {
    /// Creates a table of these routes, without accounts and settings of services.
    pub fn new(revision: u64, version: u64, limits: Limits, routes: Vec<Route>) -> Self {
        let mut entries_by_host: HashMap<String, Vec<Arc<Entry>>> = HashMap::new();
        let has_bulk_routes = routes.iter().any(|route| route.is_bulk);
        for route in routes {
            let split = WeightedSplit::new(&route.services);
            let entries = entries_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default();
            entries.push(Arc::new(Entry { route, split }));
        }
        for entries in entries_by_host.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self {
            revision,
            version,
            limits,
            health_paths: HashMap::new(),
            cold_limits_per_s: HashMap::new(),
            cold_times: HashMap::new(),
            accounts: Accounts::default(),
            has_bulk_routes,
            entries_by_host,
        }
    }

    /// Returns the route of the host with the longest prefix of the path. The host may have a port
    /// and the path a query.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Entry>> {
        let entries = match self.entries_by_host.get(host) {
            Some(entries) => entries,
            None => {
                let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
                self.entries_by_host
                    .get(&without_port.to_ascii_lowercase())?
            }
        };
        let path = path.split('?').next().unwrap_or(path);
        entries
            .iter()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }

    /// Whether any route has large bodies.
    pub fn has_bulk_routes(&self) -> bool {
        self.has_bulk_routes
    }

    /// Whether any route or account names the regions that may serve its requests.
    pub fn has_allowed_regions(&self) -> bool {
        let mut accounts = self.accounts.iter();
        self.routes().any(|route| !route.allowed_regions.is_empty())
            || accounts.any(|account| !account.allowed_regions.is_empty())
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.entries_by_host
            .values()
            .flatten()
            .map(|entry| &entry.route)
    }
}
