//! The declaration of a rollout: traffic moves gradually to a new version of the service. Documents
//! call it `move`.

use crate::Version;
use std::time::Duration;

/// Default limit of an unproven version's share, in percent, if any route is not idempotent.
pub const DEFAULT_UNPROVEN_PERCENT: f64 = 2.0;

/// Default limit of an unproven version's share, in percent, if every route is idempotent.
pub const DEFAULT_UNPROVEN_PERCENT_IDEMPOTENT: f64 = 10.0;

/// Default time for which the versions are still compared after the new one has all traffic.
pub const DEFAULT_SOAK: Duration = Duration::from_secs(300);

/// Default for [`FaultThresholds::error_percent`].
pub const DEFAULT_ERROR_PERCENT: f64 = 1.0;

/// Default for [`FaultThresholds::latency_ratio`].
pub const DEFAULT_LATENCY_RATIO: f64 = 2.0;

/// The rollout of a new version, to be completed by a set time.
#[derive(Debug, Clone, PartialEq)]
pub struct Rollout {
    pub(crate) to: Version,
    pub(crate) complete_by: Timestamp,
    pub(crate) unproven_percent: f64,
    pub(crate) fault: FaultThresholds,
    pub(crate) unproven_at_deadline: UnprovenAction,
    pub(crate) soak: Duration,
}

/// A point in time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

/// Thresholds from which the new version is considered bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultThresholds {
    /// Excess of the new version's error rate over the old one's, in percent of calls.
    pub error_percent: f64,
    /// Ratio of the new version's 95th latency percentile to the old one's.
    pub latency_ratio: f64,
}

/// What to do at the deadline if there were too few calls to prove the new version healthy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnprovenAction {
    /// Move all traffic, since nothing indicates that the version is bad.
    Complete,
    /// Keep the share within [`Rollout::unproven_percent`] until the version is proved.
    Hold,
}

impl Rollout {
    /// The new version.
    pub fn to(&self) -> &Version {
        &self.to
    }

    /// The time by which all traffic is to have moved.
    pub fn complete_by(&self) -> Timestamp {
        self.complete_by
    }

    /// Limit of the new version's share in percent until enough calls have proved it healthy.
    pub fn unproven_percent(&self) -> f64 {
        self.unproven_percent
    }

    /// Thresholds from which the new version is considered bad.
    pub fn fault(&self) -> FaultThresholds {
        self.fault
    }

    /// What to do at the deadline if the new version is still unproven.
    pub fn unproven_at_deadline(&self) -> UnprovenAction {
        self.unproven_at_deadline
    }

    /// How long the versions are still compared after all traffic has moved.
    pub fn soak(&self) -> Duration {
        self.soak
    }
}
