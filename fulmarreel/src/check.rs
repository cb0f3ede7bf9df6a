//! Checks documents against the clock and against one another, and writes nothing.

use crate::{
    File,
    file::Error,
    stored::{Documents, Stored},
};
use fulmarreel_document::{Document, check, shift::Timestamp, source};

/// What the rules are applied with.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The documents in the store, if it was asked.
    pub stored: Option<&'a Documents>,
}

/// Applies every rule; the errors are one for each refused file.
pub fn check(files: &[File], options: Options<'_>) -> Vec<Error> {
    let refused = files.iter().filter_map(|file| {
        rules(files, file, options).err().map(|source| Error::Rule {
            path: file.path.clone(),
            source,
        })
    });
    refused.collect()
}

fn rules(files: &[File], file: &File, options: Options<'_>) -> Result<(), source::Error> {
    let stored = options
        .stored
        .and_then(|all| all.get(file.document.service()));
    // A move that was accepted in time stays valid while the rest of its document changes.
    if !stored.is_some_and(|stored| declares_same_move(stored, &file.document)) {
        check::deadline(&file.text, &file.document, options.now)?;
    }
    check::destinations(&file.text, &file.document, |service| {
        let given = files.iter().any(|file| file.document.service() == service);
        given || options.stored.is_some_and(|all| all.get(service).is_some())
    })
}

fn declares_same_move(stored: &Stored, document: &Document) -> bool {
    let before = stored.document.as_ref().ok().and_then(Document::shift);
    let key = |shift: &fulmarreel_document::Shift| (shift.to().clone(), shift.complete_by());
    before.map(key) == document.shift().map(key)
}
