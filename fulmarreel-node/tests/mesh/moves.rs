//! Moves to new versions, by the operator's orders.

use crate::{
    backend::Manner,
    support::{Instance, call, configure, eventually},
};
use anyhow::{Context, ensure};
use fulmarreel_testing::kv::Stand;
use smol::Timer;
use std::time::{Duration, Instant};

/// The time that an order gives, in seconds.
const LIMIT_S: u64 = 8;

async fn order() -> anyhow::Result<(Stand, Instance, Instance, Instance)> {
    let stand = Stand::start()?;
    configure(&stand, 1, &["s", "own"]);
    let caller = Instance::start(stand.address(), "own", "v1").await?;
    let old = Instance::start(stand.address(), "s", "v1").await?;
    caller.wait_served("/s/").await?;
    let order = format!("{{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":{LIMIT_S}}}");
    stand.put("op/rollout/s", order.as_bytes());
    let new = Instance::start(stand.address(), "s", "v2").await?;
    Ok((stand, caller, old, new))
}

/// Sends lookups until the move has ended, and some more; returns its state.
async fn call_until_over(stand: &Stand, caller: &Instance) -> anyhow::Result<String> {
    let until = Instant::now() + Duration::from_secs(LIMIT_S + 2);
    let mut number = 0_u32;
    while Instant::now() < until {
        number += 1;
        let _ = caller.request("GET", "/s/", &format!("r-{number}")).await;
        Timer::after(Duration::from_millis(10)).await;
        let state = stand.get("status/rollout/s").unwrap_or_default();
        let state = String::from_utf8_lossy(&state).into_owned();
        if state.contains("completed") || state.contains("rolled_back") {
            return Ok(state);
        }
    }
    anyhow::bail!("the move did not end")
}

/// Fails if a good version does not have all traffic in time, or the old one still gets some.
#[test]
fn a_good_version_takes_over_in_time() -> anyhow::Result<()> {
    smol::block_on(async {
        let (stand, caller, old, new) = order().await?;
        let started = Instant::now();
        let state = call_until_over(&stand, &caller).await?;
        ensure!(state.contains("completed"), "{state}");
        ensure!(
            started.elapsed() < Duration::from_secs(LIMIT_S),
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

/// Fails if a bad version gets more than a small share, or any request after the verdict.
#[test]
fn a_bad_version_is_taken_back() -> anyhow::Result<()> {
    smol::block_on(async {
        let (stand, caller, old, new) = order().await?;
        new.backend.set_manner(Manner {
            status: 500,
            ..Manner::default()
        });
        let state = call_until_over(&stand, &caller).await?;
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

/// Fails if a move stands still when its owner is killed.
#[test]
fn a_move_goes_on_without_its_owner() -> anyhow::Result<()> {
    smol::block_on(async {
        let (stand, mut caller, mut old, mut new) = order().await?;
        eventually("owned", || async {
            stand.get("fulmarreel/owners/s").is_some()
        })
        .await?;
        let owner = stand.get("fulmarreel/owners/s").unwrap_or_default();
        let owner = String::from_utf8_lossy(&owner).into_owned();
        let owns = |instance: &Instance| owner.contains(&instance.peers.to_string());
        for instance in [&mut caller, &mut old, &mut new] {
            if owns(instance) {
                instance.process.signal("KILL")?;
                instance.process.status(Duration::from_secs(2))?;
                instance.restart()?;
            }
        }
        let state = call_until_over(&stand, &caller).await?;
        ensure!(state.contains("completed"), "{state}");
        Ok(())
    })
}

/// The share of `s` that a node uses, by its metrics; none before it has told one.
async fn share(instance: &Instance) -> anyhow::Result<Option<f64>> {
    let metrics = call(instance.metrics, "GET", "/metrics", "node", &[], "").await?;
    let line = "fulmarreel_share{service=\"s\",version=\"v2\"} ";
    let mut values = metrics.text.lines().filter_map(|it| it.strip_prefix(line));
    Ok(values.next().map(str::parse).transpose()?)
}

/// Fails if a node keeps the share that it was told by an owner that says nothing any more: a bad
/// version kept its share for 13 s.
#[test]
fn a_share_falls_when_its_owner_is_silent() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s", "own"]);
        let owner = Instance::start(stand.address(), "own", "v1").await?;
        owner.wait_ready().await?;
        let order = format!(
            "{{\"service\":\"s\",\"target_version\":\"v2\",\"duration_s\":{}}}",
            2 * LIMIT_S
        );
        stand.put("op/rollout/s", order.as_bytes());
        eventually("owned", || async {
            stand.get("fulmarreel/owners/s").is_some()
        })
        .await?;
        let caller = Instance::start(stand.address(), "own", "v1").await?;
        let _old = Instance::start(stand.address(), "s", "v1").await?;
        let _new = Instance::start(stand.address(), "s", "v2").await?;
        caller.wait_served("/s/").await?;
        eventually("a share", || async {
            matches!(share(&caller).await, Ok(Some(share)) if share > 0.0)
        })
        .await?;
        owner.process.signal("STOP")?;
        // Before the owner's lease lapses, so that no other one has told a share.
        Timer::after(Duration::from_millis(2_000)).await;
        let held = share(&caller).await?.context("no share")?;
        owner.process.signal("CONT")?;
        ensure!(held == 0.0, "still {held}");
        let log = caller.log()?;
        ensure!(
            log.contains("the move's owner is taken to be lost"),
            "{log}"
        );
        Ok(())
    })
}
