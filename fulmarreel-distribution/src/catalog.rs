//! The entries that a node knows, each at the highest revision that it has seen.

use fulmarreel_document::{Document, parse};
use std::{collections::BTreeMap, sync::Arc};

/// One entry of the store at one revision.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The store's revision.
    pub revision: u64,
    /// The checked document; `None` where it was deleted at that revision.
    pub document: Option<Arc<Document>>,
}

/// What became of an offered value.
#[derive(Debug)]
pub enum Outcome {
    /// It is the newest that was seen, and in force.
    Taken,
    /// A revision at least as new is known.
    Older,
    /// It is no document; the revision known before stays in force.
    Malformed(parse::Error),
}

/// The entries that a node knows, by service.
#[derive(Debug, Default)]
pub struct Catalog {
    entries: BTreeMap<String, Entry>,
}

impl Catalog {
    /// Offers a value of a service's document; `None` says that it was deleted.
    pub fn offer(&mut self, service: &str, revision: u64, value: Option<&str>) -> Outcome {
        let known = self.entries.get(service);
        if known.is_some_and(|known| known.revision >= revision) {
            return Outcome::Older;
        }
        let document = match value.map(parse::parse).transpose() {
            Ok(document) => document.map(Arc::new),
            Err(error) => return Outcome::Malformed(error),
        };
        let entry = Entry { revision, document };
        self.entries.insert(service.to_owned(), entry);
        Outcome::Taken
    }

    /// The known entries by service.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &Entry)> {
        self.entries
            .iter()
            .map(|(service, entry)| (service.as_str(), entry))
    }
}
