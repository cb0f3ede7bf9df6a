//! Reasons for taking no step, in terms that operators read.

use std::fmt;

/// Why no step is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// The rollout is over.
    Over,
    /// The owner's lease is not known to hold.
    NoContact,
    /// The owner's clock differs from the store's, or the last step lies in its future.
    ClockOff,
    /// The owner's clock jumped, or the owner was paused.
    ClockJumped,
    /// Evidence is missing or late.
    StaleEvidence,
    /// No target of the new version is ready.
    NoTargets,
    /// The service's call rate is not known yet.
    NoCalls,
    /// Too few calls have proved the version so far.
    Unproven,
    /// The next step is not due.
    NotDue,
    /// The version looks worse than the old one, without enough evidence for a verdict.
    Doubted,
}

impl fmt::Display for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Over => "the move is over",
            Self::NoContact => "the owner has no contact with the store",
            Self::ClockOff => "the owner's clock differs from the store's or from the last step's",
            Self::ClockJumped => "the owner's clock jumped or the owner was paused",
            Self::StaleEvidence => "the evidence is missing or late",
            Self::NoTargets => "no target of the new version is ready",
            Self::NoCalls => "the service's call rate is not known yet",
            Self::Unproven => "too few calls have proved the version",
            Self::NotDue => "the next step is not due",
            Self::Doubted => "the version looks worse, without enough evidence for a verdict",
        })
    }
}
