//! A fleet of many nodes as processes, whose targets are announced but do not exist.

mod announce;
pub mod history;
mod http;
mod node;
mod store;

pub use http::request;
pub use node::{Node, Zone};

use super::{Process, free_address, mesh::await_listener};
use announce::Announcer;
use node::Settings;
use serde_json::Value;
use std::{net::SocketAddr, path::PathBuf};

/// Number of nodes that the settings of every node name as seeds.
const SEEDS: usize = 3;

/// Many nodes, and a store.
#[derive(Debug)]
pub struct Fleet {
    /// The process of the store; `None` once it was killed.
    pub store: Option<Process>,
    /// The store's address.
    pub store_address: SocketAddr,
    /// The nodes.
    pub nodes: Vec<Node>,
    announcer: Announcer,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a store and `count` nodes, spread evenly over the zones, without targets.
    ///
    /// # Errors
    ///
    /// A process cannot be started.
    pub fn start(zones: &[Zone], count: usize) -> anyhow::Result<Self> {
        let mut fleet = Self::prepare(zones, count)?;
        for index in 0..count {
            fleet.start_node(index)?;
        }
        Ok(fleet)
    }

    /// Starts a store, and writes the settings of `count` nodes without starting them.
    ///
    /// # Errors
    ///
    /// The store cannot be started.
    pub fn prepare(zones: &[Zone], count: usize) -> anyhow::Result<Self> {
        let store_address = free_address()?;
        let mut store = Process::start("store", &["--listen", &store_address.to_string()])?;
        await_listener(store_address, &mut store)?;
        let name = format!(
            "fulmarreel-fleet-{}-{}",
            std::process::id(),
            store_address.port()
        );
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut nodes = Vec::new();
        for index in 0..count {
            nodes.push(Node::reserve(zones[index % zones.len()])?);
        }
        let fleet = Self {
            store: Some(store),
            store_address,
            nodes,
            announcer: Announcer::start(),
            folder,
        };
        fleet.write_settings()?;
        Ok(fleet)
    }

    fn write_settings(&self) -> anyhow::Result<()> {
        let seeds: Vec<SocketAddr> = self
            .nodes
            .iter()
            .take(SEEDS)
            .map(|node| node.peers)
            .collect();
        for node in &self.nodes {
            let settings = Settings {
                node,
                store: self.store_address,
                seeds: &seeds,
            };
            std::fs::write(self.settings_path(node), settings.text())?;
        }
        Ok(())
    }

    fn settings_path(&self, node: &Node) -> PathBuf {
        self.folder
            .join(format!("node-{}.jsonc", node.peers.port()))
    }

    /// Starts a node, or starts it again.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start_node(&mut self, index: usize) -> anyhow::Result<()> {
        let path = self.settings_path(&self.nodes[index]);
        let path = path.display().to_string();
        let process = Process::start("fulmarreel-node", &["--settings", &path])?;
        self.nodes[index].process = Some(process);
        Ok(())
    }

    /// Kills a node's process; it cannot announce that it leaves.
    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index].process = None;
    }

    /// Announces a target to a node from now on, also across restarts of the node.
    pub fn announce(&self, index: usize, service: &str, version: &str) {
        self.announcer
            .add(self.nodes[index].admin, service, version);
    }

    /// Stops the announcements to a node.
    pub fn stop_announcing(&self, index: usize) {
        self.announcer.remove(self.nodes[index].admin);
    }

    /// Reads a node's `/view`.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn view(&self, index: usize) -> anyhow::Result<Value> {
        http::json(self.nodes[index].admin, "/view").await
    }

    /// Reads a node's metrics in text form.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn metrics(&self, index: usize) -> anyhow::Result<String> {
        let (_, body) = http::request(self.nodes[index].admin, "/metrics", None).await?;
        Ok(String::from_utf8(body)?)
    }

    /// Reads the store's counts of calls, by kind.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn store_counts(&self) -> anyhow::Result<store::Counts> {
        store::counts(self.store_address).await
    }

    /// Replaces the faults of the store.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn set_faults(&self, faults: &Value) -> anyhow::Result<()> {
        let body = Some(faults.to_string());
        http::request(self.store_address, "/faults", body).await?;
        Ok(())
    }

    /// Writes a key; returns its revision.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn put(&self, key: &str, value: &str) -> anyhow::Result<u64> {
        store::put(self.store_address, key, value).await
    }

    /// Deletes a key; returns the revision of the deletion.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn delete(&self, key: &str) -> anyhow::Result<u64> {
        store::delete(self.store_address, key).await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
