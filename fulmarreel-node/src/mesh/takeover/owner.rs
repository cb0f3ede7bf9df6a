//! The node that owns a move: its key, its decisions, and what it writes.

use super::{Moves, PERMILLE};
use crate::{
    mesh::{
        keys::{self, Owner, Start},
        notices::Notices,
        view::{self, View},
        world::World,
    },
    state::unix_millis,
};
use fulmarreel_platform::order::{self, Outcome, State};
use fulmarreel_rollout::brief::{self, Step};
use fulmarreel_store::{Error, Lease, Outcome as Commit, Revision, Store, Transaction};
use fulmarreel_wire::notice::{Notice, Share};
use smol::Timer;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The lifetime of an owner's lease, without its renewal.
const LEASE: Duration = Duration::from_millis(3_000);

/// Age of a lease from which on it is renewed.
const RENEWAL_AGE: Duration = Duration::from_millis(1_000);

/// Pause after a call to the store that failed.
const STORE_PAUSE: Duration = Duration::from_millis(300);

/// What an owner needs to write.
#[derive(Debug)]
pub(super) struct Ownership {
    pub order: u64,
    lease: Lease,
    /// The revision that created the owner's key.
    created: Revision,
    renewed: Instant,
    /// When the move began.
    start: Instant,
    state: Option<State>,
}

/// This node's place among those that may own a service's move, from 0.
pub(super) fn rank(world: &World, view: &View, service: &str) -> u32 {
    let seed = xxh3_64(service.as_bytes());
    let score = |address: SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), seed);
    let own = score(world.settings().peers);
    let before = view.nodes.iter().filter(|node| score(node.0) > own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Tries to own a move.
pub(super) async fn claim(
    world: &World,
    service: &str,
    declared: &view::Move,
) -> Option<Ownership> {
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
pub(super) async fn decide(
    (world, moves, notices): (&World, &Moves, &Notices),
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
pub(super) async fn give_up(world: &World, ownership: &Ownership) {
    if let Err(error) = world.store.revoke(ownership.lease).await {
        // It lapses by itself.
        log::info!("lease of a move: {error}");
    }
}
