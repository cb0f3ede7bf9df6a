use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a connection is for; each purpose has its own frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Calls on their way to a target.
    Calls,
    /// Documents and the state of moves.
    Sync,
    /// Reports on the versions of a service.
    Evidence,
    /// What the accepting node knows of the store beyond the opening one.
    Mirror,
}

/// The first message in each direction of a TCP connection between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`PROTOCOL`](crate::PROTOCOL).
    pub protocol: u16,
    /// The address at which the sender accepts peers.
    pub address: SocketAddr,
    /// When the sending process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// What the connection is for.
    pub purpose: Purpose,
}
