//! Which document of each service is active.
//!
//! A document is active as a whole once every service and version that it names has a target that
//! this node knows. Until then the earlier one stays active.

use fulmarreel_document::{Document, parse};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

/// A document at its revision.
#[derive(Debug, Clone)]
pub struct Revised {
    /// The store's revision.
    pub revision: u64,
    /// The checked document.
    pub document: Arc<Document>,
}

/// What a document names and no known target provides.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Missing {
    /// A version of the document's own service.
    Version {
        /// The service.
        service: String,
        /// The version.
        version: String,
    },
    /// Any target of a service that a route leads to.
    Service {
        /// The service.
        service: String,
    },
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version { service, version } => {
                write!(f, "no target of {service} {version} is known")
            }
            Self::Service { service } => write!(f, "no target of {service} is known"),
        }
    }
}

/// Why the newest revision of a service's document is not active.
#[derive(Debug, Clone)]
pub enum Held {
    /// It is no document.
    Malformed {
        /// Its revision.
        revision: u64,
        /// What is wrong with it.
        reason: String,
    },
    /// It names what no known target provides.
    Waiting {
        /// Its revision.
        revision: u64,
        /// What is missing.
        missing: Vec<Missing>,
    },
}

/// Why a value is no document of its service.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// It is no text.
    #[error("the value is no text: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// It breaks a rule of documents.
    #[error(transparent)]
    Document(#[from] parse::Error),
    /// It belongs to another service.
    #[error("the document is of service {found}")]
    Foreign {
        /// The service that it names.
        found: String,
    },
}

/// What became of an offered value.
#[derive(Debug)]
pub enum Outcome {
    /// It is the newest that was seen; [`Catalog::settle`] decides whether it is active.
    Taken,
    /// A revision at least as new is known.
    Older,
    /// It is no document; the active one stays.
    Malformed(Refusal),
}

/// A document that became active or left it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: String,
    /// The active revision; none where the service's document was deleted.
    pub revision: Option<u64>,
}

/// The targets that a node knows.
#[derive(Debug, Default)]
pub struct Targets {
    versions: BTreeSet<(String, String)>,
    services: BTreeSet<String>,
}

impl Targets {
    /// Adds a target of a service and version.
    pub fn add(&mut self, service: &str, version: &str) {
        let pair = (service.to_owned(), version.to_owned());
        if self.versions.insert(pair) {
            self.services.insert(service.to_owned());
        }
    }

    fn missing(&self, document: &Document) -> Vec<Missing> {
        let service = document.service().as_str();
        let versions = document.versions().map(|version| Missing::Version {
            service: service.to_owned(),
            version: version.as_str().to_owned(),
        });
        let services = document.dependencies().map(|service| Missing::Service {
            service: service.as_str().to_owned(),
        });
        let all: BTreeSet<Missing> = versions.chain(services).collect();
        all.into_iter()
            .filter(|named| !self.provides(named))
            .collect()
    }

    fn provides(&self, named: &Missing) -> bool {
        match named {
            Missing::Version { service, version } => {
                self.versions.contains(&(service.clone(), version.clone()))
            }
            Missing::Service { service } => self.services.contains(service),
        }
    }
}

/// One service's documents.
#[derive(Debug, Default)]
struct Slot {
    newest: u64,
    in_force: Option<Revised>,
    candidate: Option<Revised>,
    held: Option<Held>,
    /// Whether a deletion is still to be reported.
    deleted: bool,
}

/// The documents that a node knows, by service.
#[derive(Debug, Default)]
pub struct Catalog {
    slots: BTreeMap<String, Slot>,
}

impl Catalog {
    /// Offers a value of a service's document; `None` says that it was deleted.
    pub fn offer(&mut self, service: &str, revision: u64, value: Option<&[u8]>) -> Outcome {
        let slot = self.slots.entry(service.to_owned()).or_default();
        if slot.newest >= revision {
            return Outcome::Older;
        }
        slot.newest = revision;
        let Some(value) = value else {
            slot.candidate = None;
            slot.deleted = slot.in_force.take().is_some();
            slot.held = None;
            return Outcome::Taken;
        };
        match check(service, value) {
            Ok(document) => {
                let document = Arc::new(document);
                slot.candidate = Some(Revised { revision, document });
                slot.held = None;
                Outcome::Taken
            }
            Err(error) => {
                let reason = error.to_string();
                slot.held = Some(Held::Malformed { revision, reason });
                Outcome::Malformed(error)
            }
        }
    }

    /// Makes documents active that the known targets allow; says which.
    pub fn settle(&mut self, targets: &Targets) -> Vec<Change> {
        let mut changes = Vec::new();
        for (service, slot) in &mut self.slots {
            if std::mem::take(&mut slot.deleted) {
                let (service, revision) = (service.clone(), None);
                changes.push(Change { service, revision });
            }
            let Some(candidate) = slot.candidate.take() else {
                continue;
            };
            let missing = targets.missing(&candidate.document);
            let revision = candidate.revision;
            if missing.is_empty() {
                if !matches!(slot.held, Some(Held::Malformed { .. })) {
                    slot.held = None;
                }
                slot.in_force = Some(candidate);
                let (service, revision) = (service.clone(), Some(revision));
                changes.push(Change { service, revision });
            } else {
                if !matches!(slot.held, Some(Held::Malformed { .. })) {
                    slot.held = Some(Held::Waiting { revision, missing });
                }
                slot.candidate = Some(candidate);
            }
        }
        changes
    }

    /// The active documents.
    pub fn in_force(&self) -> impl Iterator<Item = (&str, &Revised)> {
        let slots = self.slots.iter();
        slots.filter_map(|(service, slot)| Some((service.as_str(), slot.in_force.as_ref()?)))
    }

    /// Services whose newest revision is not active, and why.
    pub fn held(&self) -> impl Iterator<Item = (&str, &Held)> {
        let slots = self.slots.iter();
        slots.filter_map(|(service, slot)| Some((service.as_str(), slot.held.as_ref()?)))
    }
}

fn check(service: &str, value: &[u8]) -> Result<Document, Refusal> {
    let document = parse::parse(std::str::from_utf8(value)?)?;
    if document.service().as_str() != service {
        let found = document.service().as_str().to_owned();
        return Err(Refusal::Foreign { found });
    }
    Ok(document)
}
