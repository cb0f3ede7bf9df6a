//! Tallies of calls to the old and the new version over the same windows of time.
//!
//! A node tallies its own calls for one window (a second) and sends them to one node of its zone,
//! which adds them up and passes on the sum. Sums of both versions travel together, so a report
//! that is lost or late takes from both alike.

mod latency;
mod merge;
mod record;
mod wire;

pub use latency::{BUCKETS, FIRST_BUCKET_US, bucket, bucket_floor_us};
pub use wire::{Error, Wire};

use std::collections::BTreeMap;

/// Reporters that a sum names for each measure.
pub const MAX_LOUDEST: usize = 4;

/// Index of a route in its document, longest path first.
pub type Route = u16;

/// Which version took a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that the move leads away from.
    Old,
    /// The version that the move leads to.
    New,
}

/// Calls of one version on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Calls that a target answered or failed to answer in time; calls that did not run are not
    /// counted, for they say nothing about the version.
    pub calls: u64,
    /// Calls that failed: an answer that says so, a cut answer, or none by the deadline.
    pub errors: u64,
    /// Calls by latency, in buckets of a factor of the square root of two.
    pub latency: [u64; BUCKETS],
}

/// What one reporter counted of the new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loudest {
    /// A hash of the node's identity.
    pub reporter: u32,
    /// Its calls to the new version.
    pub new: Tally,
}

/// Both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pair {
    /// The old version.
    pub old: Tally,
    /// The new version.
    pub new: Tally,
    /// A bit for each reporter with calls to the new version, by its hash.
    pub reporters: u64,
    /// The reporters with the most failed calls to the new version, most first.
    pub failing: Vec<Loudest>,
    /// The reporters with the most time in calls to the new version, most first.
    pub slowest: Vec<Loudest>,
}

/// A sum of reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Nodes whose reports are in this sum.
    pub reports: u32,
    /// Sums per route.
    pub routes: BTreeMap<Route, Pair>,
}
