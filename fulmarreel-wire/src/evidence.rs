//! Reports on the health of a service's versions, which are aggregated by availability zone and
//! sent to the owner of the service's rollout.

use serde::{Deserialize, Serialize};

/// A report of one node or one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// Store revision of the document that declares the rollout.
    pub revision: u64,
    /// What the report covers.
    pub scope: Scope,
    /// The counts, encoded by the rollout crate.
    #[serde(with = "serde_bytes")]
    pub evidence: Vec<u8>,
}

/// What a report covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Covers one node; sent to the node that aggregates the reports of its availability zone.
    Node,
    /// Covers an availability zone; sent to the owner of the rollout.
    Zone {
        /// The availability zone.
        zone: String,
    },
}
