//! One node of a fleet and its settings.

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

/// One node of a fleet.
#[derive(Debug)]
pub struct Node {
    /// The process, while it runs.
    pub process: Option<Process>,
    /// Its zone.
    pub zone: Zone,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Its admin address.
    pub admin: SocketAddr,
}

impl Node {
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

/// What a node's settings file says.
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
            // Nothing listens there: these nodes' targets are announced and never called.
            "target": node.callers.to_string(),
            "store": [self.store.to_string()],
            "seeds": seeds,
        });
        text.to_string()
    }
}
