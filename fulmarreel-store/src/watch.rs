//! Watches and the events that they deliver.

use crate::{Entry, Error, Revision};
use std::future::Future;

/// One change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, by a transaction or with its lease.
    Delete {
        /// The full key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

impl Event {
    /// The revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// Events in the order of their revisions; empty for a progress notification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Every event up to this revision has been delivered: a new watch resumes from the next one.
    pub revision: Revision,
    /// The events; those of one revision are never split across batches.
    pub events: Vec<Event>,
}

/// An open watch.
pub trait Watch {
    /// Waits for the next batch. Cancel-safe: no batch is lost if the future is dropped and `next` is
    /// called again.
    ///
    /// After an error the watch delivers no more batches.
    fn next(&mut self) -> impl Future<Output = Result<Batch, Error>> + Send;
}
