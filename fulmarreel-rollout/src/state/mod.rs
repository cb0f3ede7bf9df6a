//! What the owner of a move publishes, and how two publications are joined.

mod join;
mod reason;
mod wire;

pub use reason::{Figures, Measure, Reason};
pub use wire::{Error, Wire};

use crate::Share;
use fulmarreel_document::shift::Timestamp;

/// Where a move stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The new version takes no calls yet.
    Waiting,
    /// The new version takes few calls until it is proved.
    Proving,
    /// The deadline passed before the version was proved; its share stays.
    Held,
    /// The version is proved or its document lets it pass; its share grows.
    Raising,
    /// The version has all traffic and is still watched.
    Soaking,
    /// Part of the traffic is back with the old version, to compare both side by side.
    Checking,
    /// The move is over and the new version stays.
    Completed,
    /// The version is bad; it takes no calls again under this revision.
    TakenBack,
}

/// One published step of a move. Times are the publishing owner's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    /// Revision of the document that declares the move.
    pub revision: u64,
    /// Number of this step, counted from 0.
    pub step: u64,
    /// Share of calls that the new version takes.
    pub share: Share,
    /// Where the move stands.
    pub phase: Phase,
    /// Why this step was taken.
    pub reason: Reason,
    /// When this step was decided.
    pub at: Timestamp,
    /// When the new version first had all traffic, if it had.
    pub moved_at: Option<Timestamp>,
}

impl State {
    /// The state of a move before its first step.
    pub fn waiting(revision: u64, at: Timestamp) -> Self {
        Self {
            revision,
            step: 0,
            share: Share::NONE,
            phase: Phase::Waiting,
            reason: Reason::Declared,
            at,
            moved_at: None,
        }
    }

    /// Whether nothing more will be decided about this move.
    pub fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Completed | Phase::TakenBack)
    }

    /// The step that follows a verdict of an earlier owner, whose figures are not known.
    pub fn relayed(&self, at: Timestamp) -> Self {
        self.next(Share::NONE, Phase::TakenBack, Reason::Relayed, at)
    }

    /// The step after this one.
    pub(crate) fn next(&self, share: Share, phase: Phase, reason: Reason, at: Timestamp) -> Self {
        let moved = (share == Share::ALL).then_some(at);
        Self {
            revision: self.revision,
            step: self.step + 1,
            share,
            phase,
            reason,
            at,
            moved_at: self.moved_at.or(moved),
        }
    }
}
