//! Membership gossip over UDP: SWIM probes with records of nodes attached.

use crate::framing;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Limit of a datagram in bytes, below the smallest usual MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// One message, with a digest of the sender's state and records of nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's [`PROTOCOL`](crate::PROTOCOL).
    pub protocol: u16,
    /// The address at which the sender accepts connections from other nodes.
    pub from: SocketAddr,
    /// The kind of message.
    pub kind: Kind,
    /// Digest of the sender's state.
    pub digest: Digest,
    /// Records of nodes that the sender disseminates.
    pub records: Vec<Record>,
}

/// The kind of a gossip message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Direct probe: asks for a [`Kind::Ack`] with the same sequence.
    Ping {
        /// Copied into the reply.
        sequence: u32,
    },
    /// Reply to a [`Kind::Ping`], or to a [`Kind::PingRequest`] once its target has replied.
    Ack {
        /// Sequence of the ping or ping request.
        sequence: u32,
    },
    /// Indirect probe: asks the receiver to ping a third node.
    PingRequest {
        /// Copied into the reply.
        sequence: u32,
        /// The node to ping.
        target: SocketAddr,
    },
    /// Only carries records; no reply is expected.
    Gossip,
}

/// Digest of a node's state. Nodes whose digests differ compare their state over TCP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Hash of the records of all nodes that are not [`State::Gone`].
    pub members: u64,
    /// Hash of the entries and verdicts that [`sync`](crate::sync) distributes.
    pub entries: u64,
    /// Milliseconds since a watcher of any region was last in contact with the store, as far as the
    /// sender knows.
    pub store_contact_age_ms: Option<u32>,
}

/// What a node announces about itself, as disseminated by other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The address at which the node accepts connections from other nodes; identifies the node.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Incremented by the node with each change of its record.
    pub sequence: u32,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// The target on the node's instance, if it has announced itself.
    pub target: Option<Target>,
    /// Whether the node watches the store for its region.
    pub watcher: bool,
    /// The node's state as seen by its peers; all other fields are set by the node itself.
    pub state: State,
}

/// The announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service that it belongs to.
    pub service: String,
    /// Version that it runs.
    pub version: String,
    /// Calls that it runs concurrently.
    pub slots: u16,
    /// Whether it accepts no new calls.
    pub leaving: bool,
}

/// Liveness of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It replies to probes.
    Alive,
    /// It has not replied to recent probes.
    Suspect,
    /// It has left or is considered dead.
    Gone,
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// It cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, framing::Error> {
        framing::encode_unframed(self)
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, framing::Error> {
        framing::decode(bytes)
    }
}
