//! Reports of how the versions of a service fare, on their way to the owner of its move.

use serde::{Deserialize, Serialize};

/// One report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: String,
    /// Revision of the document that declares the move.
    pub revision: u64,
    /// Where the report is on its way.
    pub stage: Stage,
    /// The encoded tallies.
    #[serde(with = "serde_bytes")]
    pub evidence: Vec<u8>,
}

/// Where a report is on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// From one node to the node that adds up its availability zone's reports.
    Node,
    /// The sum of an availability zone, sent to the owner.
    Zone {
        /// The availability zone.
        zone: String,
    },
}
