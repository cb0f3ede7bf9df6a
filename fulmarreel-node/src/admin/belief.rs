//! What this node believes, as operators read it.

use crate::{
    state::{Service, State},
    telemetry::metrics,
};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// What this node believes.
#[derive(Debug, Serialize)]
pub(super) struct Belief {
    address: SocketAddr,
    zone: String,
    region: String,
    ready: bool,
    waiting: Option<String>,
    documents: BTreeMap<String, Document>,
    members: Vec<Member>,
}

/// A document in force.
#[derive(Debug, Serialize)]
struct Document {
    revision: u64,
    version: String,
    targets: BTreeMap<String, Vec<SocketAddr>>,
}

/// A node that is known.
#[derive(Debug, Serialize)]
struct Member {
    address: SocketAddr,
    zone: String,
    region: String,
    boot: u64,
    sequence: u32,
    service: Option<String>,
    version: Option<String>,
    slots: Option<u16>,
    leaving: bool,
}

impl Belief {
    pub(super) fn of(state: &State) -> Self {
        let view = state.view();
        let documents = view
            .services()
            .map(|(name, service)| (name.to_owned(), Document::from(service)));
        let ready = ready(state);
        Self {
            address: state.settings.advertise,
            zone: state.settings.zone.clone(),
            region: state.settings.region.clone(),
            ready: ready.is_ok(),
            waiting: ready.err(),
            documents: documents.collect(),
            members: members(state),
        }
    }
}

impl From<&Service> for Document {
    fn from(service: &Service) -> Self {
        let targets = service.candidates.iter().map(|(version, candidates)| {
            let addresses = candidates.iter().map(|candidate| candidate.address);
            (version.clone(), addresses.collect())
        });
        Self {
            revision: service.revision,
            version: service.document.version().to_string(),
            targets: targets.collect(),
        }
    }
}

/// Whether the node knows enough to take calls, or what it waits for.
pub(super) fn ready(state: &State) -> Result<(), String> {
    if state.view().services().next().is_some() {
        Ok(())
    } else {
        Err("no document is known yet".to_owned())
    }
}

/// Sets the metrics that show beliefs.
pub(super) fn record(state: &State) {
    metrics::ready(ready(state).is_ok());
    for (name, service) in state.view().services() {
        metrics::document(name, service.revision);
        for (version, candidates) in &service.candidates {
            metrics::targets(name, version, candidates.len());
        }
    }
    let mut zones: BTreeMap<String, usize> = BTreeMap::new();
    for record in state.records() {
        *zones.entry(record.zone).or_default() += 1;
    }
    for (zone, count) in zones {
        metrics::members(&zone, count);
    }
}

fn members(state: &State) -> Vec<Member> {
    let records = state.records().into_iter().map(|record| {
        let target = record.target.as_ref();
        Member {
            address: record.address,
            boot: record.incarnation.boot,
            sequence: record.incarnation.sequence,
            service: target.map(|target| target.service.clone()),
            version: target.map(|target| target.version.clone()),
            slots: target.map(|target| target.slots),
            leaving: target.is_some_and(|target| target.leaving),
            zone: record.zone,
            region: record.region,
        }
    });
    records.collect()
}
