//! Moves of services to new versions, by the operator's orders.
//!
//! One node owns a move by a key under a lease. It adds up what all nodes have seen of both
//! versions, decides by [`brief`], and tells every node the share; what has come of the move it
//! writes on condition that the key is still the one that it created. A node that fails alone stops
//! its own use of the version at once, and no node raises a share that it was not told.

mod owner;

use super::{
    keys::{self, Owner},
    notices::Notices,
    view::{self, View},
    world::World,
};
use fulmarreel_platform::order::State;
use fulmarreel_rollout::brief::{self, Evidence};
use fulmarreel_wire::notice::{self, Notice, Share, Tally};
use owner::Ownership;
use smol::Timer;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// How often moves are looked after.
const TICK: Duration = Duration::from_millis(250);

/// How long each further node waits for those before it to own a move.
const STANDBY_WAIT: Duration = Duration::from_millis(700);

/// How many times the usual time a request takes to count as slow.
const SLOW_RATIO: f64 = 4.0;

/// How long a target that is new to this node counts as cold, and its answers not as slow.
const COLD: Duration = Duration::from_millis(4_500);

/// A thousand parts.
const PERMILLE: f64 = 1_000.0;

/// Which version a request goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Side {
    /// Any: the service does not move.
    Any,
    /// Any but the version that takes over.
    Old {
        /// The version that takes over.
        new: String,
    },
    /// The version that takes over.
    New {
        /// It.
        new: String,
    },
}

/// How a target dealt with a request.
#[derive(Debug)]
pub struct Sample<'a> {
    /// The route's name.
    pub route: &'a str,
    /// Whether it failed.
    pub failed: bool,
    /// How long the target took.
    pub took: Duration,
    /// How long requests of the route usually take, where that is known.
    pub usual: Option<Duration>,
    /// How long this node has known the target.
    pub age: Duration,
}

/// The moves that are under way, and those whose version was found bad.
#[derive(Debug, Default)]
pub struct Moves {
    live: Mutex<HashMap<String, Live>>,
}

/// What a node knows of one move beside the store.
#[derive(Debug)]
struct Live {
    order: u64,
    share: f64,
    /// Deals requests out by the share.
    credit: f64,
    bad: bool,
    own: Evidence,
    heard: HashMap<SocketAddr, Vec<notice::Route>>,
}

impl Side {
    /// Whether a request may go to a target of that version.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Old { new } => version != new,
            Self::New { new } => version == new,
        }
    }
}

impl Sample<'_> {
    fn is_slow(&self) -> bool {
        let late = |usual: Duration| self.took > usual.mul_f64(SLOW_RATIO);
        self.age > COLD && self.usual.is_some_and(late)
    }
}

impl Live {
    fn new(order: u64) -> Self {
        Self {
            order,
            share: 0.0,
            credit: fastrand::f64(),
            bad: false,
            own: Evidence::default(),
            heard: HashMap::new(),
        }
    }

    /// What all nodes have seen, this one included.
    fn evidence(&self) -> Evidence {
        let mut sum = self.own.clone();
        for route in self.heard.values().flatten() {
            let pair = sum.entry(route.route).or_default();
            pair.old.add(counts(route.old));
            pair.new.add(counts(route.new));
        }
        sum
    }
}

impl Moves {
    /// Chooses the side of a request; only the first offer may go to an unproven version.
    pub fn choose(&self, service: &str, view: &View, first: bool) -> Side {
        let Some(declared) = view.moves.get(service) else {
            return Side::Any;
        };
        let new = declared.version.clone();
        let runs = |wanted: bool| {
            let targets = view.targets(service).iter();
            targets
                .into_iter()
                .any(|target| (target.version == new) == wanted)
        };
        let mut live = self.live.lock().expect("moves lock");
        let live = live
            .get_mut(service)
            .filter(|live| live.order == declared.order);
        match declared.state {
            Some(State::Completed) if runs(true) => return Side::New { new },
            Some(State::Completed) => return Side::Any,
            Some(State::RolledBack) => return Side::Old { new },
            Some(State::Running) | None => {}
        }
        let Some(live) = live.filter(|live| !live.bad && live.share > 0.0) else {
            return Side::Old { new };
        };
        if !runs(true) {
            return Side::Old { new };
        }
        if live.share >= 1.0 {
            return Side::New { new };
        }
        if !first {
            return Side::Old { new };
        }
        live.credit += live.share;
        if live.credit >= 1.0 {
            live.credit -= 1.0;
            return Side::New { new };
        }
        Side::Old { new }
    }

    /// Takes in how a target dealt with a request.
    pub fn record(&self, service: &str, side: &Side, sample: &Sample<'_>) {
        let new = match side {
            Side::Any => return,
            Side::Old { .. } => false,
            Side::New { .. } => true,
        };
        let mut live = self.live.lock().expect("moves lock");
        let Some(live) = live.get_mut(service) else {
            return;
        };
        let Sample { route, failed, .. } = *sample;
        let slow = !failed && sample.is_slow();
        let pair = live.own.entry(xxh3_64(route.as_bytes())).or_default();
        let counts = if new { &mut pair.new } else { &mut pair.old };
        counts.calls += 1;
        counts.failed += u32::from(failed);
        counts.slow += u32::from(slow);
        if !live.bad && brief::verdict(&live.own).is_some() {
            log::warn!(service, order = live.order; "the new version fails here, it is not used further");
            live.bad = true;
        }
    }

    /// Takes in what another node has seen.
    pub fn hear(&self, from: SocketAddr, tally: Tally) {
        let mut live = self.live.lock().expect("moves lock");
        let live = live.get_mut(&tally.service);
        if let Some(live) = live.filter(|live| live.order == tally.order) {
            live.heard.insert(from, tally.routes);
        }
    }

    /// Follows the owner's word.
    pub fn follow(&self, share: &Share) {
        let mut live = self.live.lock().expect("moves lock");
        let live = live.get_mut(&share.service);
        if let Some(live) = live.filter(|live| live.order == share.order) {
            // Word that arrives late lowers nothing.
            live.share = live.share.max(f64::from(share.permille) / PERMILLE);
        }
    }

    /// Takes in that a version is bad.
    pub fn condemn(&self, service: &str, order: u64) {
        let mut live = self.live.lock().expect("moves lock");
        let live = live.get_mut(service);
        if let Some(live) = live.filter(|live| live.order == order && !live.bad) {
            log::warn!(service, order; "the new version is bad");
            live.bad = true;
        }
    }

    /// Keeps a record for each move under way.
    fn sync(&self, view: &View) {
        let mut live = self.live.lock().expect("moves lock");
        live.retain(|service, live| {
            let declared = view.moves.get(service);
            declared.is_some_and(|declared| declared.order == live.order)
        });
        for (service, declared) in &view.moves {
            let is_over = matches!(declared.state, Some(State::Completed | State::RolledBack));
            if !is_over && !live.contains_key(service) {
                let version = declared.version.as_str();
                log::info!(service = service.as_str(), version, order = declared.order; "move ordered");
                live.insert(service.clone(), Live::new(declared.order));
            }
        }
    }

    fn with<T>(&self, service: &str, work: impl FnOnce(&mut Live) -> T) -> Option<T> {
        let mut live = self.live.lock().expect("moves lock");
        live.get_mut(service).map(work)
    }

    /// What this node has seen, to be sent to the owner.
    fn tally(&self, service: &str) -> Option<Tally> {
        self.with(service, |live| {
            let routes = live.own.iter().map(|(route, pair)| notice::Route {
                route: *route,
                old: wire(pair.old),
                new: wire(pair.new),
            });
            Tally {
                service: service.to_owned(),
                order: live.order,
                routes: routes.collect(),
            }
        })
    }
}

/// What one node does for the moves under way.
struct Duty {
    world: Arc<World>,
    moves: Arc<Moves>,
    notices: Arc<Notices>,
    /// Moves that this node owns, by service.
    owned: HashMap<String, Ownership>,
    /// Since when a move has no owner, by service.
    vacant: HashMap<String, Instant>,
}

/// Looks after moves until the process ends.
pub async fn run(world: Arc<World>, moves: Arc<Moves>, notices: Arc<Notices>) {
    let mut duty = Duty {
        world,
        moves,
        notices,
        owned: HashMap::new(),
        vacant: HashMap::new(),
    };
    loop {
        Timer::after(TICK).await;
        let view = duty.world.view();
        duty.moves.sync(&view);
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
    async fn look_after(&mut self, view: &View, service: &str, declared: &view::Move) {
        if matches!(declared.state, Some(State::Completed | State::RolledBack)) {
            if let Some(ownership) = self.owned.remove(service) {
                owner::give_up(&self.world, &ownership).await;
            }
            return;
        }
        if let Some(ownership) = self.owned.get_mut(service) {
            let parts = (&*self.world, &*self.moves, &*self.notices);
            if !owner::decide(parts, service, declared, ownership).await {
                self.owned.remove(service);
            }
            return;
        }
        match self.owner(service) {
            Some(owner) if owner.address != self.world.settings().peers => {
                self.vacant.remove(service);
                if let Some(tally) = self.moves.tally(service) {
                    self.notices.send(owner.address, Notice::Tally(tally)).await;
                }
            }
            // A former process of this node may have left its key, which lapses.
            Some(_) => {}
            None => self.stand_by(view, service, declared).await,
        }
    }

    /// Claims a move without an owner, once those that come before this node have had their time.
    async fn stand_by(&mut self, view: &View, service: &str, declared: &view::Move) {
        let since = self.vacant.entry(service.to_owned());
        let since = *since.or_insert_with(Instant::now);
        let patience = STANDBY_WAIT * owner::rank(&self.world, view, service);
        if since.elapsed() < patience || self.world.is_stopping() {
            return;
        }
        if let Some(ownership) = owner::claim(&self.world, service, declared).await {
            self.owned.insert(service.to_owned(), ownership);
        }
        self.vacant.remove(service);
    }

    fn owner(&self, service: &str) -> Option<Owner> {
        let key = format!("{}{service}", keys::OWNERS);
        self.world.read(|mirror| {
            let item = mirror.get(&key)?;
            serde_json::from_slice(&item.value).ok()
        })
    }
}

fn counts(counts: notice::Counts) -> brief::Counts {
    brief::Counts {
        calls: counts.calls,
        failed: counts.failed,
        slow: counts.slow,
    }
}

fn wire(counts: brief::Counts) -> notice::Counts {
    notice::Counts {
        calls: counts.calls,
        failed: counts.failed,
        slow: counts.slow,
    }
}
