//! The periodic task that advances this node's rollouts: it sends their messages, and claims, owns
//! and releases them in the store.

use super::{
    Rollouts, messages,
    owner::{self, Claim, Ownership},
    ranking::NodeRankings,
    rewrite::{self, Rewrites},
};
use crate::mesh::{
    context::Context,
    era,
    keys::{self, Owner},
    notices::NoticeSocket,
    view::{self, View},
};
use fulmarreel_platform::order::{self, State};
use fulmarreel_rollout::brief::{OutgoingMessage, Recipient, RolloutContext, StoreAction};
use fulmarreel_store::Revision;
use smol::Timer;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// How often the rollouts are checked for work that is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a node waits per rank before it claims a rollout without an owner, so that nodes of a
/// better rank claim it first.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(700);

/// How long a node that has resigned from a rollout waits before it may claim the rollout again.
const RESIGNED_CLAIM_DELAY: Duration = Duration::from_millis(5_000);

/// The limit of the random delay before an owner claims its rollout again in a new era of the store.
const MAX_RECLAIM_DELAY: Duration = Duration::from_millis(200);

/// How long the other nodes leave a rollout to its former owner in a new era of the store.
const FORMER_OWNER_HEAD_START: Duration = Duration::from_millis(600);

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
    /// The revision of each service's last order.
    known_orders: HashMap<String, u64>,
    /// The rollouts that this node owned in an earlier era of the store, by service.
    reclaims: HashMap<String, Reclaim>,
    rewrites: Rewrites,
    rankings: NodeRankings,
}

/// A rollout that this node owned in an earlier era of the store.
#[derive(Debug)]
struct Reclaim {
    /// When this node claims it again.
    at: Instant,
    /// When the rollout began.
    start: Instant,
}

/// Advances all rollouts until the process ends.
pub async fn run(context: Arc<Context>, rollouts: Arc<Rollouts>, notices: Arc<NoticeSocket>) {
    let mut driver = RolloutDriver {
        context,
        rollouts,
        notices,
        owned: HashMap::new(),
        claim_delay_from: HashMap::new(),
        known_orders: HashMap::new(),
        reclaims: HashMap::new(),
        rewrites: Rewrites::default(),
        rankings: NodeRankings::default(),
    };
    loop {
        Timer::after(TICK_INTERVAL).await;
        let view = driver.context.view();
        driver.rollouts.sync(&view, driver.context.started_at_ms);
        driver.owned.retain(|service, ownership| {
            let ordered_rollout = view.rollouts.get(service);
            ordered_rollout.is_some_and(|ordered_rollout| ordered_rollout.includes(ownership.order))
        });
        for (service, ordered_rollout) in &view.rollouts {
            driver.leave_to_former_owner(service, ordered_rollout);
            driver.rewrite(&view, service, ordered_rollout).await;
            driver.advance(&view, service, ordered_rollout).await;
        }
    }
}

impl RolloutDriver {
    async fn advance(&mut self, view: &Arc<View>, service: &str, ordered_rollout: &view::Rollout) {
        if let Some(state @ (State::Completed | State::RolledBack)) = ordered_rollout.state {
            self.rollouts.finish(service, state);
            self.reclaims.remove(service);
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
        self.drop_former_ownership(service);
        let owner = self.known_owner(service).map(|owner| owner.address);
        let action = self
            .send_due_messages(view, service, ordered_rollout, owner)
            .await;
        if !ordered_rollout.is_ordered {
            return;
        }
        if let Some(action) = action {
            self.execute(service, ordered_rollout, action).await;
        }
        if self.reclaims.contains_key(service) {
            self.reclaim(service, ordered_rollout).await;
        } else if owner.is_none() && !self.owned.contains_key(service) {
            self.claim_in_turn(view, service, ordered_rollout).await;
        } else if self
            .claim_delay_from
            .get(service)
            .is_some_and(|from| *from <= now)
        {
            self.claim_delay_from.remove(service);
        }
    }

    /// Delays this node's claim of a rollout that goes on in a new era of the store, unless this node owned
    /// it before.
    fn leave_to_former_owner(&mut self, service: &str, ordered_rollout: &view::Rollout) {
        let order = ordered_rollout.order;
        if self.known_orders.get(service) == Some(&order) {
            return;
        }
        self.known_orders.insert(service.to_owned(), order);
        let is_owner = self.owned.contains_key(service) || self.reclaims.contains_key(service);
        if ordered_rollout.is_continued() && !is_owner {
            let from = Instant::now() + FORMER_OWNER_HEAD_START;
            self.claim_delay_from.insert(service.to_owned(), from);
        }
    }

    /// Stops acting as the owner of a rollout if the store said that the lease has lapsed.
    fn drop_lapsed_ownership(&mut self, service: &str) {
        if self.owned.get(service).is_some_and(Ownership::has_lapsed) {
            self.release(service);
            self.rollouts.with(service, |local_rollout| {
                local_rollout.member.lose_ownership();
            });
        }
    }

    /// Stops acting as the owner of a rollout by a key that the store had in an earlier era.
    fn drop_former_ownership(&mut self, service: &str) {
        let present = era::of(self.context.revision());
        let is_former = |ownership: &Ownership| era::of(ownership.owner_revision.0) < present;
        if self.owned.get(service).is_some_and(is_former) {
            self.release(service);
            self.rollouts.with(service, |local_rollout| {
                local_rollout.member.lose_ownership();
            });
        }
    }

    /// Forgets that this node owns a rollout. If the store has entered another era since, this node is to
    /// claim the rollout again.
    fn release(&mut self, service: &str) {
        let Some(ownership) = self.owned.remove(service) else {
            return;
        };
        if era::of(ownership.owner_revision.0) < self.context.store.era() {
            let at = Instant::now() + MAX_RECLAIM_DELAY.mul_f64(fastrand::f64());
            let start = ownership.start;
            self.reclaims
                .insert(service.to_owned(), Reclaim { at, start });
        }
    }

    /// Claims a rollout that this node owned in an earlier era of the store, unless another node owns it
    /// now.
    async fn reclaim(&mut self, service: &str, ordered_rollout: &view::Rollout) {
        let now = Instant::now();
        // Before that, the mirror does not tell who owns the rollout now.
        if era::of(self.context.revision()) < self.context.store.era() {
            return;
        }
        if self
            .reclaims
            .get(service)
            .is_none_or(|reclaim| now < reclaim.at)
        {
            return;
        }
        let Some(reclaim) = self.reclaims.remove(service) else {
            return;
        };
        let own = Owner {
            address: self.context.settings().peer_address,
            boot: self.context.started_at_ms,
        };
        if self.known_owner(service).is_some_and(|owner| owner != own) || self.context.is_stopping()
        {
            return;
        }
        let key = format!("{}{service}", keys::OWNERS);
        let claim = Claim {
            known: rewrite::known_revision(&self.context, &key),
            start: Some(reclaim.start),
        };
        self.claim(service, ordered_rollout, claim).await;
    }

    /// Writes an outcome again that the store lost as it went back to an earlier copy of itself.
    async fn rewrite(&mut self, view: &Arc<View>, service: &str, ordered_rollout: &view::Rollout) {
        let Some(state) = self.lost_outcome(service, ordered_rollout) else {
            self.rewrites.forget(service);
            return;
        };
        let own = self.context.settings().peer_address;
        let nodes = self.rankings.for_service(view, service);
        let rank = nodes.iter().position(|node| *node == own);
        let rank = u32::try_from(rank.unwrap_or(nodes.len())).unwrap_or(u32::MAX);
        let (order, random, now) = (ordered_rollout.order, fastrand::f64(), Instant::now());
        if !self.rewrites.is_due(service, order, rank, random, now) {
            return;
        }
        if let Err(error) = rewrite::write(&self.context, service, ordered_rollout, state).await {
            log::warn!(service; "outcome not written again: {error}");
        }
        // What was written arrives over the mirror.
        self.rewrites.delay(service, random, Instant::now());
    }

    /// The outcome of a rollout that the store has not, although an earlier era of it had.
    fn lost_outcome(&self, service: &str, ordered_rollout: &view::Rollout) -> Option<State> {
        if ordered_rollout.is_over() {
            let key = format!("{}{service}", order::ORDERS);
            let is_replaced = !ordered_rollout.is_ordered
                && rewrite::known_revision(&self.context, &key) != Revision::ABSENT;
            let is_lost = !ordered_rollout.is_recorded && !is_replaced;
            return ordered_rollout.state.filter(|_| is_lost);
        }
        // The owner may have written it just before the store went back.
        let is_completed = ordered_rollout.is_continued() && self.rollouts.is_completed(service);
        is_completed.then_some(State::Completed)
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
                self.release(service);
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
        self.claim(service, ordered_rollout, Claim::default()).await;
    }

    async fn claim(&mut self, service: &str, ordered_rollout: &view::Rollout, claim: Claim) {
        let claimed = owner::claim(&self.context, service, ordered_rollout, claim).await;
        if let Some(ownership) = claimed {
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
