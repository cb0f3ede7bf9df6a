//! The stored state of a rollout: its latest step, and which node decides on the next one.

use crate::{State, state};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The value at a rollout's key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Publication {
    /// Peer address of the node that owns the rollout; evidence is sent there.
    pub owner: SocketAddr,
    /// Latest step of the rollout.
    pub state: State,
}

/// A publication as it is stored, in JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    owner: SocketAddr,
    state: state::Wire,
}

/// Why a stored value is not a publication.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value is not the expected JSON.
    #[error("malformed publication: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The state is invalid.
    #[error("malformed state: {0}")]
    State(#[from] state::Error),
}

impl Publication {
    /// The value to store.
    ///
    /// # Errors
    ///
    /// The publication cannot be expressed in JSON.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let wire = Wire {
            owner: self.owner,
            state: (&self.state).into(),
        };
        Ok(serde_json::to_vec(&wire)?)
    }

    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// The value is not a publication.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        let wire: Wire = serde_json::from_slice(value)?;
        Ok(Self {
            owner: wire.owner,
            state: wire.state.try_into()?,
        })
    }
}
