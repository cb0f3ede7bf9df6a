//! The guard by which a node stops its own use of a bad version at once, by its own calls and
//! without contact to other nodes.

mod admit;
mod record;

use fulmarreel_document::rollout::Timestamp;
use std::time::Duration;

/// Duration of the first stop; each further one lasts twice as long.
pub const FIRST_STOP: Duration = Duration::from_secs(30);

/// Longest duration of a stop.
pub const MAX_STOP: Duration = Duration::from_secs(600);

/// How long a node does not call an unproven version of a non-idempotent service after one failure.
pub const FAILURE_PAUSE: Duration = Duration::from_secs(10);

/// A node's evidence about the new version of a service, under one document revision.
#[derive(Debug, Clone)]
pub struct Guard {
    idempotent: bool,
    /// Value of `cusum` at which this node stops its use of the version.
    stop_threshold: f64,
    /// Cumulative sum of log-likelihood ratios against the new version, at least zero.
    cusum: f64,
    old: RecentCalls,
    outstanding: u32,
    stopped_until: Option<Timestamp>,
    stop_count: u32,
}

/// Decaying counts of the node's calls to the old version.
#[derive(Debug, Clone, Copy, Default)]
struct RecentCalls {
    calls: f64,
    errors: f64,
}

/// Target probability that any node of a fleet falsely stops a good version, per run of evidence.
const FALSE_STOP_PROBABILITY: f64 = 0.000_1;

impl Guard {
    /// A guard on one node of a fleet of `nodes`.
    pub fn new(nodes: u32, idempotent: bool) -> Self {
        Self {
            idempotent,
            stop_threshold: (f64::from(nodes.max(1)) / FALSE_STOP_PROBABILITY).ln(),
            cusum: 0.0,
            old: RecentCalls::default(),
            outstanding: 0,
            stopped_until: None,
            stop_count: 0,
        }
    }

    /// Until when this node does not call the new version, if it has stopped.
    pub fn stopped_until(&self) -> Option<Timestamp> {
        self.stopped_until
    }
}
