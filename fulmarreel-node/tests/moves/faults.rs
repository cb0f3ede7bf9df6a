//! Moves while their owner or the store fails.

use super::support::{call_for, document, owner, published, ready, start, store, wait_for};
use anyhow::{Context, ensure};
use fulmarreel_rollout::Share;
use fulmarreel_testing::{
    load::Outcome,
    process::{Mesh, eventually},
};
use rstest::rstest;
use smol::Timer;
use std::{net::SocketAddr, time::Duration};

async fn post(address: SocketAddr, path: &str, body: &'static str) -> anyhow::Result<()> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let conn = client
        .post(format!("http://{address}{path}"))
        .with_body(body)
        .await?;
    ensure!(
        conn.status() == Some(trillium::Status::Ok),
        "{path} refused"
    );
    Ok(())
}

fn instance_of(mesh: &Mesh, owner: SocketAddr) -> anyhow::Result<usize> {
    let mut instances = mesh.instances.iter();
    instances
        .position(|instance| instance.peers == owner)
        .context("owner is no instance")
}

/// A killed owner is followed by another, and so is one that is frozen past its lease; no step is
/// lost.
///
/// Fails where standbys stop looking once an owner is published: seen with that condition put
/// into `Duties::is_standby`.
#[rstest]
#[case::killed("KILL")]
#[case::frozen("STOP")]
fn a_move_goes_on_under_another_owner(#[case] signal: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(300, 3)?)?;
        let calls = call_for(&mesh, Duration::from_secs(30));
        let store = store(&mesh);
        let patience = Duration::from_secs(25);
        let before = wait_for(&store, patience, |state| state.share > Share::NONE).await?;
        let first = owner(&store).await?;
        let instance = &mesh.instances[instance_of(&mesh, first)?];
        instance.node.signal(signal)?;
        let second = eventually(|| async {
            let now = owner(&store).await?;
            ensure!(now != first, "still {now}");
            Ok(now)
        })
        .await?;
        if signal == "STOP" {
            instance.node.signal("CONT")?;
        }
        let mut last = published(&store).await?;
        for _ in 0..20 {
            Timer::after(Duration::from_millis(200)).await;
            let next = published(&store).await?;
            ensure!(
                next.state.step >= last.state.step,
                "{next:?} after {last:?}"
            );
            ensure!(next.owner == second, "{next:?} by {second}");
            last = next;
        }
        ensure!(last.state.step >= before.step, "{last:?} after {before:?}");
        drop(calls);
        Ok(())
    })
}

/// No share rises while the store is gone, and the move goes on afterwards.
///
/// Fails where nobody takes the lease that lapsed meanwhile: seen with standbys that stop looking
/// once an owner is published.
#[test]
fn no_share_rises_without_the_store() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = call_for(&mesh, Duration::from_secs(80));
        let store = store(&mesh);
        let patience = Duration::from_secs(40);
        let before = wait_for(&store, patience, |state| state.share > Share::NONE).await?;
        post(mesh.store_address, "/faults", r#"{ "down": true }"#).await?;
        let shares = shares_for(&mesh, Duration::from_secs(10)).await?;
        let highest = shares.iter().copied().max().unwrap_or(Share::NONE);
        post(mesh.store_address, "/faults", "{}").await?;
        // At least as late a step as the store held all the time.
        let held = eventually(|| published(&store)).await?.state;
        ensure!(
            highest <= held.share,
            "{highest:?}, at most {:?} is allowed",
            held.share
        );
        wait_for(&store, patience, |state| state.step > before.step).await?;
        drop(calls);
        Ok(())
    })
}

/// Calls that the new version's targets cannot take go to the old version's.
///
/// Fails where a call stays with the version chosen first: seen with `prefer_old` doing nothing.
#[test]
fn no_call_is_refused_when_the_new_version_dies() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = call_for(&mesh, Duration::from_secs(30));
        let store = store(&mesh);
        let patience = Duration::from_secs(25);
        wait_for(&store, patience, |state| state.share > Share::NONE).await?;
        for instance in &mesh.instances[2..] {
            instance.target.signal("KILL")?;
        }
        let report = calls.await;
        ensure!(report.count(Outcome::NotRun) == 0, "{}", report.summary());
        ensure!(report.count(Outcome::Failed) == 0, "{}", report.summary());
        Ok(())
    })
}

/// The shares that nodes say are active, over some time.
async fn shares_for(mesh: &Mesh, time: Duration) -> anyhow::Result<Vec<Share>> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let deadline = std::time::Instant::now() + time;
    let mut shares = Vec::new();
    while std::time::Instant::now() < deadline {
        for instance in &mesh.instances {
            let mut conn = client
                .get(format!("http://{}/view", instance.admin))
                .await?;
            let text = conn.response_body().read_string().await?;
            let view: serde_json::Value = serde_json::from_str(&text)?;
            let share = &view["documents"]["reservas"]["shift"]["share_percent"];
            let percent = share.as_f64().context("no share in the view")?;
            ensure!((0.0..=100.0).contains(&percent), "{percent} percent");
            shares.push(Share::from_fraction(percent / 100.0));
        }
        Timer::after(Duration::from_millis(250)).await;
    }
    Ok(shares)
}
