//! Writes documents to the store, each by compare-and-swap on the revision that was read.

use crate::{File, stored::Documents};
use fulmarreel_store::{self as platform, Revision, Store, Transaction, keys::Key};
use std::collections::BTreeSet;

/// How documents are applied.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// The revision that the operator read; for a single document.
    pub revision: Option<Revision>,
}

/// What became of one document.
#[derive(Debug)]
pub enum Outcome {
    /// It is in the store at this revision.
    Written(Revision),
    /// The store held the same text already, at this revision.
    Unchanged(Revision),
    /// An earlier document of the same run was not written, so this one was not tried.
    NotTried,
}

/// Why a document was not written, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Someone else changed the document since it was read.
    #[error(
        "{service}: not written: revision {read} was read, but revision {found} is in the store; get it, merge and apply again"
    )]
    Conflict {
        /// The service.
        service: String,
        /// The revision that was read.
        read: Revision,
        /// The revision in the store; [`Revision::ABSENT`] if it was deleted.
        found: Revision,
    },
    /// The store failed, and nothing was written.
    #[error("{service}: not written: {source}")]
    Store {
        /// The service.
        service: String,
        /// The store's error.
        source: platform::Error,
    },
    /// The reply to the write was lost and reading back did not tell.
    #[error("{service}: may have been written: {source}; compare with 'diff' before a new try")]
    Unknown {
        /// The service.
        service: String,
        /// The store's error.
        source: platform::Error,
    },
}

/// One document's result.
#[derive(Debug)]
pub struct Applied {
    /// The service.
    pub service: String,
    /// What became of it.
    pub result: Result<Outcome, Error>,
}

/// Writes each document, those that others route to first; stops at the first that fails.
///
/// The documents must have passed [`check`](crate::check::check()) against `stored`.
pub async fn apply(
    store: &impl Store,
    files: &[File],
    stored: &Documents,
    options: Options,
) -> Vec<Applied> {
    let mut stopped = false;
    let mut applied = Vec::with_capacity(files.len());
    for file in in_order(files) {
        let result = if stopped {
            Ok(Outcome::NotTried)
        } else {
            one(store, file, stored, options).await
        };
        stopped |= result.is_err();
        applied.push(Applied {
            service: file.document.service().to_string(),
            result,
        });
    }
    applied
}

async fn one(
    store: &impl Store,
    file: &File,
    stored: &Documents,
    options: Options,
) -> Result<Outcome, Error> {
    let service = file.document.service();
    let found = stored.revision(service);
    let read = options.revision.unwrap_or(found);
    if read != found {
        return Err(Error::Conflict {
            service: service.to_string(),
            read,
            found,
        });
    }
    if stored
        .get(service)
        .is_some_and(|stored| stored.text == file.text)
    {
        return Ok(Outcome::Unchanged(found));
    }
    write(store, service.as_str(), &file.text, read).await
}

async fn write(
    store: &impl Store,
    service: &str,
    text: &str,
    read: Revision,
) -> Result<Outcome, Error> {
    let key = Key::Document { service }.to_string();
    let transaction = Transaction::new()
        .when_revision(&key, read)
        .put(&key, text.as_bytes());
    let service = service.to_owned();
    match store.commit_checked(&transaction).await {
        Ok(platform::Outcome::Written(revision)) => Ok(Outcome::Written(revision)),
        Ok(platform::Outcome::Conflict(found)) => Err(Error::Conflict {
            service,
            read,
            found: found
                .first()
                .map_or(Revision::ABSENT, |entry| entry.revision),
        }),
        Err(source) if source.is_unknown() => Err(Error::Unknown { service, source }),
        Err(source) => Err(Error::Store { service, source }),
    }
}

/// Each file after those whose services it routes to; a circle keeps the order given.
fn in_order(files: &[File]) -> Vec<&File> {
    let (mut ordered, mut seen) = (Vec::new(), BTreeSet::new());
    for file in files {
        visit(files, file, &mut seen, &mut ordered);
    }
    ordered
}

fn visit<'a>(
    files: &'a [File],
    file: &'a File,
    seen: &mut BTreeSet<&'a str>,
    ordered: &mut Vec<&'a File>,
) {
    if !seen.insert(file.document.service().as_str()) {
        return;
    }
    for service in file.document.dependencies() {
        let other = files.iter().find(|file| file.document.service() == service);
        if let Some(other) = other {
            visit(files, other, seen, ordered);
        }
    }
    ordered.push(file);
}
