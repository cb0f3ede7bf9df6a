//! A node that is paused for longer than every lease.

use super::support::{ZONES, document, key, knows, revision, targets, views};
use anyhow::Context;
use fulmarreel_platform::{
    Store,
    etcd::{Client, Options},
    keys,
};
use fulmarreel_testing::process::{Fleet, eventually};
use smol::Timer;
use std::time::{Duration, Instant};

/// Two in each zone, so that each has a neighbour that judges it.
const NODES: usize = 8;

/// Longer than a watcher's lease.
const FREEZE: Duration = Duration::from_millis(10_500);

/// Fails without `refute` in `Group::accept_own`: the node would stay gone.
#[test]
fn a_watcher_frozen_past_its_lease_is_back_in_seconds() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start(&ZONES, NODES)?;
        (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
        let first = fleet
            .put(&key("reservas"), &document("reservas", "v1", 0))
            .await?;
        views(&fleet, 0..NODES, |view| {
            knows(view, NODES) && targets(view, "reservas", "v1") == NODES
        })
        .await?;
        let frozen = eventually(|| watcher(&fleet)).await?;
        let process = fleet.nodes[frozen]
            .process
            .as_ref()
            .context("the node runs")?;
        process.signal("STOP")?;
        let frozen_at = Instant::now();
        let others = || (0..NODES).filter(|index| *index != frozen);
        views(&fleet, others(), |view| {
            targets(view, "reservas", "v1") == NODES - 1
        })
        .await?;
        let second = fleet
            .put(&key("reservas"), &document("reservas", "v1", 1))
            .await?;
        views(&fleet, others(), |view| {
            revision(view, "reservas") == Some(second)
        })
        .await?;
        Timer::at(frozen_at + FREEZE).await;
        process.signal("CONT")?;
        views(&fleet, 0..NODES, |view| {
            targets(view, "reservas", "v1") == NODES && revision(view, "reservas") > Some(first)
        })
        .await
    })
}

/// A node that watches the store.
async fn watcher(fleet: &Fleet) -> anyhow::Result<usize> {
    let client = Client::new(Options {
        peers: vec![fleet.store_address.to_string()],
        timeout: Duration::from_secs(1),
    });
    let listing = client.list(keys::WATCHERS).await?;
    let value = listing
        .entries
        .first()
        .context("no watcher yet")?
        .value
        .clone();
    let text = String::from_utf8(value)?;
    let address = text.split(' ').next().context("no address")?.parse()?;
    let index = fleet.nodes.iter().position(|node| node.peers == address);
    index.context("no node of this fleet")
}
