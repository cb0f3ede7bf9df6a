//! Chooses the version of a service that a call is sent to.

use super::{Rollout, Rollouts, TrackedCall};
use crate::state::Service;
use fulmarreel_document::{Version, rollout::Timestamp};
use fulmarreel_rollout::{Share, evidence::Side, share, state::Phase};
use std::sync::Arc;

/// The version that a call is to be sent to.
#[derive(Debug)]
pub struct Choice {
    /// The version.
    pub version: Version,
    /// Records the call's result; `None` if the service has no rollout.
    pub tracked_call: Option<TrackedCall>,
}

impl Rollouts {
    /// Chooses the version that a call to a service is sent to.
    ///
    /// `call_hash` is an evenly distributed hash of the call; it determines whether the call is in
    /// the new version's share.
    pub fn choose(&self, service: &Service, call_hash: u64, now: Timestamp) -> Choice {
        let found = self.get(service.document.service().as_str());
        let Some(rollout) = found.filter(|rollout| rollout.revision == service.revision) else {
            return Choice {
                version: service.document.version().clone(),
                tracked_call: None,
            };
        };
        let has_target = |version: &Version| service.has_target(version.as_str());
        let side = rollout.choose(call_hash, now, has_target);
        Choice {
            version: rollout.version(side).clone(),
            tracked_call: Some(TrackedCall::new(&rollout, side)),
        }
    }
}

impl Rollout {
    /// Chooses the side of the rollout that a call is sent to; `call_hash` is as in
    /// [`Rollouts::choose`].
    ///
    /// `has_target` tells whether this node knows a target of a version. For a call that goes to
    /// the new version, the caller has to call [`Rollout::finish`] or [`Rollout::release`] when it
    /// ends.
    pub fn choose(
        &self,
        call_hash: u64,
        now: Timestamp,
        has_target: impl Fn(&Version) -> bool,
    ) -> Side {
        if !has_target(self.version(Side::New)) {
            return Side::Old;
        }
        let mut progress = self.progress.lock().expect("progress lock");
        let (share, phase) = (progress.state.share, progress.state.phase);
        let proved = matches!(phase, Phase::Raising | Phase::Soaking | Phase::Completed);
        let in_share =
            share::includes_call(self.document.service(), share, call_hash) && share > Share::NONE;
        // Once the new version is proved, it also gets every call if the old one has no targets
        // left.
        let use_new = in_share || (proved && !has_target(self.version(Side::Old)));
        if use_new && progress.guard.admit(phase, now) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The version on one side of the rollout.
    pub fn version(&self, side: Side) -> &Version {
        let new = self.document.rollout().map(|declared| declared.to());
        match (side, new) {
            (Side::New, Some(new)) => new,
            _ => self.document.version(),
        }
    }
}

impl TrackedCall {
    fn new(rollout: &Arc<Rollout>, side: Side) -> Self {
        Self {
            rollout: Some(Arc::clone(rollout)),
            side,
        }
    }
}
