//! Why a peer's update cannot be applied.

use super::delta::DeltaError;

/// Why a peer's update cannot be applied.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Changes between the mirror's revision and the start of the update are missing.
    #[error(
        "the update starts after revision {from}, but the mirror is complete only up to {revision}"
    )]
    Gap {
        /// The revision after which the update is complete.
        from: u64,
        /// The revision up to which the mirror is complete.
        revision: u64,
    },
    /// A delta is based on another revision of the item than the mirror holds.
    #[error("the delta of {key} is based on revision {base}, but the mirror holds {held:?}")]
    Base {
        /// The whole key.
        key: String,
        /// The revision that the delta is based on.
        base: u64,
        /// The revision of the item in the mirror, if any.
        held: Option<u64>,
    },
    /// A delta does not yield the value of its sender.
    #[error("the delta of {key}: {fault}")]
    Delta {
        /// The whole key.
        key: String,
        /// What is wrong with it.
        fault: DeltaError,
    },
}
