//! Nodes that die and restart, and targets that stop announcing themselves.

use super::support::{ZONES, document, document_key, is_ready_with, target_count, wait_for_views};
use anyhow::ensure;
use fulmarreel_testing::process::Fleet;
use std::time::{Duration, Instant};

const NODES: usize = 8;

/// Limit on the time from a node's death until every node has withdrawn its target. The goal of 2 s
/// holds for nodes that were using the target, which see refused connections; this limit is for
/// nodes that learn of the death by gossip, on a busy machine.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(6);

/// Starts a fleet and waits until each node knows all targets.
async fn start_fleet() -> anyhow::Result<Fleet> {
    let fleet = Fleet::start(&ZONES[..2], NODES)?;
    (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
    fleet
        .put(&document_key("reservas"), &document("reservas", "v1", 0))
        .await?;
    wait_for_views(&fleet, 0..NODES, |view| {
        is_ready_with(view, NODES) && target_count(view, "reservas", "v1") == NODES
    })
    .await?;
    Ok(fleet)
}

/// Verified to fail with a suspicion timeout of one minute.
#[test]
fn a_dead_node_is_out_of_use_and_back_after_its_restart() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = start_fleet().await?;
        fleet.kill_node(6);
        let died = Instant::now();
        let others = || (0..NODES).filter(|index| *index != 6);
        wait_for_views(&fleet, others(), |view| {
            target_count(view, "reservas", "v1") == NODES - 1
        })
        .await?;
        ensure!(
            died.elapsed() < WITHDRAWAL_LIMIT,
            "after {:?}",
            died.elapsed()
        );
        fleet.start_node(6)?;
        wait_for_views(&fleet, 0..NODES, |view| {
            is_ready_with(view, NODES) && target_count(view, "reservas", "v1") == NODES
        })
        .await
    })
}

/// Verified to fail when a node doesn't expire its target after the last announcement.
#[test]
fn a_target_that_falls_silent_is_withdrawn_while_its_node_stays() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = start_fleet().await?;
        fleet.stop_announcing(3);
        wait_for_views(&fleet, 0..NODES, |view| {
            is_ready_with(view, NODES) && target_count(view, "reservas", "v1") == NODES - 1
        })
        .await?;
        fleet.announce(3, "reservas", "v1");
        wait_for_views(&fleet, 0..NODES, |view| {
            target_count(view, "reservas", "v1") == NODES
        })
        .await
    })
}
