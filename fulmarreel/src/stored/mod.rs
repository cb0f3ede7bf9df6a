//! Documents, states of moves and outcomes of moves, as the store has them.

mod read;

pub(crate) use read::decode_publication;
pub use read::{documents, history, moves};

use fulmarreel_document::{Document, Service, parse};
use fulmarreel_rollout::{State, publication};
use fulmarreel_store::Revision;
use std::collections::BTreeMap;

/// A document in the store.
#[derive(Debug)]
pub struct StoredDocument {
    /// The revision of its last write.
    pub revision: Revision,
    /// The document's text as it was written.
    pub text: String,
    /// The parsed document, or why the text is not a valid one.
    pub document: Result<Document, parse::Error>,
}

/// The documents in the store, by service.
#[derive(Debug, Default)]
pub struct Documents(pub BTreeMap<String, StoredDocument>);

impl Documents {
    /// The stored document of a service.
    pub fn get(&self, service: &Service) -> Option<&StoredDocument> {
        self.0.get(service.as_str())
    }

    /// The revision of a service's document; [`Revision::ABSENT`] where there is none.
    pub fn revision(&self, service: &Service) -> Revision {
        self.get(service)
            .map_or(Revision::ABSENT, |document| document.revision)
    }
}

/// The state of the current move of a service, or the recorded outcome of a past one.
#[derive(Debug)]
pub struct Move {
    /// The service.
    pub service: String,
    /// For a recorded outcome, the number in its key: the revision of the document that declared the
    /// move. `None` for the state of the current move.
    pub number: Option<u64>,
    /// The state, or why the value cannot be decoded.
    pub state: Result<State, MalformedState>,
}

/// A value that cannot be decoded as the state of a move.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {source}")]
pub struct MalformedState {
    /// The store's key.
    pub key: String,
    /// What is wrong with the value.
    pub source: publication::Error,
}
