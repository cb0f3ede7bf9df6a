//! The routes of one configuration.

use crate::{Limits, Route, Split};
use std::{collections::HashMap, sync::Arc};

/// The routes of one configuration.
#[derive(Debug, Default)]
pub struct Table {
    /// The store's revision of the configuration.
    pub revision: u64,
    /// The operators' version of it.
    pub version: u64,
    /// What callers may ask for.
    pub limits: Limits,
    /// Where the targets of a service answer questions about their health, by service.
    pub health_paths: HashMap<String, String>,
    hosts: HashMap<String, Vec<Arc<Entry>>>,
}

/// A route with the state of its split.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: Route,
    /// Deals its requests out.
    pub split: Split,
}

impl Table {
    /// A table of these routes.
    pub fn new(revision: u64, version: u64, limits: Limits, routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Entry>>> = HashMap::new();
        for route in routes {
            let split = Split::new(&route.parts);
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Arc::new(Entry { route, split }));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self {
            revision,
            version,
            limits,
            health_paths: HashMap::new(),
            hosts,
        }
    }

    /// The route of a request: of its host's routes the one with the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Entry>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => {
                let bare = host.rsplit_once(':').map_or(host, |(name, _)| name);
                self.hosts.get(&bare.to_ascii_lowercase())?
            }
        };
        let path = path.split('?').next().unwrap_or(path);
        routes
            .iter()
            .find(|entry| path.starts_with(&entry.route.prefix))
    }

    /// Every route, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten().map(|entry| &entry.route)
    }
}
