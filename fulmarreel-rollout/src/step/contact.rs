//! Whether the owner can see and be heard.

use super::Hold;
use crate::{Comparison, State};
use fulmarreel_document::shift::Timestamp;
use std::time::Duration;

/// Age of the latest evidence from which on it is stale.
pub const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(30);

/// Difference between the owner's clock and the store's that is borne.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(5);

/// How long ticks must have come without a jump before a share may rise.
pub const SETTLE: Duration = Duration::from_secs(5);

/// The owner's contact with the store, the fleet and the new version's targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// When the owner's lease ends, by the owner's clock and counted from before its renewal.
    pub lease_until: Timestamp,
    /// The end of the latest window for which most zones have reported, be it no calls.
    pub evidence_until: Timestamp,
    /// How far the owner's clock is ahead of the store's in milliseconds, if known.
    pub clock_ahead_ms: Option<i64>,
    /// Nodes of the fleet that would report.
    pub nodes: u32,
    /// Ready targets of the new version.
    pub new_targets: u32,
}

impl Contact {
    /// Why the owner may not publish a step other than a verdict, if it may not.
    pub(super) fn hinders(
        &self,
        state: &State,
        comparison: &Comparison,
        now: Timestamp,
    ) -> Option<Hold> {
        if now >= self.lease_until {
            return Some(Hold::NoContact);
        }
        if self.clock_is_off() || ahead(state.at, now) > MAX_CLOCK_DIFFERENCE {
            return Some(Hold::ClockOff);
        }
        if comparison.last_tick() != now || since(comparison.steady_since(), now) < SETTLE {
            return Some(Hold::ClockJumped);
        }
        if comparison.is_silent() || since(self.evidence_until, now) > MAX_EVIDENCE_AGE {
            return Some(Hold::StaleEvidence);
        }
        None
    }

    fn clock_is_off(&self) -> bool {
        let allowed = MAX_CLOCK_DIFFERENCE.as_millis() as u64;
        self.clock_ahead_ms
            .is_some_and(|ahead| ahead.unsigned_abs() > allowed)
    }
}

/// Time from a point until now, zero if it lies ahead.
pub(super) fn since(point: Timestamp, now: Timestamp) -> Duration {
    Duration::from_millis(now.0.saturating_sub(point.0))
}

/// Time from now until a point, zero if it has passed.
pub(super) fn ahead(point: Timestamp, now: Timestamp) -> Duration {
    since(now, point)
}
