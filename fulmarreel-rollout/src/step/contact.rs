//! The owner's contact with the store and the fleet, without which it publishes no step.

use super::Hold;
use crate::{Comparison, State};
use fulmarreel_document::rollout::Timestamp;
use std::time::Duration;

/// Age from which on the latest evidence is stale.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(30);

/// Largest tolerated difference between the owner's clock and the store's.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);

/// How long the owner's ticks must have come without a clock jump or a pause before a share may
/// rise.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The owner's contact with the store, the fleet and the new version's targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerContact {
    /// When the owner's lease ends, by the owner's clock and counted from before its renewal.
    pub lease_until: Timestamp,
    /// End of the latest window for which most zones have reported; a report of no calls counts.
    pub evidence_until: Timestamp,
    /// How far the owner's clock is ahead of the store's, in milliseconds, if known.
    pub clock_ahead_ms: Option<i64>,
    /// Nodes that would report if no report were lost.
    pub nodes: u32,
    /// Ready targets of the new version.
    pub new_targets: u32,
}

impl OwnerContact {
    /// Why the owner may not publish any step but a verdict, if it may not.
    pub(super) fn blocking_hold(
        &self,
        state: &State,
        comparison: &Comparison,
        now: Timestamp,
    ) -> Option<Hold> {
        if now >= self.lease_until {
            return Some(Hold::NoContact);
        }
        if self.clock_differs() || time_until(state.at, now) > MAX_CLOCK_DIFFERENCE {
            return Some(Hold::ClockOff);
        }
        if comparison.last_tick() != now
            || elapsed_since(comparison.steady_since(), now) < SETTLE_TIME
        {
            return Some(Hold::ClockJumped);
        }
        if comparison.is_silent() || elapsed_since(self.evidence_until, now) > MAX_EVIDENCE_AGE {
            return Some(Hold::StaleEvidence);
        }
        None
    }

    fn clock_differs(&self) -> bool {
        let allowed = MAX_CLOCK_DIFFERENCE.as_millis() as u64;
        self.clock_ahead_ms
            .is_some_and(|ahead| ahead.unsigned_abs() > allowed)
    }
}

/// Time from a point until now; zero if the point is in the future.
pub(super) fn elapsed_since(point: Timestamp, now: Timestamp) -> Duration {
    Duration::from_millis(now.0.saturating_sub(point.0))
}

/// Time from now until a point; zero if the point has passed.
pub(super) fn time_until(point: Timestamp, now: Timestamp) -> Duration {
    elapsed_since(now, point)
}
