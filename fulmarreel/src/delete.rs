//! Deletes a document, with a compare-and-swap on the revision that the operator read.

use crate::stored::Documents;
use fulmarreel_document::{Document, Service};
use fulmarreel_store::{Revision, Store, Transaction, keys::Key};

/// Why a document was not deleted, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store has no document of the service.
    #[error("{service}: no document in the store")]
    NotFound {
        /// The service.
        service: String,
    },
    /// Another document has a route to the service.
    #[error("{service}: not deleted: the document of '{other}' has a route to it")]
    InUse {
        /// The service.
        service: String,
        /// The service with the route.
        other: String,
    },
    /// The document is not at the revision that the operator read.
    #[error(
        "{service}: not deleted: revision {read} was read, but revision {found} is in the store"
    )]
    Conflict {
        /// The service.
        service: String,
        /// The revision that was read.
        read: Revision,
        /// The revision in the store.
        found: Revision,
    },
    /// The store failed, and nothing was deleted.
    #[error("{service}: not deleted: {source}")]
    Store {
        /// The service.
        service: String,
        /// The store's error.
        source: fulmarreel_store::Error,
    },
    /// The reply was lost, and reading the key back did not settle the outcome.
    #[error("{service}: may have been deleted: {source}; run 'get' before trying again")]
    Unknown {
        /// The service.
        service: String,
        /// The store's error.
        source: fulmarreel_store::Error,
    },
}

/// Deletes the document of a service at the revision that was read.
///
/// # Errors
///
/// The document does not exist, another document routes to it, its revision differs, or the store
/// failed.
pub async fn delete(
    store: &impl Store,
    service: &Service,
    read: Revision,
    stored: &Documents,
) -> Result<(), Error> {
    let name = || service.to_string();
    let Some(current) = stored.get(service) else {
        return Err(Error::NotFound { service: name() });
    };
    let conflict_error = |found| Error::Conflict {
        service: name(),
        read,
        found,
    };
    if current.revision != read {
        return Err(conflict_error(current.revision));
    }
    if let Some(other) = dependent(service, stored) {
        let service = name();
        return Err(Error::InUse { service, other });
    }
    let key = Key::Document {
        service: service.as_str(),
    }
    .to_string();
    let transaction = Transaction::new()
        .when_mod_revision(&key, read)
        .delete(&key);
    match store.commit(&transaction).await {
        Ok(fulmarreel_store::Outcome::Written(_)) => Ok(()),
        Ok(fulmarreel_store::Outcome::Conflict(found)) => Err(conflict_error(
            found
                .first()
                .map_or(Revision::ABSENT, |entry| entry.mod_revision),
        )),
        // A deleted key has no value that would tell who deleted it; an absent key counts as success.
        Err(source) if source.is_outcome_unknown() => match store.get(&key).await {
            Ok(None) => Ok(()),
            _ => Err(Error::Unknown {
                service: name(),
                source,
            }),
        },
        Err(source) => Err(Error::Store {
            service: name(),
            source,
        }),
    }
}

/// A service whose document has a route to `service`.
fn dependent(service: &Service, stored: &Documents) -> Option<String> {
    let routes_to_service =
        |document: &Document| document.dependencies().any(|other| other == service);
    stored
        .0
        .iter()
        .find(|(_, stored)| stored.document.as_ref().is_ok_and(routes_to_service))
        .map(|(name, _)| name.clone())
}
