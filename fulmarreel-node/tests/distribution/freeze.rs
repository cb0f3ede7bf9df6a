//! Nodes that are suspended for longer than every lease.

use super::support::{
    ZONES, active_revision, document, document_key, is_ready_with, target_count, wait_for_views,
};
use anyhow::Context;
use fulmarreel_store::{
    Store,
    etcd::{Client, Options},
    keys,
};
use fulmarreel_testing::process::{Fleet, eventually};
use smol::Timer;
use std::time::{Duration, Instant};

/// Two in each zone, so that each node has a neighbour in its zone that probes it.
const NODES: usize = 8;

/// Longer than the lease of a node that watches the store.
const SUSPENSION: Duration = Duration::from_millis(10_500);

/// Verified to fail when a node doesn't refute records that declare it dead: the node that does not
/// watch the store then stays dead to the others. One that watches it raises the sequence number of
/// its record anyway, when it finds that its lease has lapsed.
#[test]
fn nodes_frozen_past_every_lease_are_back_in_seconds() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start(&ZONES, NODES)?;
        (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
        let text = document("reservas", "v1", 0);
        let first = fleet.put(&document_key("reservas"), &text).await?;
        wait_for_views(&fleet, 0..NODES, |view| {
            is_ready_with(view, NODES) && target_count(view, "reservas", "v1") == NODES
        })
        .await?;
        let suspended = eventually(|| choose_nodes(&fleet)).await?;
        signal(&fleet, suspended, "STOP")?;
        let suspended_at = Instant::now();
        let others = || (0..NODES).filter(|index| !suspended.contains(index));
        wait_for_views(&fleet, others(), |view| {
            target_count(view, "reservas", "v1") == NODES - suspended.len()
        })
        .await?;
        let text = document("reservas", "v1", 1);
        let second = fleet.put(&document_key("reservas"), &text).await?;
        wait_for_views(&fleet, others(), |view| {
            active_revision(view, "reservas") == Some(second)
        })
        .await?;
        Timer::at(suspended_at + SUSPENSION).await;
        signal(&fleet, suspended, "CONT")?;
        wait_for_views(&fleet, 0..NODES, |view| {
            target_count(view, "reservas", "v1") == NODES
                && active_revision(view, "reservas") > Some(first)
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
async fn choose_nodes(fleet: &Fleet) -> anyhow::Result<[usize; 2]> {
    let client = Client::new(Options {
        peers: vec![fleet.store_address.to_string()],
        operation_timeout: Duration::from_secs(1),
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
