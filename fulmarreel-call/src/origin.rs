//! Identity of a process that opens calls.

use std::net::SocketAddr;

/// One process that opens calls; after a restart at the same address it is a different origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The address at which the process accepts connections from other nodes.
    pub address: SocketAddr,
    /// When the process started, in milliseconds since the Unix epoch.
    pub boot: u64,
}
