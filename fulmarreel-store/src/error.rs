//! Errors of store operations.

use crate::Revision;
use std::{fmt, time::Duration};

/// The operation that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Reading one key.
    Get,
    /// Reading a prefix.
    List,
    /// Writing a transaction.
    Commit,
    /// Granting a lease.
    Grant,
    /// Renewing a lease.
    KeepAlive,
    /// Revoking a lease.
    Revoke,
    /// Opening or reading a watch.
    Watch,
}

impl fmt::Display for Operation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Commit => "commit",
            Self::Grant => "grant lease",
            Self::KeepAlive => "keep lease alive",
            Self::Revoke => "revoke lease",
            Self::Watch => "watch",
        })
    }
}

/// The operation, key and address that an error belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// The operation.
    pub operation: Operation,
    /// The key, the prefix, the first key written, or the lease's id.
    pub key: String,
    /// The store address that was tried last.
    pub peer: String,
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            operation,
            key,
            peer,
        } = self;
        write!(f, "{operation} {key:?} at {peer}")
    }
}

/// A failed operation of the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The client was configured without a store address.
    #[error("no store address was given")]
    NoAddress,
    /// A value over the store's size limit; nothing was sent.
    #[error("commit {key:?}: a value of {size} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// The key of the value.
        key: String,
        /// The value's size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// No address accepted the connection: the operation was never sent and had no effect.
    #[error("{site}: never sent: {reason}")]
    NotSent {
        /// The operation that failed.
        site: Site,
        /// Why the connection failed.
        reason: String,
    },
    /// A read, or another operation that is safe to retry, got no response.
    #[error("{site}: no answer: {reason}")]
    NoResponse {
        /// The operation that failed.
        site: Site,
        /// What happened instead.
        reason: String,
    },
    /// The response to a write was lost: the write may have taken effect, or may still do so.
    #[error("{site}: the outcome is unknown: {reason}")]
    OutcomeUnknown {
        /// The operation that failed.
        site: Site,
        /// What happened instead of the response.
        reason: String,
    },
    /// The store rejected the operation, which had no effect.
    #[error("{site}: refused with status {status}: {message}")]
    Refused {
        /// The operation that failed.
        site: Site,
        /// The HTTP status.
        status: u16,
        /// The message from the store.
        message: String,
    },
    /// The lease has expired, and its keys have been deleted.
    #[error("{site}: the lease has expired")]
    LeaseExpired {
        /// The operation that failed.
        site: Site,
    },
    /// A response that violates the protocol.
    #[error("{site}: malformed response: {reason}")]
    Malformed {
        /// The operation that failed.
        site: Site,
        /// What is wrong with it.
        reason: String,
    },
    /// A watch received no byte within the caller's idle timeout.
    #[error("{site}: silent for {idle:?}")]
    IdleTimeout {
        /// The operation that failed.
        site: Site,
        /// The idle timeout that the caller set.
        idle: Duration,
    },
    /// The requested history has been compacted: list again, then watch.
    #[error("{site}: revision {from} has been compacted, the oldest kept is {oldest}")]
    Compacted {
        /// The operation that failed.
        site: Site,
        /// The requested revision; 0 where the client does not know it.
        from: Revision,
        /// The oldest revision still available; 0 where the store doesn't say.
        oldest: Revision,
    },
    /// The store cancelled the watch.
    #[error("{site}: cancelled by the store: {reason}")]
    Cancelled {
        /// The operation that failed.
        site: Site,
        /// The message from the store.
        reason: String,
    },
    /// The watch's connection ended.
    #[error("{site}: the connection ended: {reason}")]
    Disconnected {
        /// The operation that failed.
        site: Site,
        /// How the connection ended.
        reason: String,
    },
}

impl Error {
    /// Whether a write may or may not have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self, Self::OutcomeUnknown { .. })
    }
}
