//! The declared move of a service's traffic to a new version.

use crate::Version;
use std::time::Duration;

/// Share of an unproven version, in percent, for services with non-idempotent routes.
pub const DEFAULT_UNPROVEN_PERCENT: f64 = 2.0;

/// Share of an unproven version, in percent, where every route is idempotent.
pub const DEFAULT_UNPROVEN_PERCENT_IDEMPOTENT: f64 = 10.0;

/// How long the versions are still compared once the new one has all traffic.
pub const DEFAULT_SOAK: Duration = Duration::from_secs(300);

/// Errors in excess of the old version's, in percent of calls, that make a version bad.
pub const DEFAULT_ERROR_PERCENT: f64 = 1.0;

/// Ratio of the new version's 95th latency percentile to the old one's that makes it bad.
pub const DEFAULT_LATENCY_RATIO: f64 = 2.0;

/// A move of traffic to a new version by a set time.
#[derive(Debug, Clone, PartialEq)]
pub struct Shift {
    pub(crate) to: Version,
    pub(crate) complete_by: Timestamp,
    pub(crate) unproven_percent: f64,
    pub(crate) fault: Fault,
    pub(crate) unproven_at_deadline: Fallback,
    pub(crate) soak: Duration,
}

/// A point in time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

/// What counts as a fault of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// Errors in excess of the old version's, in percent of calls.
    pub error_percent: f64,
    /// Ratio of the 95th latency percentiles, new to old.
    pub latency_ratio: f64,
}

/// What becomes of a version that too few calls have proved when its deadline comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fallback {
    /// All traffic moves: nothing speaks against the version.
    Complete,
    /// The share stays within that of an unproven version until the version is proved.
    Hold,
}

impl Shift {
    /// The version that takes over.
    pub fn to(&self) -> &Version {
        &self.to
    }

    /// The time by which all traffic is to have moved.
    pub fn complete_by(&self) -> Timestamp {
        self.complete_by
    }

    /// The largest share of the version while it is unproven, in percent.
    pub fn unproven_percent(&self) -> f64 {
        self.unproven_percent
    }

    /// What counts as a fault.
    pub fn fault(&self) -> Fault {
        self.fault
    }

    /// What happens when the deadline comes and the version is unproven.
    pub fn unproven_at_deadline(&self) -> Fallback {
        self.unproven_at_deadline
    }

    /// How long the comparison goes on after all traffic has moved.
    pub fn soak(&self) -> Duration {
        self.soak
    }
}
