use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a connection is used for; each purpose has its own message types.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Calls to a target.
    Calls,
    /// Documents, the state of rollouts, and membership.
    Sync,
    /// Reports on the health of the versions of a service.
    Evidence,
    /// Changes of the store that the opening node lacks.
    Mirror,
}

/// The first message in each direction of a TCP connection between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL`](crate::PROTOCOL).
    pub protocol: u16,
    /// The address at which the sender accepts connections from other nodes.
    pub address: SocketAddr,
    /// When the sending process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// What the connection is used for.
    pub purpose: Purpose,
}
