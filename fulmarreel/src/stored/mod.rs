//! What the store holds: documents, states of moves, and their outcomes.

mod read;

pub(crate) use read::decode;
pub use read::{documents, history, moves};

use fulmarreel_document::{Document, Service, parse};
use fulmarreel_rollout::{State, publication};
use fulmarreel_store::Revision;
use std::collections::BTreeMap;

/// A document in the store.
#[derive(Debug)]
pub struct Stored {
    /// The revision of its last write.
    pub revision: Revision,
    /// The document as it was written.
    pub text: String,
    /// The document, or why it is none.
    pub document: Result<Document, parse::Error>,
}

/// The documents in the store by service.
#[derive(Debug, Default)]
pub struct Documents(pub BTreeMap<String, Stored>);

impl Documents {
    /// The stored document of a service.
    pub fn get(&self, service: &Service) -> Option<&Stored> {
        self.0.get(service.as_str())
    }

    /// The revision of a service's document; [`Revision::ABSENT`] where there is none.
    pub fn revision(&self, service: &Service) -> Revision {
        self.get(service)
            .map_or(Revision::ABSENT, |stored| stored.revision)
    }
}

/// The state of a move in the store, or its outcome.
#[derive(Debug)]
pub struct Move {
    /// The service.
    pub service: String,
    /// The number of a kept outcome, which is the revision of the document that declared the move;
    /// `None` for the state of the present move.
    pub number: Option<u64>,
    /// The state, or what the value is instead.
    pub state: Result<State, Malformed>,
}

/// A value that is no state of a move.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {source}")]
pub struct Malformed {
    /// The store's key.
    pub key: String,
    /// What is wrong with the value.
    pub source: publication::Error,
}
