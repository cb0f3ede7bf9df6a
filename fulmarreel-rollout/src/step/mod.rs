//! The owner's decision on the next step of a rollout.

mod contact;
mod decide;
mod hold;
mod ramp;

pub use contact::OwnerContact;
pub use decide::step;
pub use hold::Hold;

use crate::State;

/// What the owner does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Publish nothing.
    Hold(Hold),
    /// Publish a step that starts the rollout, raises the share or records that the deadline has
    /// passed.
    Raise(State),
    /// Publish a step that returns part of the traffic to the old version, to compare both versions
    /// again.
    Lower(State),
    /// Publish the verdict that the version is bad. This needs no contact with the store: nodes
    /// join the verdict at once, and the store gets it as soon as it can be reached.
    RollBack(State),
    /// Publish the completion of the rollout.
    Complete(State),
}

impl Decision {
    /// The state to publish, if any.
    pub fn state(&self) -> Option<&State> {
        match self {
            Self::Hold(_) => None,
            Self::Raise(state)
            | Self::Lower(state)
            | Self::RollBack(state)
            | Self::Complete(state) => Some(state),
        }
    }
}
