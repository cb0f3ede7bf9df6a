//! The requirements that a document sets for a rollout.

use crate::Share;
use fulmarreel_document::{
    Document, Rollout, Route,
    rollout::{FaultThresholds, Timestamp, UnprovenAction},
};
use std::time::Duration;

/// A declared rollout, with what the decisions need from its document.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The deadline by which all traffic is to have moved.
    pub complete_by: Timestamp,
    /// Largest share of the new version while it is unproven.
    pub unproven_share: Share,
    /// How much worse than the old version counts as a fault.
    pub fault: FaultThresholds,
    /// What to do if the version is unproven at the deadline.
    pub unproven_at_deadline: UnprovenAction,
    /// How long the new version is still watched once it has all traffic.
    pub soak: Duration,
    /// Whether every route of the service is idempotent.
    pub idempotent: bool,
}

impl Plan {
    /// The plan of a document, if it declares a rollout.
    pub fn from_document(document: &Document) -> Option<Self> {
        let idempotent = document.routes().iter().all(Route::idempotent);
        document
            .rollout()
            .map(|rollout| Self::new(rollout, idempotent))
    }

    /// The plan of a rollout of a service whose routes are all idempotent, or not.
    pub fn new(rollout: &Rollout, idempotent: bool) -> Self {
        Self {
            complete_by: rollout.complete_by(),
            unproven_share: Share::from_fraction(rollout.unproven_percent() / 100.0),
            fault: rollout.fault(),
            unproven_at_deadline: rollout.unproven_at_deadline(),
            soak: rollout.soak(),
            idempotent,
        }
    }
}
