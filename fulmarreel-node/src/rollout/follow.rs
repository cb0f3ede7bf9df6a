//! Moves follow the active documents and what is published of them.

use super::{Gathered, Move, Moves, Progress};
use crate::{
    state::{self, unix_millis},
    telemetry::{Decision, decision::Kind},
};
use fulmarreel_document::{Document, shift::Timestamp};
use fulmarreel_rollout::{Guard, Plan, Publication, State, state::Phase};
use smol::Timer;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Time between two looks at the view.
const INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the moves in step with the node's view until the process ends.
pub async fn run(state: Arc<state::State>, moves: Arc<Moves>) {
    let mut followed = Arc::default();
    loop {
        let view = state.view();
        if !Arc::ptr_eq(&view, &followed) {
            let nodes = u32::try_from(state.records().len()).unwrap_or(u32::MAX);
            moves.follow(&view, nodes, Timestamp(unix_millis()));
            followed = view;
        }
        Timer::after(INTERVAL).await;
    }
}

impl Moves {
    /// Keeps a move for each active document that declares one; `nodes` is the fleet's size.
    pub fn follow(&self, view: &state::View, nodes: u32, now: Timestamp) {
        let mut kept = HashMap::new();
        for (name, service) in view.services() {
            let Some(plan) = Plan::of(&service.document) else {
                continue;
            };
            let known = self.get(name);
            let entry = known
                .filter(|known| known.revision == service.revision)
                .unwrap_or_else(|| {
                    let (document, revision) = (&service.document, service.revision);
                    Arc::new(Move::new(document, revision, plan, nodes, now))
                });
            entry.follow(service, now);
            kept.insert(name.to_owned(), entry);
        }
        *self.moves.write().expect("moves lock") = kept;
    }
}

impl Move {
    /// A move that nothing has been published of.
    pub fn new(
        document: &Arc<Document>,
        revision: u64,
        plan: Plan,
        nodes: u32,
        now: Timestamp,
    ) -> Self {
        let guard = Guard::new(nodes, plan.idempotent);
        Self {
            document: Arc::clone(document),
            revision,
            plan,
            progress: Mutex::new(Progress {
                state: State::waiting(revision, now),
                stored: false,
                owner: None,
                guard,
                tallies: BTreeMap::new(),
            }),
            gathered: Mutex::new(Gathered::default()),
        }
    }

    /// Joins a step that was published; returns whether it changed anything.
    pub fn join(&self, published: &State) -> bool {
        let mut progress = self.progress.lock().expect("progress lock");
        if published.revision != self.revision || progress.state.covers(published) {
            return false;
        }
        progress.state = published.clone();
        progress.stored = false;
        drop(progress);
        let to = self.document.shift().map(|shift| shift.to().as_str());
        let percent = published.share.fraction() * 100.0;
        let reason = format!("{percent} % of calls: {}", published.reason);
        Decision {
            version: to,
            revision: Some(published.revision),
            ..Decision::new(Kind::Shift, self.service(), &reason)
        }
        .log();
        true
    }

    /// Takes in what the view holds of the move.
    fn follow(&self, service: &state::Service, now: Timestamp) {
        if let Some(published) = &service.published_move {
            match Publication::decode(&published.value) {
                Ok(publication) => self.take(&publication),
                Err(error) => log::error!(service = self.service(); "move: {error}"),
            }
        }
        let to = self.document.shift().map(|shift| shift.to().as_str());
        if service
            .taken_back
            .iter()
            .any(|version| Some(version.as_str()) == to)
        {
            self.take_back(now);
        }
    }

    /// Takes in what the store holds of the move.
    pub fn take(&self, publication: &Publication) {
        if publication.state.revision != self.revision {
            return;
        }
        self.join(&publication.state);
        let mut progress = self.progress.lock().expect("progress lock");
        progress.owner = Some(publication.owner);
        progress.stored = progress.state == publication.state;
    }

    /// Takes in a verdict that came without its figures.
    pub fn take_back(&self, now: Timestamp) {
        let state = self.state();
        if state.phase != Phase::TakenBack {
            self.join(&state.relayed(now));
        }
    }

    /// Notes where evidence is to be sent.
    pub(super) fn set_owner(&self, owner: SocketAddr) {
        self.progress.lock().expect("progress lock").owner = Some(owner);
    }
}
