//! Who opens calls at a node.

use std::net::SocketAddr;

/// One process that opens calls; a restart at the same address is another origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Where the process accepts peers.
    pub address: SocketAddr,
    /// When it started, in milliseconds since the Unix epoch.
    pub boot: u64,
}
