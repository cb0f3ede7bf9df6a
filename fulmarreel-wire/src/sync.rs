//! Frames that carry documents, the state of moves, verdicts and membership between nodes.
//!
//! A connection carries either one [`Frame::Push`], or one comparison: `Compare` from the opening
//! node, `Differ` back, `News` from the opening node, and `News` back up to the last one.

use crate::gossip;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Groups of keys that are compared by one hash each.
pub const BUCKETS: usize = 16;

/// One message about distributed entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// New entries, to be passed on.
    Push(Push),
    /// What the opening node holds.
    Compare(Compare),
    /// Where the accepting node differs.
    Differ(Differ),
    /// What the other side lacks.
    News(News),
}

/// New entries, to be passed on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The verdicts.
    pub verdicts: Vec<Verdict>,
    /// Nodes that the receiver passes them on to.
    pub forward: Vec<SocketAddr>,
}

/// What the opening node holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Hash of the records of each zone.
    pub zones: Vec<Zone>,
    /// Hash of each group of keys and revisions, [`BUCKETS`] of them.
    pub buckets: Vec<u64>,
    /// Hash of the verdicts.
    pub verdicts: u64,
}

/// The records of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Their hash.
    pub hash: u64,
}

/// Where the accepting node differs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Differ {
    /// Whether the accepting node has itself heard from the store or enough peers.
    pub ready: bool,
    /// Zones whose records differ.
    pub zones: Vec<String>,
    /// The accepting node's records of those zones.
    pub members: Vec<Member>,
    /// Groups of keys that differ.
    pub buckets: Vec<u8>,
    /// The accepting node's keys in those groups.
    pub keys: Vec<Key>,
    /// Every verdict of the accepting node, where they differ.
    pub verdicts: Vec<Verdict>,
}

/// One record in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Names the node.
    pub address: SocketAddr,
    /// When its process started.
    pub boot: u64,
    /// The record's sequence.
    pub sequence: u32,
}

/// One key and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The store's key.
    pub key: String,
    /// The store's revision.
    pub revision: u64,
}

/// What the other side lacks, and what this side wants.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Records that are newer here.
    pub records: Vec<gossip::Record>,
    /// Entries that are newer here.
    pub entries: Vec<Entry>,
    /// Verdicts that are known here.
    pub verdicts: Vec<Verdict>,
    /// Nodes whose records are wanted.
    pub want_records: Vec<SocketAddr>,
    /// Keys whose entries are wanted.
    pub want_entries: Vec<String>,
    /// Whether no further frame of this kind follows.
    pub last: bool,
}

/// One key of the store at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The store's key.
    pub key: String,
    /// The store's revision.
    pub revision: u64,
    /// The value; `None` where the key was deleted at that revision.
    pub value: Option<serde_bytes::ByteBuf>,
}

/// A version that was taken back under one revision of a service's document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The service.
    pub service: String,
    /// The document's revision.
    pub revision: u64,
    /// The version.
    pub version: String,
}
