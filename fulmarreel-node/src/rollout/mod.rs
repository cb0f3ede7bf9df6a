//! Moves: gradual rollouts of a service's new version, as one node takes part in them.
//!
//! A document declares a move from the service's current version to a new one. For each call,
//! [`Moves::choose`] selects the version, and a [`TrackedCall`] takes the call's result. The results
//! are aggregated by availability zone and sent to the move's owner ([`report`]), one node that
//! decides on the new version's share of calls and publishes it ([`owner`]). The decisions
//! themselves are made by `fulmarreel_rollout`.

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

/// The moves that active documents declare, by service.
#[derive(Debug, Default)]
pub struct Moves {
    moves: RwLock<HashMap<String, Arc<Move>>>,
}

/// The move that one revision of a service's document declares.
#[derive(Debug)]
pub struct Move {
    /// The document that declares the move.
    pub document: Arc<Document>,
    /// The document's revision in the store.
    pub revision: u64,
    /// The move's parameters, from the document.
    pub plan: Plan,
    progress: Mutex<Progress>,
    collected: Mutex<CollectedEvidence>,
}

/// A move's latest known state, and the results of this node's own calls.
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

/// Starts the tasks that follow the moves, report on them and own them.
pub fn start(state: &Arc<crate::state::State>, moves: &Arc<Moves>) {
    let peers = state.settings.store.iter().map(ToString::to_string);
    let store = Client::new(Options {
        peers: peers.collect(),
        operation_timeout: STORE_TIMEOUT,
    });
    let follow_args = (Arc::clone(state), Arc::clone(moves));
    runtime::spawn(async move { follow::run(follow_args.0, follow_args.1).await });
    let report_args = (Arc::clone(state), Arc::clone(moves));
    runtime::spawn(async move { report::run(report_args.0, report_args.1).await });
    let owner_args = (Arc::clone(state), Arc::clone(moves));
    runtime::spawn(async move { owner::run(owner_args.0, owner_args.1, store).await });
}

impl Moves {
    /// The move of a service, if its active document declares one.
    pub fn get(&self, service: &str) -> Option<Arc<Move>> {
        let moves = self.moves.read().expect("moves lock");
        moves.get(service).map(Arc::clone)
    }

    /// The moves of all services.
    pub fn all(&self) -> Vec<Arc<Move>> {
        let moves = self.moves.read().expect("moves lock");
        moves.values().map(Arc::clone).collect()
    }
}

impl Move {
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
