//! Membership as it travels over UDP.

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
    /// What it is for.
    pub kind: Kind,
    /// What the sender holds, in short.
    pub digest: Digest,
    /// Records that the sender passes on.
    pub records: Vec<Record>,
}

/// What a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`] of the same sequence.
    Ping {
        /// Repeated in the answer.
        sequence: u32,
    },
    /// Answers a [`Kind::Ping`], or a [`Kind::Relay`] once its target has answered.
    Ack {
        /// That of the question.
        sequence: u32,
    },
    /// Asks the receiver to ping a third node.
    Relay {
        /// Repeated in the answer.
        sequence: u32,
        /// The node to ping.
        target: SocketAddr,
    },
    /// Carries records alone.
    News,
}

/// What a node holds, in short; where two digests differ, the nodes compare over TCP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Hash of the records of nodes that are not gone.
    pub members: u64,
    /// Hash of the distributed entries and verdicts.
    pub entries: u64,
    /// Milliseconds since a region's watcher was in contact with the store, as far as known.
    pub contact_ms: Option<u32>,
}

/// What one node says of itself, passed on by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where the node accepts peers; names the node.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Raised by the node itself with each change of its record.
    pub sequence: u32,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// The target in the node's instance, if it has announced itself.
    pub target: Option<Target>,
    /// Whether the node watches the store for its region.
    pub watcher: bool,
    /// The node's condition; all but this field is the node's own word.
    pub state: State,
}

/// What a target announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that it belongs to.
    pub service: String,
    /// Version that it runs.
    pub version: String,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Whether it takes no new calls.
    pub leaving: bool,
}

/// Condition of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer for a while.
    Suspect,
    /// It is gone.
    Gone,
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
