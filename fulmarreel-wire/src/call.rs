//! Frames of calls between two nodes: the opening node, which received the call from its caller,
//! and the serving node, which is in front of the target.
//!
//! A call is identified by the `sequence` that the opening node assigned. Together with the opening
//! node's address and start time from the [`Hello`](crate::Hello) it is unique in the mesh.

use serde::{Deserialize, Serialize};

/// Limit of the body bytes in one [`Chunk`].
pub const MAX_CHUNK_BYTES: usize = 32_768;

/// Limit of a response body that is sent at once and kept for queries; longer ones are streamed.
pub const MAX_WHOLE_BYTES: u64 = 65_536;

/// Initial flow-control window: bytes of a streamed response that may be sent before the first
/// [`Frame::Credit`].
pub const WINDOW_BYTES: u32 = 262_144;

/// One message on a call or on the connection itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a call; its body follows.
    Open(Open),
    /// Part of the body of a request or a response.
    Chunk(Chunk),
    /// Status and headers of a response.
    Head(Head),
    /// The call was not handed to the target, and never will be.
    Refused(Refused),
    /// The call was handed to the target, and its response is not available.
    Failed(Failed),
    /// The opening node no longer wants the response.
    Cancel {
        /// Identifies the call.
        sequence: u64,
    },
    /// Asks for the state of a call after its connection was lost.
    Query {
        /// Identifies the call.
        sequence: u64,
    },
    /// Reply to a [`Frame::Query`], or to a [`Frame::Cancel`] that came too late.
    State {
        /// Identifies the call.
        sequence: u64,
        /// Its state at the serving node.
        state: State,
    },
    /// Flow control: the receiver of a streamed response, or of the announced body of a request, accepts
    /// more bytes. Without any, the body of the request has to wait.
    Credit {
        /// Identifies the call.
        sequence: u64,
        /// Number of additional bytes that may be sent.
        bytes: u32,
    },
    /// Keep-alive probe: asks for a [`Frame::Pong`].
    Ping {
        /// Copied into the reply.
        token: u64,
    },
    /// Reply to a [`Frame::Ping`].
    Pong {
        /// Token of the ping.
        token: u64,
    },
    /// The target of the serving node accepts no new calls from now on.
    Leaving,
    /// The target of the serving node accepts new calls again.
    Accepting,
    /// The opening node's first frame, which orders its connections to this peer.
    Begin {
        /// Higher than the generations of its earlier connections, on which no call is opened any
        /// more.
        generation: u64,
        /// Whether the opening node opened calls on an earlier connection to this process.
        resumed: bool,
    },
}

/// The request of a call, without its body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// Identifies the call among those of the opening node.
    pub sequence: u64,
    /// Time left until its deadline, in milliseconds. Relative because the clocks of nodes differ.
    pub remaining_ms: u32,
    /// Time within which it wants a slot of the target, in milliseconds.
    pub wanted_ms: u32,
    /// Time after which it no longer waits for a slot, in milliseconds.
    pub latest_ms: u32,
    /// Number of earlier attempts, including those by layers above.
    pub attempt: u8,
    /// Number of calls above this one in the chain of calls.
    pub depth: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its rank in the target's queue; 0 is the most urgent.
    pub rank: u8,
    /// The service that is called.
    pub service: String,
    /// The version of the service that the opening node selected.
    pub version: String,
    /// HTTP method.
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    /// End-to-end headers of the request.
    pub headers: Vec<Header>,
    /// Length of the body in bytes, equal to the sum of its [`Chunk`]s.
    pub length: u64,
}

impl Open {
    /// The first value of a header, by its name in any case; `None` if it is not UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok()
    }
}

/// Splits a body into the [`Chunk`]s of a call; an empty body yields one empty chunk.
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
    /// Name of the header.
    pub name: String,
    /// Value of the header, which need not be UTF-8.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Part of the body of a request or a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identifies the call.
    pub sequence: u64,
    /// Offset of the bytes in the body.
    pub offset: u64,
    /// At most [`MAX_CHUNK_BYTES`] of the body.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether this is the last chunk of the body.
    pub last: bool,
}

/// Status and headers of a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Identifies the call.
    pub sequence: u64,
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers of the response.
    pub headers: Vec<Header>,
    /// Length of the body in bytes, if known.
    pub length: Option<u64>,
    /// Time from handing the call to the target to the head of its response, in microseconds.
    pub target_micros: u32,
    /// Load of the target: calls in its slots and in its queue.
    pub in_flight: u16,
    /// Calls that the target runs concurrently.
    pub slots: u16,
}

/// Refusal of a call, which was not run and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Identifies the call.
    pub sequence: u64,
    /// Why the call was refused.
    pub reason: Refusal,
    /// Delay after which a retry may succeed, in milliseconds; 0 if unknown.
    pub retry_after_ms: u32,
}

impl Refused {
    /// Creates a refusal without a delay for retries.
    pub fn new(sequence: u64, reason: Refusal) -> Self {
        Self {
            sequence,
            reason,
            retry_after_ms: 0,
        }
    }
}

/// Reason for which a call was not handed to the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// All slots are taken, and the queue is full or the deadline cannot be met.
    Overloaded,
    /// The target is leaving.
    Leaving,
    /// The serving node has no target of that service and version.
    NoTarget,
    /// The opening node cancelled the call before it was handed over.
    Cancelled,
    /// The deadline passed before the call was handed over.
    Deadline,
    /// No connection to the target could be opened.
    Unreachable,
    /// The request did not arrive completely.
    Incomplete,
}

impl Refusal {
    /// Name of the reason in logs and metrics.
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

/// Failure of a call that was handed to the target; its response is not available.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    /// Identifies the call.
    pub sequence: u64,
    /// Why the response is not available.
    pub reason: Failure,
}

/// Reason for which the outcome of a call is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// The target closed the connection before its response was complete.
    TargetLost,
    /// The deadline passed while the target ran the call.
    Deadline,
    /// The response is no longer kept.
    Forgotten,
}

/// The state of a call at the serving node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Not handed to the target, and never will be.
    NotRun,
    /// Queued or handed to the target; its outcome follows on this connection.
    Running,
    /// Answered; the kept response follows on this connection.
    Answered,
    /// It may have run, and its response is not available.
    Unknown,
}
