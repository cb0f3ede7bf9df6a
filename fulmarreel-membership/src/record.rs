//! The record that each node publishes about itself.

use std::net::SocketAddr;

/// Orders the records of one node: by the start of its process, then by the sequence of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// When the process started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Increases with each change of the record.
    pub sequence: u32,
}

/// The record that a node publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Where the node accepts connections of peers; identifies the node.
    pub address: SocketAddr,
    /// Orders this node's records.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// The target on the node's instance, if any.
    pub target: Option<Target>,
    /// Whether the node watches the store for its region.
    pub watcher: bool,
}

/// A target as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that it belongs to.
    pub service: String,
    /// Version that it runs.
    pub version: String,
    /// Number of calls that it runs concurrently.
    pub slots: u16,
    /// Whether it is shutting down and accepts no new calls.
    pub leaving: bool,
}
