//! Moves of services to new versions, by the operator's orders.
//!
//! One node owns a move by a key under a lease. It adds up what all nodes have seen of both
//! versions, decides by [`brief`], and tells every node the share; what has come of the move it
//! writes on condition that the key is still the one that it created. A node that fails alone stops
//! its own use of the version at once, and no node raises a share that it was not told.

use super::{
    keys::{self, Owner, Start},
    notices::Notices,
    view::{self, View},
    world::World,
};
use crate::state::unix_millis;
use fulmarreel_platform::order::{self, Outcome, State};
use fulmarreel_rollout::brief::{self, Evidence, Step};
use fulmarreel_store::{Error, Lease, Outcome as Commit, Revision, Store, Transaction};
use fulmarreel_wire::notice::{self, Notice, Share, Tally};
use smol::Timer;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How often moves are looked after.
const TICK: Duration = Duration::from_millis(250);

/// The lifetime of an owner's lease, without its renewal.
const LEASE: Duration = Duration::from_millis(3_000);

/// Age of a lease from which on it is renewed.
const RENEWAL_AGE: Duration = Duration::from_millis(1_000);

/// How long each further node waits for those before it to own a move.
const STANDBY_WAIT: Duration = Duration::from_millis(700);

/// Pause after a call to the store that failed.
const STORE_PAUSE: Duration = Duration::from_millis(300);

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

/// What an owner needs to write.
#[derive(Debug)]
struct Ownership {
    order: u64,
    lease: Lease,
    /// The revision that created the owner's key.
    created: Revision,
    renewed: Instant,
    /// When the move began.
    start: Instant,
    state: Option<State>,
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

/// Looks after moves until the process ends.
pub async fn run(world: Arc<World>, moves: Arc<Moves>, notices: Arc<Notices>) {
    let mut owned: HashMap<String, Ownership> = HashMap::new();
    let mut vacant: HashMap<String, Instant> = HashMap::new();
    loop {
        Timer::after(TICK).await;
        let view = world.view();
        moves.sync(&view);
        owned.retain(|service, ownership| {
            let declared = view.moves.get(service);
            declared.is_some_and(|declared| declared.order == ownership.order)
        });
        for (service, declared) in &view.moves {
            if matches!(declared.state, Some(State::Completed | State::RolledBack)) {
                if let Some(ownership) = owned.remove(service) {
                    give_up(&world, &ownership).await;
                }
                continue;
            }
            if let Some(ownership) = owned.get_mut(service) {
                if !decide(&world, &moves, &notices, service, declared, ownership).await {
                    owned.remove(service);
                }
                continue;
            }
            let key = format!("{}{service}", keys::OWNERS);
            let owner = world.read(|mirror| {
                let item = mirror.get(&key)?;
                serde_json::from_slice::<Owner>(&item.value).ok()
            });
            match owner {
                Some(owner) if owner.address != world.settings().peers => {
                    vacant.remove(service);
                    if let Some(tally) = moves.tally(service) {
                        notices.send(owner.address, Notice::Tally(tally)).await;
                    }
                }
                // A former process of this node may have left its key, which lapses.
                Some(_) => {}
                None => {
                    let since = vacant.entry(service.clone()).or_insert_with(Instant::now);
                    let patience = STANDBY_WAIT * rank(&world, &view, service);
                    if since.elapsed() >= patience && !world.is_stopping() {
                        if let Some(ownership) = claim(&world, service, declared).await {
                            owned.insert(service.clone(), ownership);
                        }
                        vacant.remove(service);
                    }
                }
            }
        }
    }
}

/// This node's place among those that may own a service's move, from 0.
fn rank(world: &World, view: &View, service: &str) -> u32 {
    let seed = xxh3_64(service.as_bytes());
    let score = |address: SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), seed);
    let own = score(world.settings().peers);
    let before = view.nodes.iter().filter(|node| score(node.0) > own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Tries to own a move.
async fn claim(world: &World, service: &str, declared: &view::Move) -> Option<Ownership> {
    match try_claim(world, service, declared).await {
        Ok(ownership) => ownership,
        Err(error) => {
            log::warn!(service; "move not claimed: {error}");
            Timer::after(STORE_PAUSE.mul_f64(1.0 + fastrand::f64())).await;
            None
        }
    }
}

async fn try_claim(
    world: &World,
    service: &str,
    declared: &view::Move,
) -> Result<Option<Ownership>, Error> {
    let renewed = Instant::now();
    let lease = world
        .store
        .grant(LEASE.max(world.settings().min_lease))
        .await?;
    let owner = Owner {
        address: world.settings().peers,
        boot: world.boot,
    };
    let start = start(world, service, declared);
    let (Ok(owner), Ok(start_value)) = (serde_json::to_vec(&owner), serde_json::to_vec(&start))
    else {
        return Ok(None);
    };
    let owner_key = format!("{}{service}", keys::OWNERS);
    let start_key = format!("{}{service}", keys::STARTS);
    let outcome = Outcome {
        version: declared.version.clone(),
        state: State::Running,
    };
    let mut transaction = Transaction::new()
        .when_absent(&owner_key)
        .put_leased(&owner_key, &owner, lease)
        .put(&start_key, &start_value);
    if declared.state.is_none()
        && let Ok(outcome) = order::encode_outcome(&outcome)
    {
        transaction = transaction.put(&format!("{}{service}", order::OUTCOMES), &outcome);
    }
    match world.store.commit_checked(&transaction).await? {
        Commit::Written(created) => {
            log::info!(service, order = declared.order, created = created.0; "this node owns the move");
            let elapsed = Duration::from_millis(unix_millis().saturating_sub(start.at));
            let elapsed = elapsed.min(declared.limit);
            let now = Instant::now();
            Ok(Some(Ownership {
                order: declared.order,
                lease,
                created,
                renewed,
                start: now.checked_sub(elapsed).unwrap_or(now),
                state: declared.state,
            }))
        }
        Commit::Conflict(_) => {
            world.store.revoke(lease).await?;
            Ok(None)
        }
    }
}

/// When the move began, as a former owner wrote it.
fn start(world: &World, service: &str, declared: &view::Move) -> Start {
    let key = format!("{}{service}", keys::STARTS);
    let known = world.read(|mirror| {
        let item = mirror.get(&key)?;
        serde_json::from_slice::<Start>(&item.value).ok()
    });
    let known = known.filter(|start| start.order == declared.order);
    known.unwrap_or(Start {
        order: declared.order,
        at: unix_millis(),
    })
}

/// Renews the lease, decides, and says what follows; whether this node may still own the move.
async fn decide(
    world: &World,
    moves: &Moves,
    notices: &Notices,
    service: &str,
    declared: &view::Move,
    ownership: &mut Ownership,
) -> bool {
    if ownership.renewed.elapsed() > RENEWAL_AGE {
        let asked = Instant::now();
        match world.store.keep_alive(ownership.lease).await {
            Ok(_) => ownership.renewed = asked,
            Err(Error::Expired { .. }) => {
                log::info!(service; "the owner's lease has lapsed");
                return false;
            }
            Err(error) => log::warn!(service; "lease not renewed: {error}"),
        }
    }
    let holds = ownership.renewed.elapsed() < LEASE;
    let evidence = moves
        .with(service, |live| live.evidence())
        .unwrap_or_default();
    match brief::step(&evidence, ownership.start.elapsed(), declared.limit) {
        Step::TakeBack(counts) => {
            if ownership.state != Some(State::RolledBack) {
                log::warn!(
                    service,
                    order = declared.order,
                    calls = counts.calls,
                    failed = counts.failed,
                    slow = counts.slow;
                    "the new version is taken back"
                );
            }
            moves.condemn(service, declared.order);
            ownership.state = Some(State::RolledBack);
            let bad = Notice::Bad {
                service: service.to_owned(),
                order: declared.order,
            };
            notices.send_all(&bad).await;
            write(world, service, declared, ownership, State::RolledBack).await
        }
        // Without a lease that holds no share rises and no move ends.
        Step::Share(_) | Step::Complete if !holds => true,
        Step::Complete if !has_target(&world.view(), service, declared) => true,
        Step::Complete => write(world, service, declared, ownership, State::Completed).await,
        Step::Share(share) => {
            if !has_target(&world.view(), service, declared) {
                return true;
            }
            let share = Share {
                service: service.to_owned(),
                order: declared.order,
                permille: (share * PERMILLE) as u16,
            };
            moves.follow(&share);
            notices.send_all(&Notice::Share(share)).await;
            true
        }
    }
}

fn has_target(view: &View, service: &str, declared: &view::Move) -> bool {
    let mut targets = view.targets(service).iter();
    targets.any(|target| target.version == declared.version)
}

/// Writes what has come of a move; whether this node may still own it.
async fn write(
    world: &World,
    service: &str,
    declared: &view::Move,
    ownership: &Ownership,
    state: State,
) -> bool {
    let version = declared.version.clone();
    let Ok(outcome) = order::encode_outcome(&Outcome { version, state }) else {
        return true;
    };
    let transaction = Transaction::new()
        .when_revision(&format!("{}{service}", keys::OWNERS), ownership.created)
        .put(&format!("{}{service}", order::OUTCOMES), &outcome);
    match world.store.commit(&transaction).await {
        Ok(Commit::Written(revision)) => {
            log::info!(service, order = declared.order, revision = revision.0, state:? = state; "move ended");
            true
        }
        Ok(Commit::Conflict(_)) => {
            log::info!(service; "another node owns the move");
            false
        }
        Err(error) => {
            log::warn!(service; "outcome not written: {error}");
            Timer::after(STORE_PAUSE).await;
            true
        }
    }
}

/// Ends the lease of a move that is over.
async fn give_up(world: &World, ownership: &Ownership) {
    if let Err(error) = world.store.revoke(ownership.lease).await {
        // It lapses by itself.
        log::info!("lease of a move: {error}");
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
