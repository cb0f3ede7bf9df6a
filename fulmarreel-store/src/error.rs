//! What can go wrong between a caller and the store.

use crate::Revision;
use std::{fmt, time::Duration};

/// The operation that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
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
    /// Ending a lease.
    Revoke,
    /// Opening or reading a watch.
    Watch,
}

impl fmt::Display for Step {
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

/// Where an error arose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// The operation.
    pub step: Step,
    /// The key, the prefix, the first key written, or the lease's id.
    pub key: String,
    /// The store's address that was asked last.
    pub peer: String,
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, key, peer } = self;
        write!(f, "{step} {key:?} at {peer}")
    }
}

/// A failed operation of the store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No store address was given.
    #[error("no store address was given")]
    NoAddress,
    /// A value over the platform's limit; nothing was sent.
    #[error("commit {key:?}: a value of {size} bytes is over the limit of {limit} bytes")]
    TooLarge {
        /// The key of the value.
        key: String,
        /// The value's size in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// No address took the connection: the operation was never sent and had no effect.
    #[error("{site}: never sent: {reason}")]
    NotSent {
        /// Where it arose.
        site: Site,
        /// What the connection failed with.
        reason: String,
    },
    /// A read, or an operation that may be repeated freely, got no answer.
    #[error("{site}: no answer: {reason}")]
    Unanswered {
        /// Where it arose.
        site: Site,
        /// What was seen instead.
        reason: String,
    },
    /// A write's reply was lost: it may have taken effect, or may still do so.
    #[error("{site}: the outcome is unknown: {reason}")]
    Unknown {
        /// Where it arose.
        site: Site,
        /// What was seen instead of the reply.
        reason: String,
    },
    /// The store refused the operation, which had no effect.
    #[error("{site}: refused with status {status}: {message}")]
    Refused {
        /// Where it arose.
        site: Site,
        /// The HTTP status.
        status: u16,
        /// The store's own words.
        message: String,
    },
    /// The lease is gone, and with it its keys.
    #[error("{site}: the lease has expired")]
    Expired {
        /// Where it arose.
        site: Site,
    },
    /// An answer that doesn't keep to the protocol.
    #[error("{site}: malformed answer: {reason}")]
    Malformed {
        /// Where it arose.
        site: Site,
        /// What is wrong with it.
        reason: String,
    },
    /// A watch without a single byte for the time that the caller bears.
    #[error("{site}: silent for {idle:?}")]
    Silent {
        /// Where it arose.
        site: Site,
        /// The time that the caller set.
        idle: Duration,
    },
    /// The history that was asked for is no longer kept: list again, then watch.
    #[error("{site}: revision {from} has been compacted, the oldest kept is {oldest}")]
    Compacted {
        /// Where it arose.
        site: Site,
        /// The revision that was asked for.
        from: Revision,
        /// The oldest revision that can be asked for; 0 where the store doesn't say.
        oldest: Revision,
    },
    /// The store ended the watch.
    #[error("{site}: cancelled by the store: {reason}")]
    Cancelled {
        /// Where it arose.
        site: Site,
        /// The store's own words.
        reason: String,
    },
    /// The watch's connection ended.
    #[error("{site}: the connection ended: {reason}")]
    Disconnected {
        /// Where it arose.
        site: Site,
        /// What was seen.
        reason: String,
    },
}

impl Error {
    /// Whether it is open what became of a write.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}
