//! Changes as a watch delivers them.

use crate::{Entry, Error, Revision};
use std::future::Future;

/// One change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, by a call or with its lease.
    Delete {
        /// The whole key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

impl Event {
    /// The revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// Events in the order of their revisions; none at all for a report of progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Every event up to here has been delivered: a new watch goes on from the next one.
    pub revision: Revision,
    /// The changes; those of one revision are never split over batches.
    pub events: Vec<Event>,
}

/// An open watch; it counts as one call for as long as it is kept.
pub trait Watch {
    /// Waits for the next batch. No batch is lost when the wait is given up and begun again.
    ///
    /// After an error the watch is over.
    fn next(&mut self) -> impl Future<Output = Result<Batch, Error>> + Send;
}
