//! A step of a rollout takes effect once the store has it, and a former owner can't write one.

use anyhow::{Context, ensure};
use fulmarreel_document::{parse, rollout::Timestamp};
use fulmarreel_node::{
    rollout::{Rollout, owner},
    settings,
    state::State,
};
use fulmarreel_rollout::{Plan, Publication};
use fulmarreel_store::{
    Store, Transaction,
    etcd::{Client, Options},
    keys::Key,
};
use fulmarreel_testing::{
    process::free_address,
    store::{FakeEtcd, Faults},
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

const DOCUMENT: &str = r#"{
    "service": "reservas",
    "version": "v1",
    "routes": [{ "path": "/" }],
    "move": { "to": "v2", "complete_by": "2030-01-01T00:00:00Z" }
}"#;

const OWNER: &str = "fulmarreel/owners/reservas";

/// The state of a node, without its tasks.
fn node_state(store: SocketAddr) -> anyhow::Result<State> {
    let addresses = [
        free_address()?,
        free_address()?,
        free_address()?,
        free_address()?,
    ];
    let [callers, peers, admin, target] = addresses;
    let text = serde_json::json!({
        "zone": "alt-apizaco",
        "region": "altiplano",
        "callers": { "bind": callers.to_string() },
        "peers": { "bind": peers.to_string() },
        "admin": { "bind": admin.to_string() },
        "target": target.to_string(),
        "store": [store.to_string()],
    });
    Ok(State::new(settings::parse(&text.to_string())?))
}

fn client(fake_store: &FakeEtcd) -> Client {
    Client::new(Options {
        peers: vec![fake_store.address().to_string()],
        operation_timeout: Duration::from_secs(2),
    })
}

fn declared_rollout() -> anyhow::Result<Rollout> {
    let document = Arc::new(parse(DOCUMENT)?);
    let plan = Plan::from_document(&document).context("no move")?;
    Ok(Rollout::new(&document, 1, plan, 2, Timestamp(0)))
}

async fn published(store: &Client) -> anyhow::Result<Publication> {
    let key = Key::Move {
        service: "reservas",
    }
    .try_format()?;
    let entry = store.get(&key).await?.context("nothing is published")?;
    Ok(Publication::decode(&entry.value)?)
}

/// A step that the store did not accept takes no effect at its owner either, which stays the owner.
///
/// Verified to fail when the owner applies a step before it writes it.
#[test]
fn a_step_counts_once_the_store_has_it() -> anyhow::Result<()> {
    smol::block_on(async {
        let fake_store = FakeEtcd::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let store = client(&fake_store);
        let node = node_state(fake_store.address())?;
        let declared = declared_rollout()?;
        let ownership = owner::acquire(&node, &store, &declared).await;
        let mut ownership = ownership.context("no ownership")?;
        let before = declared.state();
        let next = before.after_relayed_verdict(Timestamp(9));
        fake_store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        let kept = owner::publish(&node, &store, &declared, &mut ownership, &next).await;
        ensure!(kept, "an outage of the store ended the ownership");
        ensure!(
            declared.state() == before,
            "a step took effect that was not written"
        );
        fake_store.set_faults(Faults::default());
        let kept = owner::publish(&node, &store, &declared, &mut ownership, &next).await;
        ensure!(
            kept && declared.state() == next,
            "a step that was written took no effect"
        );
        Ok(())
    })
}

/// The former owner was paused after it last renewed its lease, so that it takes the lease for
/// valid, and the rollout's key still has the revision that it wrote.
///
/// Verified to fail when the write of a step has no condition on the owner's key.
#[test]
fn a_former_owner_writes_nothing() -> anyhow::Result<()> {
    smol::block_on(async {
        let fake_store = FakeEtcd::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let store = client(&fake_store);
        let (first, second) = (
            node_state(fake_store.address())?,
            node_state(fake_store.address())?,
        );
        let declared = declared_rollout()?;
        let former_ownership = owner::acquire(&first, &store, &declared).await;
        let mut former_ownership = former_ownership.context("no ownership")?;
        let before = published(&store).await?;
        ensure!(before.owner == first.settings.advertise, "{before:?}");
        // The lease lapses, and another node takes the owner's key but has not published a step
        // yet.
        store.commit(&Transaction::new().delete(OWNER)).await?;
        store
            .commit(&Transaction::new().when_absent(OWNER).put(OWNER, b"second"))
            .await?;
        let verdict = declared.state().after_relayed_verdict(Timestamp(9));
        let kept = owner::publish(&first, &store, &declared, &mut former_ownership, &verdict).await;
        ensure!(
            !kept,
            "the former owner believes that it still owns the move"
        );
        ensure!(
            published(&store).await? == before,
            "the former owner wrote a step"
        );
        ensure!(
            !declared.state().is_final(),
            "a step took effect that was not written"
        );
        // Without that key, another node becomes the owner and its first step is accepted.
        store.commit(&Transaction::new().delete(OWNER)).await?;
        let next = owner::acquire(&second, &store, &declared_rollout()?).await;
        ensure!(next.is_some(), "nobody owns the move");
        let after = published(&store).await?;
        ensure!(after.owner == second.settings.advertise, "{after:?}");
        Ok(())
    })
}
