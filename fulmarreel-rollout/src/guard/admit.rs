//! Whether a call that the share picks may go to the new version from here.

use super::Guard;
use crate::state::Phase;
use fulmarreel_document::shift::Timestamp;

/// Calls that one node may have at an unproven version of a non-idempotent service.
const MAX_OUTSTANDING_UNPROVEN: u32 = 1;

impl Guard {
    /// Whether the call may go to the new version; if so, it counts as outstanding until it is
    /// recorded. A refused call goes to the old version.
    pub fn admit(&mut self, phase: Phase, now: Timestamp) -> bool {
        if phase == Phase::Completed {
            return true;
        }
        if phase == Phase::TakenBack || self.stopped_until.is_some_and(|until| now < until) {
            return false;
        }
        let unproven = matches!(phase, Phase::Waiting | Phase::Proving | Phase::Held);
        if unproven && !self.idempotent && self.outstanding >= MAX_OUTSTANDING_UNPROVEN {
            return false;
        }
        self.outstanding += 1;
        true
    }

    /// Ends an admitted call that did not run and so says nothing about the version.
    pub fn release(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }
}
