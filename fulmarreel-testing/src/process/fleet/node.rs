//! A node of a fleet and its settings.

use crate::process::{Process, free_address};
use std::net::SocketAddr;

/// An availability zone and its region.
#[derive(Debug, Clone, Copy)]
pub struct Zone {
    /// The region.
    pub region: &'static str,
    /// The zone.
    pub zone: &'static str,
}

/// A node of a fleet.
#[derive(Debug)]
pub struct Node {
    /// The process, while it runs.
    pub process: Option<Process>,
    /// Its availability zone.
    pub zone: Zone,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// The admin address.
    pub admin: SocketAddr,
}

impl Node {
    /// Chooses free addresses for a node.
    pub(super) fn reserve(zone: Zone) -> anyhow::Result<Self> {
        Ok(Self {
            process: None,
            zone,
            callers: free_address()?,
            peers: free_address()?,
            admin: free_address()?,
        })
    }
}

/// The content of a node's settings file.
pub(super) struct Settings<'a> {
    pub node: &'a Node,
    pub store: SocketAddr,
    pub seeds: &'a [SocketAddr],
}

impl Settings<'_> {
    pub(super) fn text(&self) -> String {
        let node = self.node;
        let seeds = self.seeds.iter().filter(|seed| **seed != node.peers);
        let seeds: Vec<String> = seeds.map(ToString::to_string).collect();
        let text = serde_json::json!({
            "zone": node.zone.zone,
            "region": node.zone.region,
            "callers": { "bind": node.callers.to_string() },
            "peers": { "bind": node.peers.to_string() },
            "admin": { "bind": node.admin.to_string() },
            // Any address will do: the targets of these nodes are announced, but do not run.
            "target": node.callers.to_string(),
            "store": [self.store.to_string()],
            "seeds": seeds,
        });
        text.to_string()
    }
}
