//! Moves to new versions, as one node takes part in them.
//!
//! Each call asks [`Moves::choose`] for its version and reports its end by its [`Ticket`].
//! What a node has seen is added up in its availability zone and sent to the move's owner
//! ([`report`]); the owner decides and publishes ([`owner`]). The decisions themselves are those
//! of `fulmarreel_rollout`.

mod choose;
mod finish;
pub mod fleet;
mod follow;
mod gather;
pub mod owner;
pub mod report;

pub use choose::Choice;
pub use finish::{End, Ticket};
pub use gather::Gathered;

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

/// How long one call to the store may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Every move that an active document declares, by service.
#[derive(Debug, Default)]
pub struct Moves {
    moves: RwLock<HashMap<String, Arc<Move>>>,
}

/// One service's move under one revision of its document.
#[derive(Debug)]
pub struct Move {
    /// The document that declares it.
    pub document: Arc<Document>,
    /// Its revision.
    pub revision: u64,
    /// What the document asks for.
    pub plan: Plan,
    progress: Mutex<Progress>,
    gathered: Mutex<Gathered>,
}

/// What this node knows of a move, and has seen of it.
#[derive(Debug)]
struct Progress {
    state: State,
    /// Whether the store is known to hold that state.
    stored: bool,
    owner: Option<SocketAddr>,
    guard: Guard,
    tallies: BTreeMap<Route, Sides>,
}

/// This node's own calls to both versions on one route since its last report.
#[derive(Debug, Default)]
struct Sides {
    old: Tally,
    new: Tally,
}

/// Starts this node's part in moves.
pub fn start(state: &Arc<crate::state::State>, moves: &Arc<Moves>) {
    let peers = state.settings.store.iter().map(ToString::to_string);
    let store = Client::new(Options {
        peers: peers.collect(),
        timeout: STORE_TIMEOUT,
    });
    let following = (Arc::clone(state), Arc::clone(moves));
    runtime::spawn(async move { follow::run(following.0, following.1).await });
    let reporting = (Arc::clone(state), Arc::clone(moves));
    runtime::spawn(async move { report::run(reporting.0, reporting.1).await });
    let owning = (Arc::clone(state), Arc::clone(moves));
    runtime::spawn(async move { owner::run(owning.0, owning.1, store).await });
}

impl Moves {
    /// The move of a service, if its active document declares one.
    pub fn get(&self, service: &str) -> Option<Arc<Move>> {
        let moves = self.moves.read().expect("moves lock");
        moves.get(service).map(Arc::clone)
    }

    /// Every move.
    pub fn all(&self) -> Vec<Arc<Move>> {
        let moves = self.moves.read().expect("moves lock");
        moves.values().map(Arc::clone).collect()
    }
}

impl Move {
    /// The service whose traffic moves.
    pub fn service(&self) -> &str {
        self.document.service().as_str()
    }

    /// The latest step that this node knows.
    pub fn state(&self) -> State {
        self.progress.lock().expect("progress lock").state.clone()
    }

    /// Whether nothing more will be decided, and the store says so.
    pub fn is_settled(&self) -> bool {
        let progress = self.progress.lock().expect("progress lock");
        progress.stored && progress.state.is_final()
    }

    /// The peer address of the owner, as last published.
    pub fn owner(&self) -> Option<SocketAddr> {
        self.progress.lock().expect("progress lock").owner
    }
}
