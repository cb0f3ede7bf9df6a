//! Frames of a call between the node that took it and the node in front of its target.
//!
//! A call is named by the `sequence` that the opening node gave it; with the opening node's
//! address and boot time from the [`Hello`](crate::Hello) it is unique in the mesh.

use serde::{Deserialize, Serialize};

/// The most body bytes in one [`Chunk`].
pub const MAX_CHUNK_BYTES: usize = 32_768;

/// The longest answer that is sent as a whole and kept for a query; longer ones are streamed.
pub const MAX_WHOLE_BYTES: u64 = 65_536;

/// Bytes of a streamed answer that may be sent before any [`Frame::Credit`].
pub const WINDOW_BYTES: u32 = 262_144;

/// One message about one call, or about the connection itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a call.
    Open(Open),
    /// Part of a request body or of an answer's body.
    Chunk(Chunk),
    /// Status and headers of an answer.
    Head(Head),
    /// The call was not handed to the target, and never will be.
    Refused(Refused),
    /// The call was handed to the target, and its answer cannot be had.
    Failed(Failed),
    /// The opening node no longer wants the answer.
    Cancel {
        /// The call.
        sequence: u64,
    },
    /// The opening node lost a connection and asks what became of a call.
    Query {
        /// The call.
        sequence: u64,
    },
    /// What became of a call that was asked for.
    State {
        /// The call.
        sequence: u64,
        /// Its state at the answering node.
        state: State,
    },
    /// The receiver of a body has room for more of it.
    Credit {
        /// The call.
        sequence: u64,
        /// Further bytes that may be sent.
        bytes: u32,
    },
    /// Asks for a [`Frame::Pong`] at once.
    Ping {
        /// Repeated in the answer.
        token: u64,
    },
    /// Answers a [`Frame::Ping`].
    Pong {
        /// The token of the ping.
        token: u64,
    },
    /// The sender's target takes no new calls from now on.
    Leaving,
    /// The sender's target takes new calls again.
    Accepting,
    /// The opening node's first frame; orders its connections to this peer.
    Begin {
        /// Higher than those of its earlier connections. Nothing that still arrives on one of
        /// these opens a call.
        generation: u64,
        /// Whether it opened calls on an earlier connection to this process.
        resumed: bool,
    },
}

/// Opens a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// Names the call among those of the opening node.
    pub sequence: u64,
    /// Time left to its deadline in milliseconds; clocks are not compared across nodes.
    pub remaining_ms: u32,
    /// Within how many milliseconds it wants a slot.
    pub wanted_ms: u32,
    /// After how many milliseconds it no longer waits for one.
    pub latest_ms: u32,
    /// How many targets it was sent to before.
    pub attempt: u8,
    /// How many calls led to this one.
    pub depth: u8,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Its rank among the calls that wait for a slot, 0 for the most urgent.
    pub rank: u8,
    /// The service called.
    pub service: String,
    /// The version that the opening node chose.
    pub version: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers of the request that travel end to end.
    pub headers: Vec<Header>,
    /// Length of the body in bytes; the [`Chunk`]s must add up to it.
    pub length: u64,
}

/// Cuts a body into the [`Chunk`]s of a call; an empty body is one empty chunk.
pub fn chunks(sequence: u64, body: &[u8]) -> impl Iterator<Item = Chunk> {
    let total = body.len();
    let starts = (0..total.max(1)).step_by(MAX_CHUNK_BYTES);
    starts.map(move |start| {
        let end = (start + MAX_CHUNK_BYTES).min(total);
        Chunk {
            sequence,
            offset: start as u64,
            bytes: body[start..end].to_vec(),
            last: end == total,
        }
    })
}

/// One HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Part of a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The call.
    pub sequence: u64,
    /// Where in the body the bytes belong.
    pub offset: u64,
    /// The bytes, at most [`MAX_CHUNK_BYTES`].
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether the body ends with these bytes.
    pub last: bool,
}

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The call.
    pub sequence: u64,
    /// HTTP status.
    pub status: u16,
    /// Headers of the answer that travel end to end.
    pub headers: Vec<Header>,
    /// Length of the body in bytes where the target stated one.
    pub length: Option<u64>,
    /// Time from hand-over to the answer's head in microseconds.
    pub target_micros: u32,
    /// Calls in the target's slots, this one included.
    pub in_flight: u16,
    /// The target's slots.
    pub slots: u16,
}

/// The call was not run, and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The call.
    pub sequence: u64,
    /// Why.
    pub reason: Refusal,
    /// When it may be worth asking again, in milliseconds from now; 0 where that is not known.
    pub retry_after_ms: u32,
}

impl Refused {
    /// A refusal that does not say when to ask again.
    pub fn new(sequence: u64, reason: Refusal) -> Self {
        Self {
            sequence,
            reason,
            retry_after_ms: 0,
        }
    }
}

/// Why a call was not handed to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Every slot is taken and the queue is full, or the deadline cannot be met.
    Overloaded,
    /// The target is leaving.
    Leaving,
    /// This node has no target of that service and version.
    NoTarget,
    /// The opening node cancelled it in time.
    Cancelled,
    /// The deadline passed before it was handed over.
    Deadline,
    /// No connection to the target could be opened.
    Unreachable,
    /// The request did not arrive whole.
    Incomplete,
}

impl Refusal {
    /// The reason's name, as in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Leaving => "leaving",
            Self::NoTarget => "no-target",
            Self::Cancelled => "cancelled",
            Self::Deadline => "deadline",
            Self::Unreachable => "unreachable",
            Self::Incomplete => "incomplete",
        }
    }
}

/// The call was handed to the target, and its answer cannot be had.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// The call.
    pub sequence: u64,
    /// Why.
    pub reason: Failure,
}

/// Why the outcome of a call is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The target closed the connection without a whole answer.
    TargetLost,
    /// The deadline passed while the target ran it.
    Deadline,
    /// The answer is no longer kept.
    Forgotten,
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Not handed over, and from now on never will be.
    NotRun,
    /// Handed over; its answer follows on this connection.
    Running,
    /// Answered; the kept answer follows on this connection.
    Answered,
    /// Handed over, and its answer cannot be had.
    Unknown,
}
