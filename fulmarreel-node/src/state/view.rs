//! An immutable view of documents and targets that calls are routed by.

use super::shift::{Moves, Published};
use fulmarreel_distribution::{Catalog, Verdicts, catalog};
use fulmarreel_document::Document;
use fulmarreel_membership::{Status, Table};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// Documents and targets at one moment.
#[derive(Debug, Default)]
pub struct View {
    services: HashMap<String, Service>,
}

/// One service at one moment.
#[derive(Debug)]
pub struct Service {
    /// The active document.
    pub document: Arc<Document>,
    /// Its revision in the store.
    pub revision: u64,
    /// Targets by version.
    pub candidates: HashMap<String, Vec<Candidate>>,
    /// The published state of the move to a new version, as its owner wrote it last.
    pub published_move: Option<Published>,
    /// Versions that were taken back under this revision.
    pub taken_back: Vec<String>,
}

/// A target that a call may be sent to.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Address of the node in front of it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Whether its node has not answered lately: the others are preferred.
    pub suspect: bool,
}

/// Targets by service and version.
#[derive(Debug, Default)]
pub(super) struct Targets {
    by_service: HashMap<String, HashMap<String, Vec<Candidate>>>,
}

impl Targets {
    pub(super) fn collect(members: &Table) -> Self {
        let mut targets = Self::default();
        for claim in members.present() {
            let record = &claim.record;
            let Some(target) = record.target.as_ref().filter(|target| !target.leaving) else {
                continue;
            };
            let candidate = Candidate {
                address: record.address,
                zone: record.zone.clone(),
                region: record.region.clone(),
                slots: target.slots,
                suspect: claim.status == Status::Suspect,
            };
            let service = targets.by_service.entry(target.service.clone());
            let versions = service.or_default();
            let version = versions.entry(target.version.clone()).or_default();
            version.push(candidate);
        }
        targets
    }

    /// The services and versions that have a target.
    pub(super) fn known(&self) -> catalog::Targets {
        let mut known = catalog::Targets::default();
        for (service, versions) in &self.by_service {
            for version in versions.keys() {
                known.add(service, version);
            }
        }
        known
    }
}

impl Service {
    /// Whether a target of that version is known.
    pub fn has_target(&self, version: &str) -> bool {
        self.candidates
            .get(version)
            .is_some_and(|candidates| !candidates.is_empty())
    }
}

impl View {
    pub(super) fn build(
        documents: &Catalog,
        mut targets: Targets,
        moves: &Moves,
        verdicts: &Verdicts,
    ) -> Self {
        let mut services = HashMap::new();
        for (name, revised) in documents.in_force() {
            let revision = revised.revision;
            let taken_back = verdicts
                .iter()
                .filter(|verdict| verdict.service == name && verdict.revision == revision)
                .map(|verdict| verdict.version.clone());
            let service = Service {
                document: Arc::clone(&revised.document),
                revision,
                candidates: targets.by_service.remove(name).unwrap_or_default(),
                published_move: moves.get(name).cloned(),
                taken_back: taken_back.collect(),
            };
            services.insert(name.to_owned(), service);
        }
        Self { services }
    }

    /// The service of that name, where a document of it is active.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Every service with an active document.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.services
            .iter()
            .map(|(name, service)| (name.as_str(), service))
    }
}
