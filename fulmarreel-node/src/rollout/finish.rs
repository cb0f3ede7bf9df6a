//! The end of one call.

use super::Move;
use crate::{
    state::unix_millis,
    telemetry::{Decision, decision::Kind},
};
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::evidence::{Route, Side};
use std::sync::Arc;

/// How a target dealt with a call that it was handed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Whether it failed: a status of 500 and above, a cut answer, or none by the deadline.
    pub failed: bool,
    /// The target's own time in microseconds.
    pub target_micros: u64,
}

/// One call of a service whose traffic moves, until its end is known.
///
/// A ticket that is dropped says nothing about the version: the call did not run, its caller hung
/// up, or the path to its target failed.
#[derive(Debug)]
pub struct Ticket {
    pub(super) entry: Option<Arc<Move>>,
    pub(super) side: Side,
}

impl Ticket {
    /// Reports how the target dealt with the call.
    pub fn finish(mut self, route: Route, end: End) {
        if let Some(entry) = self.entry.take() {
            entry.finish(self.side, route, end, Timestamp(unix_millis()));
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.take() {
            entry.release(self.side);
        }
    }
}

impl Move {
    /// Takes in the end of a call that [`Move::choose`] sent to one side.
    pub fn finish(&self, side: Side, route: Route, end: End, now: Timestamp) {
        let mut progress = self.progress.lock().expect("progress lock");
        let phase = progress.state.phase;
        if progress.guard.record(side, end.failed, phase, now) {
            let reason = "this node stops its own use of the new version: it fails here";
            Decision {
                version: self.document.shift().map(|shift| shift.to().as_str()),
                revision: Some(self.revision),
                ..Decision::new(Kind::Shift, self.service(), reason)
            }
            .log();
        }
        let sides = progress.tallies.entry(route).or_default();
        let tally = match side {
            Side::Old => &mut sides.old,
            Side::New => &mut sides.new,
        };
        tally.record(end.failed, end.target_micros);
    }

    /// Ends a call that says nothing about its version.
    pub fn release(&self, side: Side) {
        if side == Side::New {
            let mut progress = self.progress.lock().expect("progress lock");
            progress.guard.release();
        }
    }
}
