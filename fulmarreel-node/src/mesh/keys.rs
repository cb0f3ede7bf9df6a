//! Keys of the nodes' own in the platform's store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the key of a node begins with; its instance follows.
pub const NODES: &str = "fulmarreel/nodes/";

/// What the key of a move's owner begins with; the service follows.
pub const OWNERS: &str = "fulmarreel/owners/";

/// What the key of a move's start begins with; the service follows.
pub const STARTS: &str = "fulmarreel/starts/";

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its target, once that has announced itself.
    pub target: Option<Target>,
}

/// What a node says of its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Names its start.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The version that it runs.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: u16,
}

/// Who decides on a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Where the node is reached.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since the Unix epoch.
    pub boot: u64,
}

/// When a move began, for an owner that was not there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The revision of the order.
    pub order: u64,
    /// When it was seen, in milliseconds since the Unix epoch.
    pub at: u64,
}
