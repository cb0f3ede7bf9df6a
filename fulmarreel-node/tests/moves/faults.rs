//! Rollouts while their owner, the store or the new version's targets fail.

use super::support::{
    document, owner, published_rollout, start, start_calls, store_client, wait_for, wait_ready,
};
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

/// Index of the instance whose node is the owner.
fn instance_of(mesh: &Mesh, owner: SocketAddr) -> anyhow::Result<usize> {
    let mut instances = mesh.instances.iter();
    instances
        .position(|instance| instance.peers == owner)
        .context("the owner is none of the instances")
}

/// Another node takes over from an owner that is killed, or is suspended for longer than its lease,
/// and no step of the rollout is lost.
///
/// Verified to fail when standby nodes no longer try to become the owner once an owner is
/// published.
#[rstest]
#[case::killed("KILL")]
#[case::suspended("STOP")]
fn a_move_goes_on_under_another_owner(#[case] signal: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        wait_ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(300, 3)?)?;
        let calls = start_calls(&mesh, Duration::from_secs(30));
        let store = store_client(&mesh);
        let timeout = Duration::from_secs(25);
        let before = wait_for(&store, timeout, |state| state.share > Share::NONE).await?;
        let first = owner(&store).await?;
        let instance = &mesh.instances[instance_of(&mesh, first)?];
        instance.node.signal(signal)?;
        let second = eventually(|| async {
            let current = owner(&store).await?;
            ensure!(current != first, "still {current}");
            Ok(current)
        })
        .await?;
        if signal == "STOP" {
            instance.node.signal("CONT")?;
        }
        let mut last = published_rollout(&store).await?;
        for _ in 0..20 {
            Timer::after(Duration::from_millis(200)).await;
            let next = published_rollout(&store).await?;
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

/// No share rises while the store is down, and the rollout goes on afterwards.
///
/// The latter fails if nobody takes the owner's lease, which lapses meanwhile; verified with
/// standby nodes that no longer try to become the owner once an owner is published.
#[test]
fn no_share_rises_without_the_store() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        wait_ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = start_calls(&mesh, Duration::from_secs(80));
        let store = store_client(&mesh);
        let timeout = Duration::from_secs(40);
        let before = wait_for(&store, timeout, |state| state.share > Share::NONE).await?;
        post(mesh.store_address, "/faults", r#"{ "down": true }"#).await?;
        let shares = observe_shares(&mesh, Duration::from_secs(10)).await?;
        let highest = shares.iter().copied().max().unwrap_or(Share::NONE);
        post(mesh.store_address, "/faults", "{}").await?;
        // The store's step is the one from before the outage or a later one.
        let stored = eventually(|| published_rollout(&store)).await?.state;
        ensure!(
            highest <= stored.share,
            "{highest:?}, at most {:?} is allowed",
            stored.share
        );
        wait_for(&store, timeout, |state| state.step > before.step).await?;
        drop(calls);
        Ok(())
    })
}

/// Calls that the new version's targets can't take go to the old version's.
///
/// Verified to fail when a call stays with the version that was chosen for it first.
#[test]
fn no_call_is_refused_when_the_new_version_dies() -> anyhow::Result<()> {
    smol::block_on(async {
        let mesh = start()?;
        wait_ready(&mesh).await?;
        mesh.apply("reservas.jsonc", &document(60, 3)?)?;
        let calls = start_calls(&mesh, Duration::from_secs(30));
        let store = store_client(&mesh);
        let timeout = Duration::from_secs(25);
        wait_for(&store, timeout, |state| state.share > Share::NONE).await?;
        for instance in &mesh.instances[2..] {
            instance.target.signal("KILL")?;
        }
        let report = calls.await;
        ensure!(report.count(Outcome::NotRun) == 0, "{}", report.summary());
        ensure!(report.count(Outcome::Failed) == 0, "{}", report.summary());
        Ok(())
    })
}

/// The new version's shares that nodes report as active during a period.
async fn observe_shares(mesh: &Mesh, period: Duration) -> anyhow::Result<Vec<Share>> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let deadline = std::time::Instant::now() + period;
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
