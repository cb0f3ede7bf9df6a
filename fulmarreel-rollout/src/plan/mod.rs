//! What a document asks of a move, as the decisions use it.

use crate::Share;
use fulmarreel_document::{
    Document, Route, Shift,
    shift::{Fallback, Fault, Timestamp},
};
use std::time::Duration;

/// A declared move with what it needs to know of its document.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The time by which all traffic is to have moved.
    pub complete_by: Timestamp,
    /// The largest share of the version while it is unproven.
    pub unproven: Share,
    /// What counts as a fault.
    pub fault: Fault,
    /// What happens when the deadline comes and the version is unproven.
    pub fallback: Fallback,
    /// How long evidence is still compared once the version has all traffic.
    pub soak: Duration,
    /// Whether every route of the service is idempotent.
    pub idempotent: bool,
}

impl Plan {
    /// The plan of a document, if it declares a move.
    pub fn of(document: &Document) -> Option<Self> {
        let idempotent = document.routes().iter().all(Route::idempotent);
        document.shift().map(|shift| Self::new(shift, idempotent))
    }

    /// The plan of a move of a service that is idempotent or not.
    pub fn new(shift: &Shift, idempotent: bool) -> Self {
        Self {
            complete_by: shift.complete_by(),
            unproven: Share::from_fraction(shift.unproven_percent() / 100.0),
            fault: shift.fault(),
            fallback: shift.unproven_at_deadline(),
            soak: shift.soak(),
            idempotent,
        }
    }
}
