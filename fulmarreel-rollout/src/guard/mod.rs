//! A node's own evidence: it stops its own use of a version at once and needs nobody for it.

mod admit;
mod record;

use fulmarreel_document::shift::Timestamp;
use std::time::Duration;

/// The first stop's length; each further one is twice as long.
pub const FIRST_STOP: Duration = Duration::from_secs(30);

/// The longest stop.
pub const MAX_STOP: Duration = Duration::from_secs(600);

/// How long a node keeps from an unproven version of a non-idempotent service after one failure.
pub const PAUSE: Duration = Duration::from_secs(10);

/// What a node's own calls say about a version under one document revision.
#[derive(Debug, Clone)]
pub struct Guard {
    idempotent: bool,
    bad: f64,
    sum: f64,
    old: Tally,
    outstanding: u32,
    stopped_until: Option<Timestamp>,
    stops: u32,
}

/// The node's recent calls to the old version.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    calls: f64,
    errors: f64,
}

/// How often a fleet stops a good version falsely, per stretch of evidence.
const FALSE_STOPS: f64 = 0.000_1;

impl Guard {
    /// A guard on one of `nodes` nodes.
    pub fn new(nodes: u32, idempotent: bool) -> Self {
        Self {
            idempotent,
            bad: (f64::from(nodes.max(1)) / FALSE_STOPS).ln(),
            sum: 0.0,
            old: Tally::default(),
            outstanding: 0,
            stopped_until: None,
            stops: 0,
        }
    }

    /// Until when this node keeps from the version, if it does.
    pub fn stopped_until(&self) -> Option<Timestamp> {
        self.stopped_until
    }
}
