//! Admission of calls to the new version.

use super::Guard;
use crate::state::Phase;
use fulmarreel_document::rollout::Timestamp;

/// Number of open calls that one node may have at an unproven version of a non-idempotent service.
const MAX_OUTSTANDING_UNPROVEN: u32 = 1;

impl Guard {
    /// Whether a call that the share assigned to the new version may go there; if so, it counts as
    /// outstanding until it is recorded or released. A refused call goes to the old version.
    pub fn admit(&mut self, phase: Phase, now: Timestamp) -> bool {
        if phase == Phase::Completed {
            return true;
        }
        if phase == Phase::TakenBack || self.stopped_until.is_some_and(|until| now < until) {
            return false;
        }
        let is_unproven = matches!(phase, Phase::Waiting | Phase::Proving | Phase::Held);
        if is_unproven && !self.idempotent && self.outstanding >= MAX_OUTSTANDING_UNPROVEN {
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
