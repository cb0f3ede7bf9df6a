//! Keys and values that nodes write to the platform's store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of a node's key; the instance's name follows.
pub const NODES: &str = "fulmarreel/nodes/";

/// Prefix of the key of a rollout's owner; the service follows.
pub const OWNERS: &str = "fulmarreel/owners/";

/// Prefix of the key of a rollout's start; the service follows.
pub const STARTS: &str = "fulmarreel/starts/";

/// A node's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The address at which other nodes reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its target, once the target has announced itself.
    pub target: Option<Target>,
}

/// The target in a node's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identifies one run of the target's process.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The version that it runs.
    pub version: String,
    /// The number of requests that it runs at once.
    pub slots: u16,
    /// When the run started, in milliseconds since the Unix epoch; entries of earlier builds do not tell.
    #[serde(default)]
    pub started_at_ms: Option<u64>,
}

/// Why a node's entry is rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is not JSON with the expected fields.
    #[error(transparent)]
    Shape(#[from] serde_json::Error),
    /// No node can be reached at the address.
    #[error("no node can be reached at {address}")]
    Address {
        /// The address.
        address: SocketAddr,
    },
    /// The target could not run any request.
    #[error("the target has no slots")]
    NoSlots,
}

impl Node {
    /// Decodes the value of an entry.
    ///
    /// # Errors
    ///
    /// It does not describe a node that could be used.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        let node: Self = serde_json::from_slice(value)?;
        let (address, ip) = (node.address, node.address.ip());
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(Error::Address { address });
        }
        if node.target.as_ref().is_some_and(|target| target.slots == 0) {
            return Err(Error::NoSlots);
        }
        Ok(node)
    }
}

/// The node that owns a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The node's address.
    pub address: SocketAddr,
    /// When the node's process started, in milliseconds since the Unix epoch.
    pub boot: u64,
}

/// When a rollout began, for an owner that takes it over later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The store revision of the order.
    pub order: u64,
    /// When the first owner claimed the rollout, in milliseconds since the Unix epoch.
    pub at: u64,
}
