//! Notices between nodes, over UDP.

use crate::framing;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The most bytes in one datagram, below the smallest usual MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's [`PROTOCOL`](crate::PROTOCOL).
    pub protocol: u16,
    /// Where the sender accepts peers.
    pub from: SocketAddr,
    /// What it says.
    pub notice: Notice,
}

/// What a datagram says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// The revision up to which the sender knows the store.
    Revision(u64),
    /// A node of the receiver's region reads the store, or ceases to.
    Contact(Contact),
    /// What the sender has seen of both versions of a service that moves.
    Tally(Tally),
    /// The share of a service's new version, from the node that owns the move.
    Share(Share),
    /// The new version is bad.
    Bad {
        /// The service.
        service: String,
        /// The revision of the order to move.
        order: u64,
    },
    /// The new version has taken over, and the old one may be gone.
    Completed {
        /// The service.
        service: String,
        /// The revision of the order to move.
        order: u64,
    },
}

/// A node's contact with the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The node that reads the store.
    pub reader: SocketAddr,
    /// Whether it does, and the store answers it.
    pub reads: bool,
    /// The revision up to which the sender knows the store.
    pub revision: u64,
    /// How long before the datagram was sent that was all that the store had, in milliseconds.
    pub age_ms: u32,
    /// Whom the receiver tells in turn.
    pub pass_on: Vec<SocketAddr>,
}

/// What one process of a node has seen of a move since its order; later ones replace earlier ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// The service.
    pub service: String,
    /// The revision of the order to move.
    pub order: u64,
    /// Names the sender's process: counts of later ones are added.
    pub boot: u64,
    /// The revision that made the node whose grant the sender follows the owner; 0 where none is.
    pub owner: u64,
    /// Calls in a thousand that the sender lets go to the new version.
    pub permille: u16,
    /// The largest share at which the sender knows the new version to have been found sound.
    pub proven: u16,
    /// The counts by route.
    pub routes: Vec<Route>,
}

/// Counts of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Hash of the route's name.
    pub route: u64,
    /// Of the version that traffic moves away from.
    pub old: Counts,
    /// Of the version that it moves to.
    pub new: Counts,
}

/// How calls went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that ended at a target.
    pub calls: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that were answered far later than usual, or not at all for as long.
    pub slow: u32,
    /// Further calls that were sent to a target and have not ended.
    pub open: u32,
    /// Those of the open ones that take longer than nearly all calls do.
    pub overdue: u32,
    /// Further calls that were sent to a target, and whose end is not known.
    pub lost: u32,
}

/// The share of a service's new version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// The revision of the order to move.
    pub order: u64,
    /// The revision that made the sender the owner.
    pub owner: u64,
    /// Counts the sender's grants.
    pub number: u32,
    /// Calls in a thousand that go to the new version.
    pub permille: u16,
    /// The largest share at which the new version was found sound.
    pub proven: u16,
}

impl Datagram {
    /// The bytes to send.
    ///
    /// # Errors
    ///
    /// It cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, framing::Error> {
        framing::encode_bare(self)
    }

    /// Reads what was received.
    ///
    /// # Errors
    ///
    /// The bytes are no datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, framing::Error> {
        framing::decode(bytes)
    }
}
