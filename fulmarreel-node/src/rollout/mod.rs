//! Gradual rollouts of a service's new version (`move` in documents and logs), as one node takes
//! part in them.
//!
//! A document declares a rollout from the service's current version to a new one. For each call,
//! [`Rollouts::choose`] selects the version, and a [`TrackedCall`] takes the call's result. The
//! results are aggregated by availability zone and sent to the rollout's owner ([`report`]), one
//! node that decides on the new version's share of calls and publishes it ([`owner`]). The
//! decisions themselves are made by `fulmarreel_rollout`.

mod choose;
mod finish;
pub mod fleet;
mod follow;
mod gather;
pub mod owner;
pub mod report;

pub use choose::Choice;
pub use finish::{CallResult, TrackedCall};
pub use gather::CollectedEvidence;

use crate::runtime;
use fulmarreel_document::Document;
use fulmarreel_rollout::{
    Guard, Plan, State,
    evidence::{Route, Tally},
};
use fulmarreel_store::etcd::{Client, Options};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

/// Timeout of one request to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The rollouts that active documents declare, by service.
#[derive(Debug, Default)]
pub struct Rollouts {
    rollouts: RwLock<HashMap<String, Arc<Rollout>>>,
}

/// The rollout that one revision of a service's document declares.
#[derive(Debug)]
pub struct Rollout {
    /// The document that declares the rollout.
    pub document: Arc<Document>,
    /// The document's revision in the store.
    pub revision: u64,
    /// The rollout's parameters, from the document.
    pub plan: Plan,
    progress: Mutex<Progress>,
    collected: Mutex<CollectedEvidence>,
}

/// A rollout's latest known state, and the results of this node's own calls.
#[derive(Debug)]
struct Progress {
    state: State,
    /// Whether the store is known to hold `state`.
    stored: bool,
    /// Peer address of the owner, as last published.
    owner: Option<SocketAddr>,
    /// Limits this node's calls to the new version.
    guard: Guard,
    tallies: BTreeMap<Route, RouteTallies>,
}

/// This node's own calls to both versions on one route since its last report.
#[derive(Debug, Default)]
struct RouteTallies {
    old: Tally,
    new: Tally,
}

/// Starts the tasks that follow the rollouts, report on them and own them.
pub fn start(state: &Arc<crate::state::State>, rollouts: &Arc<Rollouts>) {
    let peers = state.settings.store.iter().map(ToString::to_string);
    let store = Client::new(Options {
        peers: peers.collect(),
        operation_timeout: STORE_TIMEOUT,
    });
    let follow_args = (Arc::clone(state), Arc::clone(rollouts));
    runtime::spawn(async move { follow::run(follow_args.0, follow_args.1).await });
    let report_args = (Arc::clone(state), Arc::clone(rollouts));
    runtime::spawn(async move { report::run(report_args.0, report_args.1).await });
    let owner_args = (Arc::clone(state), Arc::clone(rollouts));
    runtime::spawn(async move { owner::run(owner_args.0, owner_args.1, store).await });
}

impl Rollouts {
    /// The rollout of a service, if its active document declares one.
    pub fn get(&self, service: &str) -> Option<Arc<Rollout>> {
        let rollouts = self.rollouts.read().expect("rollouts lock");
        rollouts.get(service).map(Arc::clone)
    }

    /// The rollouts of all services.
    pub fn all(&self) -> Vec<Arc<Rollout>> {
        let rollouts = self.rollouts.read().expect("rollouts lock");
        rollouts.values().map(Arc::clone).collect()
    }
}

impl Rollout {
    /// The service whose new version is rolled out.
    pub fn service(&self) -> &str {
        self.document.service().as_str()
    }

    /// The latest state that this node knows.
    pub fn state(&self) -> State {
        self.progress.lock().expect("progress lock").state.clone()
    }

    /// Whether the state is final and the store is known to hold it.
    pub fn is_settled(&self) -> bool {
        let progress = self.progress.lock().expect("progress lock");
        progress.stored && progress.state.is_final()
    }

    /// The peer address of the owner, as last published.
    pub fn owner(&self) -> Option<SocketAddr> {
        self.progress.lock().expect("progress lock").owner
    }
}
