//! Counts control traffic by kind of message, distance and direction.
//!
//! Only the bytes of the messages count, without UDP, TCP and IP headers.

use fulmarreel_distribution::comparison::Distance;
use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
};

/// A kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A probe, or a request to another node to send one.
    Ping,
    /// The acknowledgement of a probe.
    Ack,
    /// Membership records.
    Gossip,
    /// Entries and verdicts that are sent to all nodes.
    Push,
    /// A message of a comparison between two nodes.
    Exchange,
}

/// Whether a message was sent or received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// To a peer.
    Sent,
    /// From a peer.
    Received,
}

const KINDS: [Kind; 5] = [
    Kind::Ping,
    Kind::Ack,
    Kind::Gossip,
    Kind::Push,
    Kind::Exchange,
];
const DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::OtherRegion];
const DIRECTIONS: [Direction; 2] = [Direction::Sent, Direction::Received];

/// Numbers of messages and bytes since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    counters: [[[Counter; 2]; 3]; 5],
}

#[derive(Debug, Default)]
struct Counter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// The values of one counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes in them.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn count(&self, kind: Kind, distance: Distance, direction: Direction, bytes: usize) {
        let counter = &self.counters[kind as usize][distance as usize][direction as usize];
        let bytes = bytes as u64;
        counter.messages.fetch_add(1, Ordering::Relaxed);
        counter.bytes.fetch_add(bytes, Ordering::Relaxed);
        let labels = [
            ("kind", kind.name()),
            ("distance", distance_name(distance)),
            ("direction", direction.name()),
        ];
        metrics::counter!("fulmarreel_control_messages_total", &labels).increment(1);
        metrics::counter!("fulmarreel_control_bytes_total", &labels).increment(bytes);
    }

    /// The counters that are not zero, by `kind.distance.direction`.
    pub fn snapshot(&self) -> BTreeMap<String, Count> {
        let mut snapshot = BTreeMap::new();
        for (kind, distance, direction) in all_labels() {
            let counter = &self.counters[kind as usize][distance as usize][direction as usize];
            let count = Count {
                messages: counter.messages.load(Ordering::Relaxed),
                bytes: counter.bytes.load(Ordering::Relaxed),
            };
            if count.messages > 0 {
                let distance = distance_name(distance);
                let name = format!("{}.{distance}.{}", kind.name(), direction.name());
                snapshot.insert(name, count);
            }
        }
        snapshot
    }
}

fn all_labels() -> impl Iterator<Item = (Kind, Distance, Direction)> {
    KINDS.into_iter().flat_map(|kind| {
        DISTANCES.into_iter().flat_map(move |distance| {
            DIRECTIONS
                .into_iter()
                .map(move |direction| (kind, distance, direction))
        })
    })
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Self::Ping => "ping",
            Self::Ack => "ack",
            Self::Gossip => "news",
            Self::Push => "push",
            Self::Exchange => "exchange",
        }
    }
}

impl Direction {
    fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

fn distance_name(distance: Distance) -> &'static str {
    match distance {
        Distance::Zone => "zone",
        Distance::Region => "region",
        Distance::OtherRegion => "far",
    }
}
