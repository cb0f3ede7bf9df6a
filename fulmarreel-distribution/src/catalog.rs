//! Decides which document of each service is active.
//!
//! A document becomes active as a whole once this node knows a target of every service and version
//! that the document names. Until then the earlier one stays active.

use fulmarreel_document::{Document, parse};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

/// A document with its revision.
#[derive(Debug, Clone)]
pub struct RevisedDocument {
    /// The revision of the store at which the document was written.
    pub revision: u64,
    /// The validated document.
    pub document: Arc<Document>,
}

/// Something that a document names and no known target provides.
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
pub enum InactiveReason {
    /// It is not a valid document.
    Malformed {
        /// Its revision.
        revision: u64,
        /// What is wrong with it.
        reason: String,
    },
    /// It names services or versions without a known target.
    Waiting {
        /// Its revision.
        revision: u64,
        /// What is missing.
        missing: Vec<Missing>,
    },
}

/// Why a value is not a valid document of its service.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// It is not UTF-8 text.
    #[error("the value is not UTF-8 text: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// It cannot be parsed or breaks a rule for documents.
    #[error(transparent)]
    Document(#[from] parse::Error),
    /// It belongs to another service.
    #[error("the document belongs to service {found}")]
    OtherService {
        /// The service that it belongs to.
        found: String,
    },
}

/// The result of offering a value.
#[derive(Debug)]
pub enum OfferResult {
    /// It is the newest revision so far; [`Catalog::activate_ready`] decides whether it becomes
    /// active.
    Accepted,
    /// A revision at least as high is known.
    Outdated,
    /// It is not a valid document; the active one stays.
    Malformed(DocumentError),
}

/// A document that became active or was deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: String,
    /// The revision that is active now; none if the service's document was deleted.
    pub revision: Option<u64>,
}

/// The services and versions of the targets that a node knows.
#[derive(Debug, Default)]
pub struct Targets {
    versions: BTreeSet<(String, String)>,
    services: BTreeSet<String>,
}

impl Targets {
    /// Adds the service and version of a target.
    pub fn add(&mut self, service: &str, version: &str) {
        let service_version = (service.to_owned(), version.to_owned());
        if self.versions.insert(service_version) {
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
        let needed: BTreeSet<Missing> = versions.chain(services).collect();
        needed
            .into_iter()
            .filter(|needed| !self.provides(needed))
            .collect()
    }

    fn provides(&self, needed: &Missing) -> bool {
        match needed {
            Missing::Version { service, version } => {
                self.versions.contains(&(service.clone(), version.clone()))
            }
            Missing::Service { service } => self.services.contains(service),
        }
    }
}

/// The documents of one service.
#[derive(Debug, Default)]
struct ServiceDocuments {
    newest_revision: u64,
    active: Option<RevisedDocument>,
    /// The newest valid document that is not active yet.
    candidate: Option<RevisedDocument>,
    /// Why the newest revision is not active.
    inactive_reason: Option<InactiveReason>,
    /// Whether a deletion is still to be reported.
    deleted: bool,
}

/// The documents that a node knows, by their services.
#[derive(Debug, Default)]
pub struct Catalog {
    services: BTreeMap<String, ServiceDocuments>,
}

impl Catalog {
    /// Offers a revision of a service's document; `None` means that it was deleted.
    pub fn offer(&mut self, service: &str, revision: u64, value: Option<&[u8]>) -> OfferResult {
        let documents = self.services.entry(service.to_owned()).or_default();
        if documents.newest_revision >= revision {
            return OfferResult::Outdated;
        }
        documents.newest_revision = revision;
        let Some(value) = value else {
            documents.candidate = None;
            documents.deleted = documents.active.take().is_some();
            documents.inactive_reason = None;
            return OfferResult::Accepted;
        };
        match parse_document(service, value) {
            Ok(document) => {
                let document = Arc::new(document);
                documents.candidate = Some(RevisedDocument { revision, document });
                documents.inactive_reason = None;
                OfferResult::Accepted
            }
            Err(error) => {
                let reason = error.to_string();
                documents.inactive_reason = Some(InactiveReason::Malformed { revision, reason });
                OfferResult::Malformed(error)
            }
        }
    }

    /// Activates the documents for which all targets are known. Returns what changed, deletions
    /// included.
    pub fn activate_ready(&mut self, targets: &Targets) -> Vec<Change> {
        let mut changes = Vec::new();
        for (service, documents) in &mut self.services {
            if std::mem::take(&mut documents.deleted) {
                let (service, revision) = (service.clone(), None);
                changes.push(Change { service, revision });
            }
            let Some(candidate) = documents.candidate.take() else {
                continue;
            };
            let missing = targets.missing(&candidate.document);
            let revision = candidate.revision;
            if missing.is_empty() {
                if !matches!(
                    documents.inactive_reason,
                    Some(InactiveReason::Malformed { .. })
                ) {
                    documents.inactive_reason = None;
                }
                documents.active = Some(candidate);
                let (service, revision) = (service.clone(), Some(revision));
                changes.push(Change { service, revision });
            } else {
                if !matches!(
                    documents.inactive_reason,
                    Some(InactiveReason::Malformed { .. })
                ) {
                    documents.inactive_reason = Some(InactiveReason::Waiting { revision, missing });
                }
                documents.candidate = Some(candidate);
            }
        }
        changes
    }

    /// The active documents.
    pub fn active(&self) -> impl Iterator<Item = (&str, &RevisedDocument)> {
        let services = self.services.iter();
        services
            .filter_map(|(service, documents)| Some((service.as_str(), documents.active.as_ref()?)))
    }

    /// The services whose newest revision is not active, and why.
    pub fn inactive(&self) -> impl Iterator<Item = (&str, &InactiveReason)> {
        let services = self.services.iter();
        services.filter_map(|(service, documents)| {
            Some((service.as_str(), documents.inactive_reason.as_ref()?))
        })
    }
}

fn parse_document(service: &str, value: &[u8]) -> Result<Document, DocumentError> {
    let document = parse::parse(std::str::from_utf8(value)?)?;
    if document.service().as_str() != service {
        let found = document.service().as_str().to_owned();
        return Err(DocumentError::OtherService { found });
    }
    Ok(document)
}
