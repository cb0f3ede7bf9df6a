//! Updates the rollouts from the active documents and the published states.

use super::{CollectedEvidence, Progress, Rollout, Rollouts};
use crate::{
    state::{self, unix_millis},
    telemetry::{Decision, decision::Kind},
};
use fulmarreel_document::{Document, rollout::Timestamp};
use fulmarreel_rollout::{Guard, Plan, Publication, State, state::Phase};
use smol::Timer;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// How often the view is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Applies each change of the node's view to the rollouts, until the process ends.
pub async fn run(state: Arc<state::State>, rollouts: Arc<Rollouts>) {
    let mut applied = Arc::default();
    loop {
        let view = state.view();
        if !Arc::ptr_eq(&view, &applied) {
            let nodes = u32::try_from(state.records().len()).unwrap_or(u32::MAX);
            rollouts.follow(&view, nodes, Timestamp(unix_millis()));
            applied = view;
        }
        Timer::after(CHECK_INTERVAL).await;
    }
}

impl Rollouts {
    /// Replaces the rollouts by those that the active documents declare, keeping the progress of
    /// known ones; `nodes` is the number of nodes in the fleet.
    pub fn follow(&self, view: &state::View, nodes: u32, now: Timestamp) {
        let mut updated = HashMap::new();
        for (name, service) in view.services() {
            let Some(plan) = Plan::from_document(&service.document) else {
                continue;
            };
            let known = self.get(name);
            let rollout = known
                .filter(|known| known.revision == service.revision)
                .unwrap_or_else(|| {
                    let (document, revision) = (&service.document, service.revision);
                    Arc::new(Rollout::new(document, revision, plan, nodes, now))
                });
            rollout.follow(service, now);
            updated.insert(name.to_owned(), rollout);
        }
        *self.rollouts.write().expect("rollouts lock") = updated;
    }
}

impl Rollout {
    /// A rollout that has no published state yet.
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
            collected: Mutex::new(CollectedEvidence::default()),
        }
    }

    /// Adopts a published state unless the known one supersedes it ([`State::covers`]); returns
    /// whether it was adopted.
    pub fn adopt(&self, published: &State) -> bool {
        let mut progress = self.progress.lock().expect("progress lock");
        if published.revision != self.revision || progress.state.covers(published) {
            return false;
        }
        progress.state = published.clone();
        progress.stored = false;
        drop(progress);
        let to = self
            .document
            .rollout()
            .map(|declared| declared.to().as_str());
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

    /// Applies the published state and the verdicts that the view holds of this rollout.
    fn follow(&self, service: &state::Service, now: Timestamp) {
        if let Some(published) = &service.published_rollout {
            match Publication::decode(&published.value) {
                Ok(publication) => self.apply(&publication),
                Err(error) => log::error!(service = self.service(); "move: malformed: {error}"),
            }
        }
        let to = self
            .document
            .rollout()
            .map(|declared| declared.to().as_str());
        if service
            .taken_back
            .iter()
            .any(|version| Some(version.as_str()) == to)
        {
            self.take_back(now);
        }
    }

    /// Applies the rollout's state and owner as the store holds them.
    pub fn apply(&self, publication: &Publication) {
        if publication.state.revision != self.revision {
            return;
        }
        self.adopt(&publication.state);
        let mut progress = self.progress.lock().expect("progress lock");
        progress.owner = Some(publication.owner);
        progress.stored = progress.state == publication.state;
    }

    /// Ends the rollout by a verdict against the new version that came without the counts behind
    /// it.
    pub fn take_back(&self, now: Timestamp) {
        let state = self.state();
        if state.phase != Phase::TakenBack {
            self.adopt(&state.after_relayed_verdict(now));
        }
    }

    /// Sets the owner, to which evidence is sent.
    pub(super) fn set_owner(&self, owner: SocketAddr) {
        self.progress.lock().expect("progress lock").owner = Some(owner);
    }
}
