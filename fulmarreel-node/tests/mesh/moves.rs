//! Rollouts of a new version of a service, ordered by an operator.

use crate::{
    backend::Behavior,
    support::{Instance, call, configure, eventually},
};
use anyhow::{Context, ensure};
use fulmarreel_testing::kv::FakePlatformStore;
use smol::Timer;
use std::time::{Duration, Instant};

/// Duration that an order gives for the rollout, in seconds.
const ROLLOUT_S: u64 = 8;

/// Starts an instance for callers, one with a target of `v1` and one of `v2`, and orders the
/// rollout from `v1` to `v2`.
async fn start_rollout() -> anyhow::Result<(FakePlatformStore, Instance, Instance, Instance)> {
    let store = FakePlatformStore::start()?;
    configure(&store, 1, &["s", "own"]);
    let caller = Instance::start(store.address(), "own", "v1").await?;
    let old = Instance::start(store.address(), "s", "v1").await?;
    caller.wait_served("/s/").await?;
    let order =
        format!("{{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":{ROLLOUT_S}}}");
    store.put("op/rollout/s", order.as_bytes());
    let new = Instance::start(store.address(), "s", "v2").await?;
    Ok((store, caller, old, new))
}

/// Sends lookups until the store holds the rollout's outcome, and returns that.
async fn call_until_rollout_ends(
    store: &FakePlatformStore,
    caller: &Instance,
) -> anyhow::Result<String> {
    let until = Instant::now() + Duration::from_secs(ROLLOUT_S + 2);
    let mut number = 0_u32;
    while Instant::now() < until {
        number += 1;
        let _ = caller.request("GET", "/s/", &format!("r-{number}")).await;
        Timer::after(Duration::from_millis(10)).await;
        let state = store.get("status/rollout/s").unwrap_or_default();
        let state = String::from_utf8_lossy(&state).into_owned();
        if state.contains("completed") || state.contains("rolled_back") {
            return Ok(state);
        }
    }
    anyhow::bail!("the move did not end")
}

/// Fails if a good version doesn't get all traffic in time, or the old one still gets some
/// afterwards.
#[test]
fn a_good_version_takes_over_in_time() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, old, new) = start_rollout().await?;
        let started = Instant::now();
        let state = call_until_rollout_ends(&store, &caller).await?;
        ensure!(state.contains("completed"), "{state}");
        ensure!(
            started.elapsed() < Duration::from_secs(ROLLOUT_S),
            "{:?}",
            started.elapsed()
        );
        let (before, after) = (old.backend.arrivals().len(), new.backend.arrivals().len());
        for number in 0..10 {
            caller
                .request("GET", "/s/", &format!("after-{number}"))
                .await?;
        }
        ensure!(old.backend.arrivals().len() == before);
        ensure!(new.backend.arrivals().len() == after + 10);
        Ok(())
    })
}

/// Fails if a bad version gets more than a small share of the requests, or any after the rollout
/// was rolled back.
#[test]
fn a_bad_version_is_taken_back() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, old, new) = start_rollout().await?;
        new.backend.set_behavior(Behavior {
            status: 500,
            ..Behavior::default()
        });
        let state = call_until_rollout_ends(&store, &caller).await?;
        ensure!(state.contains("rolled_back"), "{state}");
        let (harmed, all) = (new.backend.arrivals().len(), old.backend.arrivals().len());
        ensure!(harmed * 10 <= all + harmed + 100, "{harmed} of {all}");
        for number in 0..10 {
            let answer = caller
                .request("GET", "/s/", &format!("after-{number}"))
                .await?;
            ensure!(answer.status == 200, "{}", answer.text);
        }
        ensure!(new.backend.arrivals().len() == harmed);
        Ok(())
    })
}

/// Fails if a rollout stops for good when the node that owns it is killed.
#[test]
fn a_move_goes_on_without_its_owner() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, mut caller, mut old, mut new) = start_rollout().await?;
        eventually("owned", || async {
            store.get("fulmarreel/owners/s").is_some()
        })
        .await?;
        let owner = store.get("fulmarreel/owners/s").unwrap_or_default();
        let owner = String::from_utf8_lossy(&owner).into_owned();
        let owns = |instance: &Instance| owner.contains(&instance.peers.to_string());
        for instance in [&mut caller, &mut old, &mut new] {
            if owns(instance) {
                instance.process.signal("KILL")?;
                instance.process.wait_for_exit(Duration::from_secs(2))?;
                instance.restart()?;
            }
        }
        let state = call_until_rollout_ends(&store, &caller).await?;
        ensure!(state.contains("completed"), "{state}");
        Ok(())
    })
}

/// The share of `v2` in the requests for `s` that a node uses, by its metrics; none before it has
/// one.
async fn share(instance: &Instance) -> anyhow::Result<Option<f64>> {
    let metrics = call(instance.metrics, "GET", "/metrics", "node", &[], "").await?;
    let line = "fulmarreel_share{service=\"s\",version=\"v2\"} ";
    let mut values = metrics
        .text
        .lines()
        .filter_map(|metric| metric.strip_prefix(line));
    Ok(values.next().map(str::parse).transpose()?)
}

/// Fails if a node keeps its share after the rollout's owner went silent: a bad version kept its
/// share for 13 s.
#[test]
fn a_share_falls_when_its_owner_is_silent() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s", "own"]);
        let owner = Instance::start(store.address(), "own", "v1").await?;
        owner.wait_ready().await?;
        let order = format!(
            "{{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":{}}}",
            2 * ROLLOUT_S
        );
        store.put("op/rollout/s", order.as_bytes());
        eventually("owned", || async {
            store.get("fulmarreel/owners/s").is_some()
        })
        .await?;
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let _old = Instance::start(store.address(), "s", "v1").await?;
        let _new = Instance::start(store.address(), "s", "v2").await?;
        caller.wait_served("/s/").await?;
        eventually("a share", || async {
            matches!(share(&caller).await, Ok(Some(share)) if share > 0.0)
        })
        .await?;
        owner.process.signal("STOP")?;
        // Shorter than the owner's lease, so that no other owner has announced a share yet.
        Timer::after(Duration::from_millis(2_000)).await;
        let kept = share(&caller).await?.context("no share")?;
        owner.process.signal("CONT")?;
        ensure!(kept == 0.0, "still {kept}");
        let log = caller.log()?;
        ensure!(
            log.contains("the move's owner is taken to be lost"),
            "{log}"
        );
        Ok(())
    })
}
