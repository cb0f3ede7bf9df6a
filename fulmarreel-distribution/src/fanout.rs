//! The tree along which a push is forwarded to many receivers.

use std::net::SocketAddr;

/// Up to this number of receivers, the sender pushes to each of them itself.
const MAX_DIRECT_RECEIVERS: usize = 8;

/// One branch of the tree: receivers of which one gets the push from the sender and forwards it to
/// the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The receivers in the order in which the sender tries them: the first one that answers
    /// forwards the push to the others.
    pub members: Vec<SocketAddr>,
}

/// Divides receivers into branches: a few receivers into branches of one, many into branches whose
/// size is about the square root of the number of receivers.
pub fn branches(receivers: &[SocketAddr]) -> Vec<Branch> {
    let branch_size = if receivers.len() <= MAX_DIRECT_RECEIVERS {
        1
    } else {
        receivers.len().isqrt()
    };
    let chunks = receivers.chunks(branch_size);
    chunks
        .map(|members| Branch {
            members: members.to_vec(),
        })
        .collect()
}
