//! Checks documents against the clock and against each other, without writing anything.

use crate::{
    File,
    file::Error,
    stored::{Documents, StoredDocument},
};
use fulmarreel_document::{Document, check, rollout::Timestamp, source};

/// What documents are checked against.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The documents in the store, if they were read.
    pub stored: Option<&'a Documents>,
}

/// Checks every file; returns one error for each invalid file.
pub fn check(files: &[File], options: Options<'_>) -> Vec<Error> {
    let errors = files.iter().filter_map(|file| {
        check_file(files, file, options)
            .err()
            .map(|source| Error::RuleViolation {
                path: file.path.clone(),
                source,
            })
    });
    errors.collect()
}

fn check_file(files: &[File], file: &File, options: Options<'_>) -> Result<(), source::Error> {
    let stored = options
        .stored
        .and_then(|all| all.get(file.document.service()));
    // A move that was accepted before its deadline stays valid when other parts of its document
    // change after that deadline.
    if !stored.is_some_and(|stored| declares_same_move(stored, &file.document)) {
        check::deadline(&file.text, &file.document, options.now)?;
    }
    check::destinations(&file.text, &file.document, |service| {
        let is_given = files.iter().any(|file| file.document.service() == service);
        is_given || options.stored.is_some_and(|all| all.get(service).is_some())
    })
}

fn declares_same_move(stored: &StoredDocument, document: &Document) -> bool {
    let stored_move = stored.document.as_ref().ok().and_then(Document::rollout);
    let identity =
        |rollout: &fulmarreel_document::Rollout| (rollout.to().clone(), rollout.complete_by());
    stored_move.map(identity) == document.rollout().map(identity)
}
