//! An immutable snapshot of documents and targets, by which calls are routed.

use super::published::{PublishedRollout, PublishedRollouts};
use fulmarreel_distribution::{Catalog, Verdicts, catalog};
use fulmarreel_document::Document;
use fulmarreel_membership::{Status, Table};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// A snapshot of the active documents and their services' targets.
#[derive(Debug, Default)]
pub struct View {
    services: HashMap<String, Service>,
}

/// A snapshot of one service.
#[derive(Debug)]
pub struct Service {
    /// The active document.
    pub document: Arc<Document>,
    /// Its revision in the store.
    pub revision: u64,
    /// The service's targets by version.
    pub candidates: HashMap<String, Vec<Candidate>>,
    /// The latest published state of the service's rollout, if there is one.
    pub published_rollout: Option<PublishedRollout>,
    /// Versions that verdicts took back under this revision.
    pub taken_back: Vec<String>,
}

/// A target that a call may be sent to.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Peer address of the target's node.
    pub address: SocketAddr,
    /// The node's availability zone.
    pub zone: String,
    /// The node's region.
    pub region: String,
    /// How many calls the target runs at the same time.
    pub slots: u16,
    /// Whether the node is suspected to have failed; other targets are then preferred.
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
    pub(super) fn versions(&self) -> catalog::Targets {
        let mut named = catalog::Targets::default();
        for (service, versions) in &self.by_service {
            for version in versions.keys() {
                named.add(service, version);
            }
        }
        named
    }
}

impl Service {
    /// Whether a target of this version is known.
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
        rollouts: &PublishedRollouts,
        verdicts: &Verdicts,
    ) -> Self {
        let mut services = HashMap::new();
        for (name, active) in documents.active() {
            let revision = active.revision;
            let taken_back = verdicts
                .iter()
                .filter(|verdict| verdict.service == name && verdict.revision == revision)
                .map(|verdict| verdict.version.clone());
            let service = Service {
                document: Arc::clone(&active.document),
                revision,
                candidates: targets.by_service.remove(name).unwrap_or_default(),
                published_rollout: rollouts.get(name).cloned(),
                taken_back: taken_back.collect(),
            };
            services.insert(name.to_owned(), service);
        }
        Self { services }
    }

    /// The service of this name, if it has an active document.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services that have an active document.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.services
            .iter()
            .map(|(name, service)| (name.as_str(), service))
    }
}
