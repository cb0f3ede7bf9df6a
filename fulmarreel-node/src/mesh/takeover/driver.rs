//! The periodic task that advances this node's rollouts: it sends their messages, and claims, owns
//! and releases them in the store.

use super::{
    Rollouts, messages,
    owner::{self, Ownership},
};
use crate::mesh::{
    context::Context,
    keys::{self, Owner},
    notices::NoticeSocket,
    view::{self, View},
};
use fulmarreel_platform::order::State;
use fulmarreel_rollout::brief::{OutgoingMessage, Recipient, RolloutContext, StoreAction};
use smol::Timer;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How often the rollouts are checked for work that is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a node waits per rank before it claims a rollout without an owner, so that nodes of a
/// better rank claim it first.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(700);

/// How long a node that has resigned from a rollout waits before it may claim the rollout again.
const RESIGNED_CLAIM_DELAY: Duration = Duration::from_millis(5_000);

/// How many of the best-ranked nodes receive the evidence of a rollout besides its owner.
const STANDBY_COUNT: usize = 3;

/// Advances this node's rollouts.
struct RolloutDriver {
    context: Arc<Context>,
    rollouts: Arc<Rollouts>,
    notices: Arc<NoticeSocket>,
    /// The rollouts that this node owns, by service.
    owned: HashMap<String, Ownership>,
    /// The time from which this node's claim delay counts for a rollout without an owner, by
    /// service. It lies in the future after a resignation or a failed claim.
    claim_delay_from: HashMap<String, Instant>,
    rankings: NodeRankings,
}

/// The order in which nodes claim each rollout, computed once per service and view.
#[derive(Default)]
struct NodeRankings {
    view: Arc<View>,
    nodes_by_service: HashMap<String, Vec<SocketAddr>>,
}

impl NodeRankings {
    /// All nodes, best rank first.
    fn for_service(&mut self, view: &Arc<View>, service: &str) -> &[SocketAddr] {
        if !Arc::ptr_eq(&self.view, view) {
            self.view = Arc::clone(view);
            self.nodes_by_service.clear();
        }
        let nodes = self.nodes_by_service.entry(service.to_owned());
        nodes.or_insert_with(|| rank_nodes(view, service))
    }
}

/// Ranks all nodes for a service by rendezvous hashing.
fn rank_nodes(view: &View, service: &str) -> Vec<SocketAddr> {
    let seed = xxh3_64(service.as_bytes());
    let score = |node: &SocketAddr| xxh3_64_with_seed(node.to_string().as_bytes(), seed);
    let mut nodes: Vec<SocketAddr> = view.nodes.iter().map(|node| node.0).collect();
    nodes.sort_by_cached_key(|node| std::cmp::Reverse(score(node)));
    nodes
}

/// Advances all rollouts until the process ends.
pub async fn run(context: Arc<Context>, rollouts: Arc<Rollouts>, notices: Arc<NoticeSocket>) {
    let mut driver = RolloutDriver {
        context,
        rollouts,
        notices,
        owned: HashMap::new(),
        claim_delay_from: HashMap::new(),
        rankings: NodeRankings::default(),
    };
    loop {
        Timer::after(TICK_INTERVAL).await;
        let view = driver.context.view();
        driver.rollouts.sync(&view, driver.context.started_at_ms);
        driver.owned.retain(|service, ownership| {
            let ordered_rollout = view.rollouts.get(service);
            ordered_rollout.is_some_and(|ordered_rollout| ordered_rollout.order == ownership.order)
        });
        for (service, ordered_rollout) in &view.rollouts {
            driver.advance(&view, service, ordered_rollout).await;
        }
    }
}

impl RolloutDriver {
    async fn advance(&mut self, view: &Arc<View>, service: &str, ordered_rollout: &view::Rollout) {
        if let Some(state @ (State::Completed | State::RolledBack)) = ordered_rollout.state {
            self.rollouts.finish(service, state);
            if let Some(ownership) = self.owned.remove(service) {
                owner::revoke_lease(&self.context, &ownership).await;
            }
            return;
        }
        let now = Instant::now();
        let is_due = |local_rollout: &mut super::LocalRollout| {
            let is_due = local_rollout.member.is_due(now);
            if is_due {
                local_rollout.report_share(service, now);
            }
            is_due
        };
        if !self.rollouts.with(service, is_due).unwrap_or(false) {
            return;
        }
        self.drop_lapsed_ownership(service);
        let owner = self.known_owner(service).map(|owner| owner.address);
        let action = self
            .send_due_messages(view, service, ordered_rollout, owner)
            .await;
        if let Some(action) = action {
            self.execute(service, ordered_rollout, action).await;
        }
        if owner.is_none() && !self.owned.contains_key(service) {
            self.claim_in_turn(view, service, ordered_rollout).await;
        } else if self
            .claim_delay_from
            .get(service)
            .is_some_and(|from| *from <= now)
        {
            self.claim_delay_from.remove(service);
        }
    }

    /// Stops acting as the owner of a rollout if the store said that the lease has lapsed.
    fn drop_lapsed_ownership(&mut self, service: &str) {
        if self.owned.get(service).is_some_and(Ownership::has_lapsed) {
            self.owned.remove(service);
            self.rollouts.with(service, |local_rollout| {
                local_rollout.member.lose_ownership();
            });
        }
    }

    /// Sends the messages that are due for a rollout; returns what this node has to do in the
    /// store.
    async fn send_due_messages(
        &mut self,
        view: &Arc<View>,
        service: &str,
        ordered_rollout: &view::Rollout,
        owner: Option<SocketAddr>,
    ) -> Option<StoreAction> {
        let ranked = self.rankings.for_service(view, service);
        let rollout_context = RolloutContext {
            own: self.context.settings().peer_address,
            owner,
            standbys: &ranked[..STANDBY_COUNT.min(ranked.len())],
            nodes: ranked.len(),
            is_leased: self.owned.get(service).is_some_and(Ownership::is_leased),
            has_targets: view.runs(service, &ordered_rollout.version),
        };
        let (messages, action) = self.rollouts.advance(service, &rollout_context)?;
        for message in messages {
            self.send(service, ordered_rollout.order, message).await;
        }
        action
    }

    async fn send(&self, service: &str, order: u64, addressed: OutgoingMessage<SocketAddr>) {
        let (recipient, message) = addressed;
        let notice = messages::to_notice(service, order, message);
        match recipient {
            Recipient::One(node) => self.notices.send(node, notice).await,
            Recipient::All => self.notices.send_all(&notice).await,
        }
    }

    async fn execute(
        &mut self,
        service: &str,
        ordered_rollout: &view::Rollout,
        action: StoreAction,
    ) {
        let Some(ownership) = self.owned.get_mut(service) else {
            return;
        };
        let state = match action {
            StoreAction::Complete => State::Completed,
            StoreAction::RollBack => State::RolledBack,
            StoreAction::Resign => return self.resign(service).await,
        };
        match owner::write_outcome(&self.context, service, ordered_rollout, ownership, state).await
        {
            Some(true) => self.rollouts.finish(service, state),
            Some(false) => {
                self.owned.remove(service);
                self.rollouts.with(service, |local_rollout| {
                    local_rollout.member.lose_ownership();
                });
            }
            None => {}
        }
    }

    /// Gives a rollout up for another node to claim, as too few nodes follow this owner's grants.
    async fn resign(&mut self, service: &str) {
        let Some(ownership) = self.owned.remove(service) else {
            return;
        };
        log::warn!(service, order = ownership.order; "too few nodes follow this owner, it resigns");
        self.rollouts.with(service, |local_rollout| {
            local_rollout.member.lose_ownership();
        });
        let from = Instant::now() + RESIGNED_CLAIM_DELAY;
        self.claim_delay_from.insert(service.to_owned(), from);
        owner::revoke_lease(&self.context, &ownership).await;
    }

    /// Claims a rollout without an owner, once the nodes of a better rank have had time to claim
    /// it.
    async fn claim_in_turn(
        &mut self,
        view: &Arc<View>,
        service: &str,
        ordered_rollout: &view::Rollout,
    ) {
        let own = self.context.settings().peer_address;
        let nodes = self.rankings.for_service(view, service);
        let rank = nodes.iter().position(|node| *node == own);
        let rank = u32::try_from(rank.unwrap_or(nodes.len())).unwrap_or(u32::MAX);
        let now = Instant::now();
        let from = *self
            .claim_delay_from
            .entry(service.to_owned())
            .or_insert(now);
        if now < from + CLAIM_DELAY_PER_RANK * rank || self.context.is_stopping() {
            return;
        }
        if let Some(ownership) = owner::claim(&self.context, service, ordered_rollout).await {
            let (owner_revision, start) = (ownership.owner_revision.0, ownership.start);
            let deadline = start + ordered_rollout.time_limit;
            let become_owner = |local_rollout: &mut super::LocalRollout| {
                local_rollout
                    .member
                    .become_owner(owner_revision, start, deadline);
            };
            self.rollouts.with(service, become_owner);
            self.owned.insert(service.to_owned(), ownership);
            self.claim_delay_from.remove(service);
        } else {
            let delay = owner::STORE_RETRY_DELAY.mul_f64(1.0 + fastrand::f64());
            self.claim_delay_from
                .insert(service.to_owned(), Instant::now() + delay);
        }
    }

    /// The owner of a rollout, as far as this node knows the store.
    fn known_owner(&self, service: &str) -> Option<Owner> {
        self.context.decode(&format!("{}{service}", keys::OWNERS))
    }
}
