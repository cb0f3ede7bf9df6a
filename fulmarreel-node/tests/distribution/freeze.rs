//! A node that is paused for longer than every lease.

use super::support::{ZONES, document, key, knows, revision, targets, views};
use anyhow::Context;
use fulmarreel_store::{
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

/// Fails without the call of `refute` in `Group::accept_own`: the node that does not watch would stay
/// gone. (A watcher raises its record when it finds its lease lapsed.)
#[test]
fn nodes_frozen_past_every_lease_are_back_in_seconds() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start(&ZONES, NODES)?;
        (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
        let text = document("reservas", "v1", 0);
        let first = fleet.put(&key("reservas"), &text).await?;
        views(&fleet, 0..NODES, |view| {
            knows(view, NODES) && targets(view, "reservas", "v1") == NODES
        })
        .await?;
        let frozen = eventually(|| choose(&fleet)).await?;
        signal(&fleet, frozen, "STOP")?;
        let frozen_at = Instant::now();
        let others = || (0..NODES).filter(|index| !frozen.contains(index));
        views(&fleet, others(), |view| {
            targets(view, "reservas", "v1") == NODES - frozen.len()
        })
        .await?;
        let text = document("reservas", "v1", 1);
        let second = fleet.put(&key("reservas"), &text).await?;
        views(&fleet, others(), |view| {
            revision(view, "reservas") == Some(second)
        })
        .await?;
        Timer::at(frozen_at + FREEZE).await;
        signal(&fleet, frozen, "CONT")?;
        views(&fleet, 0..NODES, |view| {
            targets(view, "reservas", "v1") == NODES && revision(view, "reservas") > Some(first)
        })
        .await
    })
}

fn signal(fleet: &Fleet, nodes: [usize; 2], signal: &str) -> anyhow::Result<()> {
    nodes.iter().try_for_each(|index| {
        let process = fleet.nodes[*index].process.as_ref();
        process.context("the node runs")?.signal(signal)
    })
}

/// A node that watches the store, and one of another region that does not.
async fn choose(fleet: &Fleet) -> anyhow::Result<[usize; 2]> {
    let client = Client::new(Options {
        peers: vec![fleet.store_address.to_string()],
        timeout: Duration::from_secs(1),
    });
    let listing = client.list(keys::WATCHERS).await?;
    let values = listing
        .entries
        .into_iter()
        .map(|entry| String::from_utf8(entry.value));
    let values = values.collect::<Result<Vec<String>, _>>()?;
    let watches = |index: &usize| {
        let address = fleet.nodes[*index].peers.to_string();
        values
            .iter()
            .any(|value| value.split(' ').next() == Some(&address))
    };
    let watcher = (0..NODES).find(watches).context("no watcher yet")?;
    let region = fleet.nodes[watcher].zone.region;
    let other =
        (0..NODES).find(|index| !watches(index) && fleet.nodes[*index].zone.region != region);
    Ok([watcher, other.context("every node watches")?])
}
