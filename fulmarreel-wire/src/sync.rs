//! Anti-entropy and dissemination of documents, rollout state, verdicts and membership over TCP.
//!
//! A connection carries either one [`Frame::Push`] or one comparison. In a comparison the opening
//! node sends [`Frame::Compare`], the accepting node replies with [`Frame::Differences`], and then
//! each side, the opening node first, sends [`Frame::Transfer`] up to one marked as the last.

use crate::gossip;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of buckets that keys are divided into; each is compared by one hash.
pub const BUCKETS: usize = 16;

/// One message of a push or a comparison.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// New entries and verdicts, to be forwarded.
    Push(Push),
    /// Hashes of the opening node's state.
    Compare(Compare),
    /// Where the accepting node's state differs.
    Differences(Differences),
    /// What the receiver lacks.
    Transfer(Transfer),
}

/// New entries and verdicts, to be forwarded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The new entries.
    pub entries: Vec<Entry>,
    /// The new verdicts.
    pub verdicts: Vec<Verdict>,
    /// Nodes that the receiver forwards them to.
    pub forward: Vec<SocketAddr>,
}

/// Hashes of the opening node's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// A hash of the membership records of each availability zone.
    pub zones: Vec<ZoneHash>,
    /// A hash of the keys and revisions of each bucket; [`BUCKETS`] in total.
    pub buckets: Vec<u64>,
    /// Hash of all verdicts.
    pub verdicts: u64,
}

/// The hash of one availability zone's membership records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHash {
    /// Name of the zone.
    pub name: String,
    /// Hash of its records.
    pub hash: u64,
}

/// Where the accepting node's state differs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Differences {
    /// Whether the accepting node is itself up to date with the store or with enough peers.
    pub ready: bool,
    /// Availability zones whose records differ.
    pub zones: Vec<String>,
    /// Incarnations of the accepting node's records of those zones.
    pub members: Vec<RecordVersion>,
    /// Indexes of the buckets that differ.
    pub buckets: Vec<u8>,
    /// The accepting node's keys in those buckets.
    pub keys: Vec<KeyRevision>,
    /// All verdicts of the accepting node if the hashes differ, otherwise none.
    pub verdicts: Vec<Verdict>,
}

/// The incarnation of one node's record, as known to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Identifies the node.
    pub address: SocketAddr,
    /// When the node's process started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Sequence of the record.
    pub sequence: u32,
}

/// One key and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRevision {
    /// Key in the store.
    pub key: String,
    /// Store revision at which the key was last written or deleted.
    pub revision: u64,
}

/// State that the receiver lacks, and what the sender requests in return.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Membership records that are newer at the sender.
    pub records: Vec<gossip::Record>,
    /// Entries that are newer at the sender.
    pub entries: Vec<Entry>,
    /// Verdicts of the sender.
    pub verdicts: Vec<Verdict>,
    /// Nodes whose records the sender requests.
    pub want_records: Vec<SocketAddr>,
    /// Keys whose entries the sender requests.
    pub want_entries: Vec<String>,
    /// Whether this is the sender's last frame of this kind.
    pub last: bool,
}

/// The value of one store key at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key in the store.
    pub key: String,
    /// Store revision at which the key was last written or deleted.
    pub revision: u64,
    /// The value; `None` if the key was deleted at that revision.
    pub value: Option<serde_bytes::ByteBuf>,
}

/// The finding that a version is bad: its rollout, declared by one revision of a service's
/// document, was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The service.
    pub service: String,
    /// Store revision of the document.
    pub revision: u64,
    /// The version that was rolled back.
    pub version: String,
}
