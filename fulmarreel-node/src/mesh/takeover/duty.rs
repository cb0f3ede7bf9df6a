//! What one node does for the moves under way.

use super::{
    Moves, messages,
    owner::{self, Ownership},
};
use crate::mesh::{
    context::Context,
    keys::{self, Owner},
    notices::Notices,
    view::{self, View},
};
use fulmarreel_platform::order::State;
use fulmarreel_rollout::brief::{Action, Parcel, Recipient, Roster};
use smol::Timer;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How often moves are looked after.
const TICK: Duration = Duration::from_millis(50);

/// How long each further node waits for those before it to own a move.
const STANDBY_WAIT: Duration = Duration::from_millis(700);

/// How long a node that resigned leaves a move to others.
const RESIGNED_WAIT: Duration = Duration::from_millis(5_000);

/// Nodes that hold the evidence of a move besides its owner.
const STANDBYS: usize = 3;

/// What one node does for the moves under way.
struct Duty {
    context: Arc<Context>,
    moves: Arc<Moves>,
    notices: Arc<Notices>,
    /// Moves that this node owns, by service.
    owned: HashMap<String, Ownership>,
    /// When this node may begin to wait for a move without an owner, by service.
    vacant: HashMap<String, Instant>,
    ranks: Ranks,
}

/// The order in which nodes may own each move.
#[derive(Default)]
struct Ranks {
    view: Arc<View>,
    nodes: HashMap<String, Vec<SocketAddr>>,
}

impl Ranks {
    /// All nodes, the first one first.
    fn of(&mut self, view: &Arc<View>, service: &str) -> &[SocketAddr] {
        if !Arc::ptr_eq(&self.view, view) {
            self.view = Arc::clone(view);
            self.nodes.clear();
        }
        let nodes = self.nodes.entry(service.to_owned());
        nodes.or_insert_with(|| ranked(view, service))
    }
}

fn ranked(view: &View, service: &str) -> Vec<SocketAddr> {
    let seed = xxh3_64(service.as_bytes());
    let score = |node: &SocketAddr| xxh3_64_with_seed(node.to_string().as_bytes(), seed);
    let mut nodes: Vec<SocketAddr> = view.nodes.iter().map(|node| node.0).collect();
    nodes.sort_by_cached_key(|node| std::cmp::Reverse(score(node)));
    nodes
}

/// Looks after moves until the process ends.
pub async fn run(context: Arc<Context>, moves: Arc<Moves>, notices: Arc<Notices>) {
    let mut duty = Duty {
        context,
        moves,
        notices,
        owned: HashMap::new(),
        vacant: HashMap::new(),
        ranks: Ranks::default(),
    };
    loop {
        Timer::after(TICK).await;
        let view = duty.context.view();
        duty.moves.sync(&view, duty.context.boot);
        duty.owned.retain(|service, ownership| {
            let declared = view.moves.get(service);
            declared.is_some_and(|declared| declared.order == ownership.order)
        });
        for (service, declared) in &view.moves {
            duty.look_after(&view, service, declared).await;
        }
    }
}

impl Duty {
    async fn look_after(&mut self, view: &Arc<View>, service: &str, declared: &view::Move) {
        if let Some(state @ (State::Completed | State::RolledBack)) = declared.state {
            self.moves.end(service, state);
            if let Some(ownership) = self.owned.remove(service) {
                owner::give_up(&self.context, &ownership).await;
            }
            return;
        }
        let now = Instant::now();
        let is_due = |live: &mut super::Live| {
            let is_due = live.member.is_due(now);
            if is_due {
                live.tell(service, now);
            }
            is_due
        };
        if !self.moves.with(service, is_due).unwrap_or(false) {
            return;
        }
        self.check_lease(service);
        let owner = self.owner(service).map(|owner| owner.address);
        let action = self.say(view, service, declared, owner).await;
        if let Some(action) = action {
            self.act(service, declared, action).await;
        }
        if owner.is_none() && !self.owned.contains_key(service) {
            self.stand_by(view, service, declared).await;
        } else if self.vacant.get(service).is_some_and(|since| *since <= now) {
            self.vacant.remove(service);
        }
    }

    /// Gives up a move whose lease has lapsed.
    fn check_lease(&mut self, service: &str) {
        if self.owned.get(service).is_some_and(Ownership::has_lapsed) {
            self.owned.remove(service);
            self.moves.with(service, |live| live.member.disown());
        }
    }

    /// Says what is to be said of a move; returns what is to be done at the store.
    async fn say(
        &mut self,
        view: &Arc<View>,
        service: &str,
        declared: &view::Move,
        owner: Option<SocketAddr>,
    ) -> Option<Action> {
        let ranked = self.ranks.of(view, service);
        let roster = Roster {
            own: self.context.settings().peers,
            owner,
            standbys: &ranked[..STANDBYS.min(ranked.len())],
            nodes: ranked.len(),
            is_leased: self.owned.get(service).is_some_and(Ownership::is_leased),
            has_targets: view.runs(service, &declared.version),
        };
        let (parcels, action) = self.moves.look(service, &roster)?;
        for parcel in parcels {
            self.send(service, declared.order, parcel).await;
        }
        action
    }

    async fn send(&self, service: &str, order: u64, parcel: Parcel<SocketAddr>) {
        let (recipient, message) = parcel;
        let notice = messages::notice(service, order, message);
        match recipient {
            Recipient::One(node) => self.notices.send(node, notice).await,
            Recipient::All => self.notices.send_all(&notice).await,
        }
    }

    async fn act(&mut self, service: &str, declared: &view::Move, action: Action) {
        let Some(ownership) = self.owned.get_mut(service) else {
            return;
        };
        let state = match action {
            Action::Complete => State::Completed,
            Action::RollBack => State::RolledBack,
            Action::Resign => return self.resign(service).await,
        };
        match owner::write(&self.context, service, declared, ownership, state).await {
            Some(true) => self.moves.end(service, state),
            Some(false) => {
                self.owned.remove(service);
                self.moves.with(service, |live| live.member.disown());
            }
            None => {}
        }
    }

    /// Leaves a move to another node: too few follow this one.
    async fn resign(&mut self, service: &str) {
        let Some(ownership) = self.owned.remove(service) else {
            return;
        };
        log::warn!(service, order = ownership.order; "too few nodes follow this owner, it resigns");
        self.moves.with(service, |live| live.member.disown());
        let since = Instant::now() + RESIGNED_WAIT;
        self.vacant.insert(service.to_owned(), since);
        owner::give_up(&self.context, &ownership).await;
    }

    /// Claims a move without an owner, once those that come before this node have had their time.
    async fn stand_by(&mut self, view: &Arc<View>, service: &str, declared: &view::Move) {
        let own = self.context.settings().peers;
        let nodes = self.ranks.of(view, service);
        let rank = nodes.iter().position(|node| *node == own);
        let rank = u32::try_from(rank.unwrap_or(nodes.len())).unwrap_or(u32::MAX);
        let now = Instant::now();
        let since = *self.vacant.entry(service.to_owned()).or_insert(now);
        if now < since + STANDBY_WAIT * rank || self.context.is_stopping() {
            return;
        }
        if let Some(ownership) = owner::claim(&self.context, service, declared).await {
            let (created, start) = (ownership.created.0, ownership.start);
            let deadline = start + declared.limit;
            let own = |live: &mut super::Live| live.member.own(created, start, deadline);
            self.moves.with(service, own);
            self.owned.insert(service.to_owned(), ownership);
            self.vacant.remove(service);
        } else {
            let pause = owner::STORE_PAUSE.mul_f64(1.0 + fastrand::f64());
            self.vacant
                .insert(service.to_owned(), Instant::now() + pause);
        }
    }

    fn owner(&self, service: &str) -> Option<Owner> {
        self.context.decoded(&format!("{}{service}", keys::OWNERS))
    }
}
