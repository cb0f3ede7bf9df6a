//! The owner's decision: the next step of a move, if one is due.

mod contact;
mod decide;
mod hold;
mod ramp;

pub use contact::Contact;
pub use decide::step;
pub use hold::Hold;

use crate::State;

/// What the owner is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Publish nothing.
    Hold(Hold),
    /// Publish a step that starts the move, raises the share or records that the deadline has come.
    Raise(State),
    /// Publish a step that gives part of the traffic back, to compare both versions again.
    Lower(State),
    /// Publish the verdict that the version is bad. It needs no contact to be spread: nodes join
    /// it at once, and the store takes it when it can.
    TakeBack(State),
    /// Publish the end of a move that went well.
    Complete(State),
}

impl Outcome {
    /// The state to publish, if any.
    pub fn state(&self) -> Option<&State> {
        match self {
            Self::Hold(_) => None,
            Self::Raise(state)
            | Self::Lower(state)
            | Self::TakeBack(state)
            | Self::Complete(state) => Some(state),
        }
    }
}
