//! Who passes a push on to whom.

use std::net::SocketAddr;

/// Receivers up to this number are all served directly.
const DIRECT: usize = 8;

/// One receiver, and those to whom it passes the push on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The receivers in the order in which they are tried: the first that answers passes the push on
    /// to the others.
    pub members: Vec<SocketAddr>,
}

/// Divides receivers into about as many branches as each branch has members.
pub fn branches(receivers: &[SocketAddr]) -> Vec<Branch> {
    let size = if receivers.len() <= DIRECT {
        1
    } else {
        receivers.len().isqrt()
    };
    let chunks = receivers.chunks(size);
    chunks
        .map(|members| Branch {
            members: members.to_vec(),
        })
        .collect()
}
