//! Tallies of calls to the old and the new version over the same time windows.
//!
//! A node tallies its own calls during a window of one second and sends the tallies to one node of
//! its zone, which adds them up and forwards the sum. Tallies of both versions travel together, so
//! that a lost or late report affects both alike.

mod latency;
mod merge;
mod record;
mod wire;

pub use latency::{BUCKETS, FIRST_BUCKET_US, bucket, bucket_floor_us};
pub use wire::{Error, Wire};

use std::collections::BTreeMap;

/// Number of top reporters that a sum names for each measure.
pub const MAX_TOP_REPORTERS: usize = 4;

/// Index of a route in its document, in order of descending path length.
pub type Route = u16;

/// The version that served a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that the rollout leads away from.
    Old,
    /// The version that the rollout leads to.
    New,
}

/// Call counts of one version on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls that a target answered or failed to answer in time. Calls that did not run are not
    /// counted, because they say nothing about the version.
    pub calls: u64,
    /// Calls that failed: an error status, an incomplete response, or none by the deadline.
    pub errors: u64,
    /// Calls per latency bucket; bucket bounds grow by a factor of the square root of two.
    pub latency: [u64; BUCKETS],
}

/// The calls to the new version that a top reporter counted: one of the nodes with the most failed
/// calls, or with the most time in calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopReporter {
    /// Hash of the node's identity.
    pub reporter: u32,
    /// The node's calls to the new version.
    pub new: Tally,
}

/// Call counts of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionTallies {
    /// The old version.
    pub old: Tally,
    /// The new version.
    pub new: Tally,
    /// Bit set of the reporters with calls to the new version, by hash.
    pub reporters: u64,
    /// The reporters with the most failed calls to the new version, in descending order.
    pub failing: Vec<TopReporter>,
    /// The reporters with the most time spent in calls to the new version, in descending order.
    pub slowest: Vec<TopReporter>,
}

/// The sum of the reports of some nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Number of nodes whose reports are in this sum.
    pub reports: u32,
    /// Call counts per route.
    pub routes: BTreeMap<Route, VersionTallies>,
}
