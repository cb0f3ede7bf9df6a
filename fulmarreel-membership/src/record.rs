//! What one node says of itself.

use std::net::SocketAddr;

/// Orders the records of one node: a later process first, then a later record of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// When the process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Raised with each change.
    pub sequence: u32,
}

/// What one node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Where the node accepts peers; names the node.
    pub address: SocketAddr,
    /// Orders this node's records.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// The target in its instance.
    pub target: Option<Target>,
    /// Whether the node watches the store for its region.
    pub watcher: bool,
}

/// What a target announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Service that it belongs to.
    pub service: String,
    /// Version that it runs.
    pub version: String,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Whether it takes no new calls.
    pub leaving: bool,
}
