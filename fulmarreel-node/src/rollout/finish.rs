//! Records the results of calls to services that have a rollout.

use super::Rollout;
use crate::{
    state::unix_millis,
    telemetry::{Decision, decision::Kind},
};
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::evidence::{Route, Side};
use std::sync::Arc;

/// The result of a call that was handed to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallResult {
    /// Whether the call failed: a status of 500 or above, an incomplete response, or none by the
    /// deadline.
    pub failed: bool,
    /// How long the target worked on the call, in microseconds.
    pub target_micros: u64,
}

/// An unfinished call to a service that has a rollout.
///
/// A call that is dropped without [`finish`](Self::finish) counts neither for nor against the
/// version: the call did not run, its caller hung up, or the path to its target failed.
#[derive(Debug)]
pub struct TrackedCall {
    /// `None` once the result is recorded.
    pub(super) rollout: Option<Arc<Rollout>>,
    pub(super) side: Side,
}

impl TrackedCall {
    /// Records the call's result.
    pub fn finish(mut self, route: Route, result: CallResult) {
        if let Some(rollout) = self.rollout.take() {
            rollout.finish(self.side, route, result, Timestamp(unix_millis()));
        }
    }
}

impl Drop for TrackedCall {
    fn drop(&mut self) {
        if let Some(rollout) = self.rollout.take() {
            rollout.release(self.side);
        }
    }
}

impl Rollout {
    /// Records the result of a call that [`Rollout::choose`] sent to one side.
    pub fn finish(&self, side: Side, route: Route, result: CallResult, now: Timestamp) {
        let mut progress = self.progress.lock().expect("progress lock");
        let phase = progress.state.phase;
        if progress.guard.record(side, result.failed, phase, now) {
            let reason =
                "this node sends no more calls to the new version: too many of them failed";
            Decision {
                version: self
                    .document
                    .rollout()
                    .map(|declared| declared.to().as_str()),
                revision: Some(self.revision),
                ..Decision::new(Kind::Shift, self.service(), reason)
            }
            .log();
        }
        let route_tallies = progress.tallies.entry(route).or_default();
        let tally = match side {
            Side::Old => &mut route_tallies.old,
            Side::New => &mut route_tallies.new,
        };
        tally.record(result.failed, result.target_micros);
    }

    /// Ends a call whose outcome says nothing about its version.
    pub fn release(&self, side: Side) {
        if side == Side::New {
            let mut progress = self.progress.lock().expect("progress lock");
            progress.guard.release();
        }
    }
}
