//! Writes documents to the store, each with a compare-and-swap on the revision that was read.

use crate::{File, stored::Documents};
use fulmarreel_store::{Revision, Store, Transaction, keys::Key};
use std::collections::BTreeSet;

/// Options of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// The revision that the operator read, which must still be the stored revision. `None` takes the
    /// revision in `stored`. Valid for a single document only.
    pub revision: Option<Revision>,
}

/// The outcome for one document without an error.
#[derive(Debug)]
pub enum Outcome {
    /// The document was written at this revision.
    Written(Revision),
    /// The store already holds the same text, at this revision.
    Unchanged(Revision),
    /// Not attempted, because an earlier document of the same run failed.
    NotTried,
}

/// Why a document was not written, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The document was changed concurrently since it was read.
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
        source: fulmarreel_store::Error,
    },
    /// The reply to the write was lost, and reading the key back did not settle the outcome.
    #[error("{service}: may have been written: {source}; run 'diff' before trying again")]
    Unknown {
        /// The service.
        service: String,
        /// The store's error.
        source: fulmarreel_store::Error,
    },
}

/// The result for one document.
#[derive(Debug)]
pub struct ApplyResult {
    /// The service.
    pub service: String,
    /// Whether it was written.
    pub result: Result<Outcome, Error>,
}

/// Writes each document after those that it routes to, and stops at the first failure.
///
/// The documents must have passed [`check`](crate::check::check()) against `stored`.
pub async fn apply(
    store: &impl Store,
    files: &[File],
    stored: &Documents,
    options: Options,
) -> Vec<ApplyResult> {
    let mut failed = false;
    let mut results = Vec::with_capacity(files.len());
    for file in sort_by_dependencies(files) {
        let result = if failed {
            Ok(Outcome::NotTried)
        } else {
            apply_one(store, file, stored, options).await
        };
        failed |= result.is_err();
        results.push(ApplyResult {
            service: file.document.service().to_string(),
            result,
        });
    }
    results
}

async fn apply_one(
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
        .when_mod_revision(&key, read)
        .put(&key, text.as_bytes());
    let service = service.to_owned();
    match store.commit_with_read_back(&transaction).await {
        Ok(fulmarreel_store::Outcome::Written(revision)) => Ok(Outcome::Written(revision)),
        Ok(fulmarreel_store::Outcome::Conflict(found)) => Err(Error::Conflict {
            service,
            read,
            found: found
                .first()
                .map_or(Revision::ABSENT, |entry| entry.mod_revision),
        }),
        Err(source) if source.is_outcome_unknown() => Err(Error::Unknown { service, source }),
        Err(source) => Err(Error::Store { service, source }),
    }
}

/// Sorts the files so that each comes after the files of the services it routes to.
///
/// Files that route to each other in a cycle are ordered by a depth-first search from the first
/// file given.
fn sort_by_dependencies(files: &[File]) -> Vec<&File> {
    let (mut ordered, mut visited) = (Vec::new(), BTreeSet::new());
    for file in files {
        append_with_dependencies(files, file, &mut visited, &mut ordered);
    }
    ordered
}

/// Appends a file to `ordered`, after the files that it depends on.
fn append_with_dependencies<'a>(
    files: &'a [File],
    file: &'a File,
    visited: &mut BTreeSet<&'a str>,
    ordered: &mut Vec<&'a File>,
) {
    if !visited.insert(file.document.service().as_str()) {
        return;
    }
    for service in file.document.dependencies() {
        let dependency = files.iter().find(|file| file.document.service() == service);
        if let Some(dependency) = dependency {
            append_with_dependencies(files, dependency, visited, ordered);
        }
    }
    ordered.push(file);
}
