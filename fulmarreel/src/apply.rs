//! Writes documents to the store, each by compare-and-swap on the revision that was read.

use fulmarreel_document::{Document, parse};
use fulmarreel_platform::{Outcome, Revision, Store, Transaction, error, keys::Key};
use std::{io, path::Path};

/// Why a document was not applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: cannot be read: {source}")]
    Read {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file holds no valid document.
    #[error("{path}: {source}")]
    Document {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: parse::Error,
    },
    /// The store failed.
    #[error("{service}: {source}")]
    Store {
        /// The service.
        service: String,
        /// The store's error.
        source: error::Error,
    },
    /// Someone else changed the document since it was read.
    #[error(
        "{service}: changed by someone else: revision {read} was read, {found} is in the store"
    )]
    Conflict {
        /// The service.
        service: String,
        /// The revision that was read.
        read: Revision,
        /// The revision in the store.
        found: Revision,
    },
}

/// Applies the document of one file; returns its service and revision.
///
/// # Errors
///
/// Nothing is written where the file or the document is refused, or a conflict is found.
pub async fn apply(store: &impl Store, path: &Path) -> Result<(Document, Revision), Error> {
    let shown = || path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: shown(),
        source,
    })?;
    let document = parse(&text).map_err(|source| Error::Document {
        path: shown(),
        source,
    })?;
    let revision = write(store, &document, &text).await?;
    Ok((document, revision))
}

async fn write(store: &impl Store, document: &Document, text: &str) -> Result<Revision, Error> {
    let service = document.service().to_string();
    let failed = |source| Error::Store {
        service: service.clone(),
        source,
    };
    let key = Key::Document { service: &service }
        .checked()
        .expect("a service's name is a valid key");
    let read = store.get(&key).await.map_err(failed)?;
    let read = read.map_or(Revision::ABSENT, |entry| entry.revision);
    let transaction = Transaction::new()
        .when_revision(&key, read)
        .put(&key, text.as_bytes());
    match store.commit_checked(&transaction).await.map_err(failed)? {
        Outcome::Written(revision) => Ok(revision),
        Outcome::Conflict(found) => Err(Error::Conflict {
            read,
            found: found
                .first()
                .map_or(Revision::ABSENT, |entry| entry.revision),
            service,
        }),
    }
}
