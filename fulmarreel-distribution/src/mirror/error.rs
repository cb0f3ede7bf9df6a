//! Why a peer's update could not be taken in.

use super::delta::Fault;

/// Why a peer's update could not be taken in.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Changes are missing between what the mirror knows and the update.
    #[error("an update after revision {from}, known is {revision}")]
    Gap {
        /// The revision after which the update is complete.
        from: u64,
        /// The revision up to which the mirror is.
        revision: u64,
    },
    /// A delta applies to another value than the one that the mirror holds.
    #[error("a delta of {key} from revision {base}, held is {held:?}")]
    Base {
        /// The whole key.
        key: String,
        /// The revision that the delta applies to.
        base: u64,
        /// The revision that the mirror holds.
        held: Option<u64>,
    },
    /// A delta does not yield the value that its sender holds.
    #[error("a delta of {key}: {fault}")]
    Delta {
        /// The whole key.
        key: String,
        /// What is wrong with it.
        fault: Fault,
    },
}
