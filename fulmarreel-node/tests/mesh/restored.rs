//! A store that comes back from an earlier copy of itself, beside nodes that keep running.

use crate::{
    backend::Behavior,
    support::{Instance, Location, configure, eventually},
};
use anyhow::ensure;
use fulmarreel_testing::kv::{FakePlatformStore, Faults};
use rstest::rstest;
use smol::{Timer, lock::Mutex};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How long after the store's return what it lost of the nodes may be missing.
const RETURN_LIMIT: Duration = Duration::from_secs(2);

/// How long the store is away before it comes back.
const OUTAGE: Duration = Duration::from_millis(600);

/// Longer than the readers of the store go on without an answer.
const LONG_OUTAGE: Duration = Duration::from_secs(6);

/// Time from which the store makes a copy of its contents.
const COPY_TIME: Duration = Duration::from_millis(100);

/// Longer than anything that a test does: the store goes back to its start.
const ALL: Duration = Duration::from_secs(60);

/// Duration that an order gives for the rollout, in seconds.
const ROLLOUT_S: u64 = 8;

/// The prefix of the entries of nodes.
const NODES: &str = "fulmarreel/nodes/";

/// Calls to the store in the 3 s after its return, for each node: its entry, and where it reads the
/// store, a listing and its watches.
const MAX_CALLS_PER_NODE: u64 = 16;

/// Held by each test, so that they don't slow each other down.
static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());

/// Takes the store away, and lets it come back as it was `age` before.
async fn go_back(store: &FakePlatformStore, age: Duration) -> Instant {
    go_back_after(store, OUTAGE, age).await
}

/// As [`go_back`], after an outage of a given length.
async fn go_back_after(store: &FakePlatformStore, outage: Duration, age: Duration) -> Instant {
    store.set_faults(Faults {
        status: Some(503),
        ..Faults::default()
    });
    Timer::after(outage).await;
    store.go_back(age + outage);
    store.set_faults(Faults::default());
    Instant::now()
}

/// The entries of nodes in the store.
fn entries(store: &FakePlatformStore) -> BTreeMap<String, Vec<u8>> {
    let keys = store.keys().into_iter();
    let keys = keys.filter(|key| key.starts_with(NODES));
    keys.filter_map(|key| Some((key.clone(), store.get(&key)?)))
        .collect()
}

/// Waits until the store has the entries of so many nodes, each with a target.
async fn wait_entries(store: &FakePlatformStore, count: usize) -> anyhow::Result<()> {
    eventually("entries", || async {
        let entries = entries(store);
        let named = entries.values().filter(|entry| {
            let entry = String::from_utf8_lossy(entry);
            !entry.contains("\"target\":null")
        });
        named.count() == count
    })
    .await
}

fn outcome(store: &FakePlatformStore) -> String {
    let outcome = store.get("status/rollout/s").unwrap_or_default();
    String::from_utf8_lossy(&outcome).into_owned()
}

fn put_order(store: &FakePlatformStore) {
    let order =
        format!("{{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":{ROLLOUT_S}}}");
    store.put("op/rollout/s", order.as_bytes());
}

/// Sends lookups that must all succeed until a condition holds, at most for a time; returns whether it
/// does.
async fn serve_until(
    caller: &Instance,
    limit: Duration,
    holds: impl Fn() -> bool,
) -> anyhow::Result<bool> {
    let started = Instant::now();
    while started.elapsed() < limit {
        if holds() {
            return Ok(true);
        }
        let answer = caller.request("GET", "/s/", "r").await?;
        ensure!(answer.status == 200, "{}", answer.text);
        Timer::after(Duration::from_millis(10)).await;
    }
    Ok(holds())
}

/// Fails if nodes lose each other with the store's contents, write their entries late or twice, or
/// storm the store. Both without any entry in the copy and with outdated ones.
#[rstest]
#[case::copy_without_entries(true, OUTAGE)]
#[case::copy_with_outdated_entries(false, OUTAGE)]
#[case::after_a_long_outage(true, LONG_OUTAGE)]
fn a_fleet_serves_on_and_writes_its_entries_again(
    #[case] is_empty: bool,
    #[case] outage: Duration,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let _lock = DEPLOYMENT_LOCK.lock().await;
        let store = FakePlatformStore::start_with_eras()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let far = Location {
            region: "q",
            zone: "b",
        };
        let _near = Instance::start(store.address(), "s", "v1").await?;
        let _far = Instance::start_at(far, store.address(), "s", "v1").await?;
        wait_entries(&store, 3).await?;
        caller.wait_served("/s/").await?;
        let written = entries(&store);
        if !is_empty {
            for key in written.keys() {
                let old = String::from_utf8_lossy(&written[key]).into_owned();
                store.put(key, old.replace("\"slots\":4", "\"slots\":3").as_bytes());
            }
            Timer::after(COPY_TIME).await;
            eventually("corrected", || async { entries(&store) == written }).await?;
        }
        Timer::after(COPY_TIME).await;
        let age = if is_empty { ALL } else { 2 * COPY_TIME };
        let returned = go_back_after(&store, outage, age).await;
        let calls = store.calls();
        let is_back = || entries(&store) == written;
        ensure!(
            serve_until(&caller, RETURN_LIMIT, is_back).await?,
            "{:?}",
            store.keys()
        );
        let took = returned.elapsed();
        eprintln!(
            "entries back after {took:?}, {} calls",
            store.calls() - calls
        );
        ensure!(took < RETURN_LIMIT, "{took:?}");
        serve_until(&caller, Duration::from_secs(3) - took, || false).await?;
        let calls = store.calls() - calls;
        ensure!(calls <= 3 * MAX_CALLS_PER_NODE, "{calls} calls");
        configure(&store, 2, &["s", "own", "t"]);
        eventually("the next configuration", || async {
            let answer = caller.request("GET", "/t/", "r").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await?;
        ensure!(
            caller
                .log()?
                .contains("the store came back from an earlier copy")
        );
        Ok(())
    })
}

/// Fails if a configuration of a lower version than the active one replaces it, from the copy or by a
/// write, so that a route comes back that an operator removed.
#[rstest]
#[case::from_the_copy(true)]
#[case::written(false)]
fn a_removed_route_stays_removed(#[case] is_copied: bool) -> anyhow::Result<()> {
    smol::block_on(async {
        let _lock = DEPLOYMENT_LOCK.lock().await;
        let store = FakePlatformStore::start_with_eras()?;
        configure(&store, 7, &["s", "own", "t"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let _target = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        Timer::after(COPY_TIME).await;
        let removed = Instant::now();
        configure(&store, 8, &["s", "own"]);
        let status = || async {
            let answer = caller.request("GET", "/t/", "r").await;
            answer.map_or(0, |answer| answer.status)
        };
        eventually("removed", || async { status().await == 404 }).await?;
        if is_copied {
            go_back(&store, removed.elapsed() + COPY_TIME / 2).await;
        } else {
            configure(&store, 7, &["s", "own", "t"]);
        }
        let started = Instant::now();
        while started.elapsed() < RETURN_LIMIT {
            serve_until(&caller, COPY_TIME, || false).await?;
            // Without a target: the route of the service `t` would answer 503 with its own reason.
            let answer = caller.request("GET", "/t/", "r").await?;
            ensure!(answer.status == 404, "{}", answer.text);
        }
        configure(&store, 9, &["s", "own", "t"]);
        eventually("back", || async { status().await == 503 }).await
    })
}

/// Fails if a rollout that has ended starts again, or the ended one's outcome is not written again: the
/// copy has the order or lacks it, and the operator writes it again.
#[rstest]
fn an_ended_rollout_stays_ended(
    #[values(true, false)] is_good: bool,
    #[values(true, false)] is_order_copied: bool,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let _lock = DEPLOYMENT_LOCK.lock().await;
        let store = FakePlatformStore::start_with_eras()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let old = Instance::start(store.address(), "s", "v1").await?;
        let new = Instance::start(store.address(), "s", "v2").await?;
        caller.wait_served("/s/").await?;
        wait_entries(&store, 3).await?;
        Timer::after(COPY_TIME).await;
        let ordered = Instant::now();
        put_order(&store);
        if !is_good {
            new.backend.set_behavior(Behavior {
                status: 500,
                ..Behavior::default()
            });
        }
        let state = if is_good { "completed" } else { "rolled_back" };
        eventually("ended", || async {
            let _ = caller.request("GET", "/s/", "r").await;
            outcome(&store).contains(state)
        })
        .await?;
        Timer::after(COPY_TIME * 5).await;
        let lost = if is_order_copied {
            ordered.elapsed() - COPY_TIME / 2
        } else {
            ordered.elapsed() + COPY_TIME / 2
        };
        let stopped = if is_good { &old } else { &new };
        let arrivals = stopped.backend.arrivals().len();
        let returned = go_back(&store, lost).await;
        ensure!(store.get("op/rollout/s").is_some() == is_order_copied);
        let is_back = || outcome(&store).contains(state);
        ensure!(
            serve_until(&caller, RETURN_LIMIT, is_back).await?,
            "{}",
            outcome(&store)
        );
        ensure!(
            returned.elapsed() < RETURN_LIMIT,
            "{:?}",
            returned.elapsed()
        );
        put_order(&store);
        let until = Instant::now() + RETURN_LIMIT;
        while Instant::now() < until {
            serve_until(&caller, COPY_TIME, || false).await?;
            ensure!(outcome(&store).contains(state), "{}", outcome(&store));
        }
        ensure!(
            stopped.backend.arrivals().len() == arrivals,
            "started again"
        );
        let log = [caller.log()?, old.log()?, new.log()?].concat();
        let writes = log.matches("outcome written again").count();
        ensure!(writes <= 2, "written {writes} times");
        Ok(())
    })
}

/// Fails if a rollout in progress stops for good, or its owner is not in the store again in time: the
/// copy has the owner's key, or lacks it.
#[rstest]
fn a_rollout_in_progress_goes_on(
    #[values(true, false)] is_owner_copied: bool,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let _lock = DEPLOYMENT_LOCK.lock().await;
        let store = FakePlatformStore::start_with_eras()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let _old = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        put_order(&store);
        let owner = || store.get("fulmarreel/owners/s");
        if !is_owner_copied {
            Timer::after(COPY_TIME / 4).await;
        }
        let before = Instant::now();
        eventually("owned", || async { owner().is_some() }).await?;
        let known = owner();
        let _new = Instance::start(store.address(), "s", "v2").await?;
        wait_entries(&store, 3).await?;
        Timer::after(COPY_TIME).await;
        let age = if is_owner_copied {
            COPY_TIME / 2
        } else {
            before.elapsed()
        };
        let returned = go_back(&store, age).await;
        if store.get("op/rollout/s").is_none() {
            put_order(&store);
        }
        let is_back = || owner() == known;
        ensure!(
            serve_until(&caller, RETURN_LIMIT, is_back).await?,
            "{:?}",
            owner()
        );
        ensure!(
            returned.elapsed() < RETURN_LIMIT,
            "{:?}",
            returned.elapsed()
        );
        let limit = Duration::from_secs(ROLLOUT_S + 4);
        let is_completed = || outcome(&store).contains("completed");
        ensure!(
            serve_until(&caller, limit, is_completed).await?,
            "{}",
            outcome(&store)
        );
        Ok(())
    })
}

/// Fails if a target whose leaving was acknowledged gets requests because the store lost the record, at
/// the same process of its node or, once the record is written again, at a later one.
#[test]
fn a_target_that_has_left_stays_out() -> anyhow::Result<()> {
    smol::block_on(async {
        let _lock = DEPLOYMENT_LOCK.lock().await;
        let store = FakePlatformStore::start_with_eras()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let _stays = Instance::start(store.address(), "s", "v1").await?;
        let mut leaves = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        wait_entries(&store, 3).await?;
        Timer::after(COPY_TIME).await;
        let left = Instant::now();
        ensure!(leaves.drain().await?, "not acknowledged");
        ensure!(leaves.end_target().await?, "not acknowledged");
        let departure = format!(
            "\"target\":null,\"departures\":[{{\"id\":\"{}\"",
            leaves.backend.id
        );
        let is_recorded = || {
            let entries = entries(&store);
            let mut entries = entries.values().map(|entry| String::from_utf8_lossy(entry));
            entries.any(|entry| entry.contains(&departure))
        };
        ensure!(is_recorded(), "{:?}", entries(&store));
        let arrivals = leaves.backend.arrivals().len();
        go_back(&store, left.elapsed() + COPY_TIME / 2).await;
        ensure!(!is_recorded(), "nothing was lost");
        let late = leaves.announcement("ready").replace("SEQ", "999");
        leaves.announce(&late).await?;
        let is_back = serve_until(&caller, RETURN_LIMIT, is_recorded).await?;
        ensure!(is_back, "{:?}", entries(&store));
        leaves.process.signal("KILL")?;
        leaves.process.wait_for_exit(Duration::from_secs(2))?;
        leaves.restart()?;
        leaves.wait_ready().await?;
        leaves.announce(&late).await?;
        serve_until(&caller, RETURN_LIMIT, || false).await?;
        ensure!(leaves.backend.arrivals().len() == arrivals, "arrived");
        Ok(())
    })
}

/// Fails if targets of an evacuated zone get requests because the store lost the evacuation, before the
/// operator has written it again, or after that; or if the zone stays evacuated when that is removed.
#[test]
fn an_evacuated_zone_stays_evacuated() -> anyhow::Result<()> {
    smol::block_on(async {
        let _lock = DEPLOYMENT_LOCK.lock().await;
        let store = FakePlatformStore::start_with_eras()?;
        configure(&store, 1, &["s", "own"]);
        let other = Location {
            region: "r",
            zone: "b",
        };
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let _stays = Instance::start(store.address(), "s", "v1").await?;
        let evacuated = Instance::start_at(other, store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        wait_entries(&store, 3).await?;
        Timer::after(COPY_TIME).await;
        let ordered = Instant::now();
        store.put("op/evacuate/b", b"{}");
        Timer::after(RETURN_LIMIT).await;
        let arrivals = evacuated.backend.arrivals().len();
        go_back(&store, ordered.elapsed() + COPY_TIME / 2).await;
        ensure!(store.get("op/evacuate/b").is_none(), "nothing was lost");
        let refused = || async {
            let answer = evacuated.request("GET", "/s/", "r").await?;
            ensure!(answer.status == 200, "{}", answer.text);
            ensure!(evacuated.backend.arrivals().len() == arrivals, "arrived");
            anyhow::Ok(())
        };
        for _ in 0..20 {
            refused().await?;
            Timer::after(COPY_TIME).await;
        }
        store.put("op/evacuate/b", b"{}");
        for _ in 0..10 {
            refused().await?;
            Timer::after(COPY_TIME).await;
        }
        store.remove("op/evacuate/b");
        eventually("back", || async {
            let _ = evacuated.request("GET", "/s/", "r").await;
            evacuated.backend.arrivals().len() > arrivals
        })
        .await
    })
}
