//! A step counts once it is written, and a former owner writes nothing.

use anyhow::{Context, ensure};
use fulmarreel_document::{parse, shift::Timestamp};
use fulmarreel_node::{
    rollout::{Move, owner},
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
    store::{Faults, Stand},
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

fn node(store: SocketAddr) -> anyhow::Result<State> {
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

fn client(stand: &Stand) -> Client {
    Client::new(Options {
        peers: vec![stand.address().to_string()],
        timeout: Duration::from_secs(2),
    })
}

fn declared() -> anyhow::Result<Move> {
    let document = Arc::new(parse(DOCUMENT)?);
    let plan = Plan::of(&document).context("no move")?;
    Ok(Move::new(&document, 1, plan, 2, Timestamp(0)))
}

async fn published(store: &Client) -> anyhow::Result<Publication> {
    let key = Key::Move {
        service: "reservas",
    }
    .checked()?;
    let entry = store.get(&key).await?.context("nothing is published")?;
    Ok(Publication::decode(&entry.value)?)
}

/// A step that the store did not take is not active here either, and the ownership is kept.
///
/// Fails where a step counts before the store has it: seen with `entry.take` put before the write
/// in `owner::publish`.
#[test]
fn a_step_counts_once_the_store_has_it() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let store = client(&stand);
        let node = node(stand.address())?;
        let entry = declared()?;
        let held = owner::acquire(&node, &store, &entry).await;
        let mut held = held.context("no ownership")?;
        let before = entry.state();
        let next = before.relayed(Timestamp(9));
        stand.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        let kept = owner::publish(&node, &store, &entry, &mut held, &next).await;
        ensure!(kept, "an outage of the store ends the ownership");
        ensure!(
            entry.state() == before,
            "a step counts that was not written"
        );
        stand.set_faults(Faults::default());
        let kept = owner::publish(&node, &store, &entry, &mut held, &next).await;
        ensure!(
            kept && entry.state() == next,
            "a step does not count that was written"
        );
        Ok(())
    })
}

/// The former owner was paused after its last renewal, so it still believes in its lease, and the
/// move's key is as it saw it last.
///
/// Fails without the condition on the owner's key: seen with `when_created` taken out of
/// `owner::publish::transaction`.
#[test]
fn a_former_owner_writes_nothing() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let store = client(&stand);
        let (first, second) = (node(stand.address())?, node(stand.address())?);
        let entry = declared()?;
        let former = owner::acquire(&first, &store, &entry).await;
        let mut former = former.context("no ownership")?;
        let before = published(&store).await?;
        ensure!(before.owner == first.settings.advertise, "{before:?}");
        // The lease lapses, and another node takes the owner's key without having published yet.
        store.commit(&Transaction::new().delete(OWNER)).await?;
        store
            .commit(&Transaction::new().when_absent(OWNER).put(OWNER, b"second"))
            .await?;
        let verdict = entry.state().relayed(Timestamp(9));
        let kept = owner::publish(&first, &store, &entry, &mut former, &verdict).await;
        ensure!(
            !kept,
            "the former owner believes that it still owns the move"
        );
        ensure!(
            published(&store).await? == before,
            "the former owner wrote a step"
        );
        ensure!(
            !entry.state().is_final(),
            "a step counts that was not written"
        );
        // The lapsed key gone, the other node becomes the owner and its step is taken.
        store.commit(&Transaction::new().delete(OWNER)).await?;
        let next = owner::acquire(&second, &store, &declared()?).await;
        ensure!(next.is_some(), "nobody owns the move");
        let after = published(&store).await?;
        ensure!(after.owner == second.settings.advertise, "{after:?}");
        Ok(())
    })
}
