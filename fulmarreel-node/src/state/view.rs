//! An immutable view of documents and targets that calls are routed by.

use fulmarreel_distribution::Catalog;
use fulmarreel_document::Document;
use fulmarreel_membership::Table;
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// Documents and targets at one moment.
#[derive(Debug, Default)]
pub struct View {
    services: HashMap<String, Service>,
}

/// One service at one moment.
#[derive(Debug)]
pub struct Service {
    /// The document in force.
    pub document: Arc<Document>,
    /// Its revision in the store.
    pub revision: u64,
    /// Targets by version.
    pub candidates: HashMap<String, Vec<Candidate>>,
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
}

impl View {
    pub(super) fn build(documents: &Catalog, members: &Table) -> Self {
        let mut services = HashMap::new();
        for (name, entry) in documents.entries() {
            let Some(document) = &entry.document else {
                continue;
            };
            let service = Service {
                document: Arc::clone(document),
                revision: entry.revision,
                candidates: candidates(name, members),
            };
            services.insert(name.to_owned(), service);
        }
        Self { services }
    }

    /// The service of that name, where a document of it is in force.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Every service with a document in force.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.services
            .iter()
            .map(|(name, service)| (name.as_str(), service))
    }
}

fn candidates(service: &str, members: &Table) -> HashMap<String, Vec<Candidate>> {
    let mut candidates: HashMap<String, Vec<Candidate>> = HashMap::new();
    for record in members.records() {
        let Some(target) = &record.target else {
            continue;
        };
        if target.service != service || target.leaving {
            continue;
        }
        let candidate = Candidate {
            address: record.address,
            zone: record.zone.clone(),
            region: record.region.clone(),
            slots: target.slots,
        };
        candidates
            .entry(target.version.clone())
            .or_default()
            .push(candidate);
    }
    candidates
}
