//! Compares documents with those in the store, without writing anything.

use crate::{File, stored::Documents};
use fulmarreel_store::Revision;
use similar::TextDiff;

/// Unchanged lines shown before and after each change.
const CONTEXT_LINES: usize = 3;

/// How a document differs from the stored one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The store has no document of the service.
    Added,
    /// The texts are the same.
    Unchanged,
    /// The texts differ, as this unified diff shows.
    Changed(String),
}

/// The comparison of one document.
#[derive(Debug)]
pub struct Outcome {
    /// The service.
    pub service: String,
    /// The revision in the store; [`Revision::ABSENT`] where there is none.
    pub revision: Revision,
    /// How the given document differs from the stored one.
    pub change: Change,
}

/// Compares each document with the stored document of its service.
pub fn diff(files: &[File], stored: &Documents) -> Vec<Outcome> {
    files.iter().map(|file| compare(file, stored)).collect()
}

fn compare(file: &File, stored: &Documents) -> Outcome {
    let service = file.document.service();
    let change = match stored.get(service) {
        None => Change::Added,
        Some(stored) if stored.text == file.text => Change::Unchanged,
        Some(stored) => {
            let name = file.path.display().to_string();
            let diff = TextDiff::from_lines(&stored.text, &file.text);
            let mut unified = diff.unified_diff();
            unified.context_radius(CONTEXT_LINES);
            unified.header(&format!("{service} at revision {}", stored.revision), &name);
            Change::Changed(unified.to_string())
        }
    };
    Outcome {
        service: service.to_string(),
        revision: stored.revision(service),
        change,
    }
}
