//! Keys and values that nodes write to the platform's store.

use fulmarreel_membership::announcement::{self, History, Run};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of a node's key; the instance's name follows.
pub const NODES: &str = "fulmarreel/nodes/";

/// Prefix of the key under which a node that has deleted its entry leaves its [`Departure`]s for a while;
/// the instance's name follows.
pub const DEPARTURES: &str = "fulmarreel/departures/";

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
    /// The departures of targets that it has acknowledged. Builds before this field acknowledged
    /// departures without recording them.
    #[serde(default)]
    pub departures: Option<Vec<Departure>>,
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

/// That a run of a node's target has left, or is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The target's id.
    pub id: String,
    /// When the run started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// The sequence number of the announcement that said so; `None` once the run has ended.
    pub sequence: Option<u64>,
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

impl From<&announcement::Departure> for Departure {
    fn from(departure: &announcement::Departure) -> Self {
        Self {
            id: departure.run.id.clone(),
            started_at_ms: departure.run.started_at_ms,
            sequence: departure.sequence,
        }
    }
}

impl From<Departure> for announcement::Departure {
    fn from(departure: Departure) -> Self {
        Self {
            run: departure.run(),
            sequence: departure.sequence,
        }
    }
}

impl Departure {
    /// The run that has left.
    pub fn run(&self) -> Run {
        Run {
            id: self.id.clone(),
            started_at_ms: self.started_at_ms,
        }
    }
}

impl Target {
    /// The run that the entry names, if it tells when the run started.
    pub fn run(&self) -> Option<Run> {
        let started_at_ms = self.started_at_ms?;
        let id = self.id.clone();
        Some(Run { id, started_at_ms })
    }
}

impl Node {
    /// What the entry tells a later process of its node; `None` if an earlier build wrote it, which
    /// acknowledged departures without recording them.
    pub fn history(&self) -> Option<History> {
        let departures = self.departures.clone()?;
        Some(History {
            target: self.target.as_ref().and_then(Target::run),
            departures: departures.into_iter().map(Into::into).collect(),
        })
    }

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
