//! The state of a rollout that its owner publishes, and the join of two published states.

mod join;
mod reason;
mod wire;

pub use reason::{Figures, Measure, Reason};
pub use wire::{Error, Wire};

use crate::Share;
use fulmarreel_document::rollout::Timestamp;

/// The phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The new version takes no calls yet.
    Waiting,
    /// The new version takes few calls until it is proven.
    Proving,
    /// The deadline passed before the version was proven; its share stays as it is.
    Held,
    /// The version is proven, or its document lets it pass unproven; its share is being raised.
    Raising,
    /// The new version takes all calls and is still watched.
    Soaking,
    /// Part of the traffic is back at the old version, to compare both versions over the same time.
    Checking,
    /// The rollout is complete, and the new version stays.
    Completed,
    /// The new version is bad and is rolled back; it gets no more calls under this document
    /// revision.
    TakenBack,
}

/// One published step of a rollout. All times are by the clock of the owner that published it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct State {
    /// Revision of the document that declares the rollout.
    pub revision: u64,
    /// Number of this step, counted from 0.
    pub step: u64,
    /// Share of calls that the new version takes.
    pub share: Share,
    /// Phase of the rollout after this step.
    pub phase: Phase,
    /// Why this step was taken.
    pub reason: Reason,
    /// When this step was decided.
    pub at: Timestamp,
    /// When the new version first took all calls, if it has.
    pub moved_at: Option<Timestamp>,
}

impl State {
    /// The state of a rollout before its first step.
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

    /// Whether the rollout has ended.
    pub fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Completed | Phase::TakenBack)
    }

    /// The step that records the verdict of an earlier owner, whose figures are not known.
    pub fn after_relayed_verdict(&self, at: Timestamp) -> Self {
        self.next(Share::NONE, Phase::TakenBack, Reason::Relayed, at)
    }

    /// The step after this one.
    pub(crate) fn next(&self, share: Share, phase: Phase, reason: Reason, at: Timestamp) -> Self {
        let first_moved_at = (share == Share::ALL).then_some(at);
        Self {
            revision: self.revision,
            step: self.step + 1,
            share,
            phase,
            reason,
            at,
            moved_at: self.moved_at.or(first_moved_at),
        }
    }
}
