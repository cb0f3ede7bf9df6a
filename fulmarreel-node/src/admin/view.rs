//! This node's view of members, documents and rollouts, as operators read it.

use crate::{
    readiness,
    rollout::Rollouts,
    state::{Service, State},
    telemetry::metrics,
};
use fulmarreel_membership::{Claim, Status};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

/// The response body of `GET /view`.
#[derive(Debug, Serialize)]
pub(super) struct NodeView {
    address: SocketAddr,
    zone: String,
    region: String,
    ready: bool,
    waiting: Option<String>,
    /// How long ago any region's watcher was last in contact with the store.
    store_contact_age_ms: Option<u64>,
    documents: BTreeMap<String, Document>,
    /// Services whose newest document revision is not active, and why.
    held: BTreeMap<String, String>,
    members: Vec<Member>,
}

/// An active document.
#[derive(Debug, Serialize)]
struct Document {
    revision: u64,
    version: String,
    targets: BTreeMap<String, Vec<SocketAddr>>,
    shift: Option<Shift>,
    taken_back: Vec<String>,
}

/// The rollout of an active document.
#[derive(Debug, Serialize)]
struct Shift {
    to: String,
    share_percent: f64,
    phase: String,
    reason: String,
    owner: Option<SocketAddr>,
}

/// A known node.
#[derive(Debug, Serialize)]
struct Member {
    address: SocketAddr,
    status: &'static str,
    zone: String,
    region: String,
    boot: u64,
    sequence: u32,
    service: Option<String>,
    version: Option<String>,
    slots: Option<u16>,
    leaving: bool,
}

impl NodeView {
    pub(super) fn of(state: &State, rollouts: &Rollouts) -> Self {
        let view = state.view();
        let documents = view
            .services()
            .map(|(name, service)| (name.to_owned(), Document::of(service, rollouts)));
        let held = state.held().into_iter();
        let age = state.store_contact_age();
        let ready = readiness::check(state, Instant::now());
        Self {
            address: state.settings.advertise,
            zone: state.settings.zone.clone(),
            region: state.settings.region.clone(),
            ready: ready.is_ok(),
            waiting: ready.err().map(|reason| reason.to_string()),
            store_contact_age_ms: age.map(|age| age.as_millis() as u64),
            documents: documents.collect(),
            held: held
                .map(|(service, reason)| (service, reason.to_string()))
                .collect(),
            members: state.members().iter().map(Member::from).collect(),
        }
    }
}

impl Document {
    fn of(service: &Service, rollouts: &Rollouts) -> Self {
        let targets = service.candidates.iter().map(|(version, candidates)| {
            let addresses = candidates.iter().map(|candidate| candidate.address);
            (version.clone(), addresses.collect())
        });
        Self {
            revision: service.revision,
            version: service.document.version().to_string(),
            targets: targets.collect(),
            shift: Shift::of(service, rollouts),
            taken_back: service.taken_back.clone(),
        }
    }
}

impl Shift {
    /// The declared rollout with its latest state that this node knows.
    fn of(service: &Service, rollouts: &Rollouts) -> Option<Self> {
        let to = service.document.rollout()?.to().to_string();
        let known = rollouts.get(service.document.service().as_str());
        let current = known.filter(|known| known.revision == service.revision);
        Some(match current {
            Some(current) => {
                let state = current.state();
                Self {
                    to,
                    share_percent: state.share.fraction() * 100.0,
                    phase: format!("{:?}", state.phase),
                    reason: state.reason.to_string(),
                    owner: current.owner(),
                }
            }
            None => Self {
                to,
                share_percent: 0.0,
                phase: "Waiting".to_owned(),
                reason: "no step is known".to_owned(),
                owner: None,
            },
        })
    }
}

impl From<&Claim> for Member {
    fn from(claim: &Claim) -> Self {
        let record = &claim.record;
        let target = record.target.as_ref();
        Self {
            address: record.address,
            status: match claim.status {
                Status::Alive => "alive",
                Status::Suspect => "suspect",
                Status::Gone => "gone",
            },
            zone: record.zone.clone(),
            region: record.region.clone(),
            boot: record.incarnation.started_at_ms,
            sequence: record.incarnation.sequence,
            service: target.map(|target| target.service.clone()),
            version: target.map(|target| target.version.clone()),
            slots: target.map(|target| target.slots),
            leaving: target.is_some_and(|target| target.leaving),
        }
    }
}

/// Updates the gauges that show this node's view.
pub(super) fn update_gauges(state: &State, rollouts: &Rollouts) {
    metrics::set_ready(readiness::check(state, Instant::now()).is_ok());
    metrics::set_documents_held(state.held().len());
    if let Some(age) = state.store_contact_age() {
        metrics::set_store_contact_age(age);
    }
    for (name, service) in state.view().services() {
        metrics::set_document_revision(name, service.revision);
        for (version, candidates) in &service.candidates {
            metrics::set_target_count(name, version, candidates.len());
        }
        if let Some(shift) = Shift::of(service, rollouts) {
            metrics::set_share(name, &shift.to, shift.share_percent / 100.0);
        }
    }
    let mut zones: BTreeMap<String, usize> = BTreeMap::new();
    for claim in state.members() {
        *zones.entry(claim.record.zone).or_default() += 1;
    }
    for (zone, count) in zones {
        metrics::set_member_count(&zone, count);
    }
}
