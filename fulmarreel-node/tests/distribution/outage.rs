//! The store is down while nodes start, and comes back.

use super::support::{
    ZONES, active_revision, document, document_key, is_ready_with, wait_for_views,
};
use anyhow::ensure;
use fulmarreel_testing::process::Fleet;
use smol::Timer;
use std::time::Duration;

const NODES: usize = 8;

/// Verified to fail when readiness requires contact with the store, and when nodes don't compare
/// their state with peers.
#[test]
fn a_new_node_starts_from_its_peers_while_the_store_is_down() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = Fleet::prepare(&ZONES, NODES)?;
        (0..NODES - 1).try_for_each(|index| fleet.start_node(index))?;
        (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
        let text = document("reservas", "v1", 0);
        let first = fleet.put(&document_key("reservas"), &text).await?;
        wait_for_views(&fleet, 0..NODES - 1, |view| {
            active_revision(view, "reservas") == Some(first)
        })
        .await?;
        fleet
            .set_faults(&serde_json::json!({ "down": true }))
            .await?;
        fleet.start_node(NODES - 1)?;
        wait_for_views(&fleet, 0..NODES, |view| {
            is_ready_with(view, NODES) && active_revision(view, "reservas") == Some(first)
        })
        .await?;
        fleet
            .set_faults(&serde_json::json!({ "down": false }))
            .await?;
        let second = fleet
            .put(&document_key("reservas"), &document("reservas", "v1", 1))
            .await?;
        wait_for_views(&fleet, 0..NODES, |view| {
            active_revision(view, "reservas") == Some(second)
        })
        .await
    })
}

/// Verified to fail when every node is ready at once.
#[test]
fn a_node_that_has_heard_from_nobody_is_not_ready() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = Fleet::prepare(&ZONES[..1], 2)?;
        fleet
            .set_faults(&serde_json::json!({ "down": true }))
            .await?;
        (0..2).try_for_each(|index| fleet.start_node(index))?;
        // Two nodes that know no documents must not make one another ready.
        wait_for_views(&fleet, 0..2, |view| {
            view["members"].as_array().map_or(0, Vec::len) == 2
        })
        .await?;
        Timer::after(Duration::from_secs(4)).await;
        for index in 0..2 {
            let view = fleet.view(index).await?;
            ensure!(view["ready"] == false, "node {index}: {view:#}");
            let waiting = view["waiting"].as_str().unwrap_or_default();
            ensure!(waiting.contains("heard neither"), "node {index}: {waiting}");
        }
        fleet
            .set_faults(&serde_json::json!({ "down": false }))
            .await?;
        wait_for_views(&fleet, 0..2, |view| view["ready"] == true).await
    })
}
