//! Nodes and targets that die, restart and fall silent.

use super::support::{ZONES, document, key, knows, targets, views};
use anyhow::ensure;
use fulmarreel_testing::process::Fleet;
use std::time::{Duration, Instant};

const NODES: usize = 8;

/// From death to out of use everywhere: the goal of 2 s where it was in use is for callers, which
/// see refused connections; this is for nodes that hear of it, on a loaded machine.
const DEATH_BOUND: Duration = Duration::from_secs(6);

async fn started() -> anyhow::Result<Fleet> {
    let fleet = Fleet::start(&ZONES[..2], NODES)?;
    (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
    fleet
        .put(&key("reservas"), &document("reservas", "v1", 0))
        .await?;
    views(&fleet, 0..NODES, |view| {
        knows(view, NODES) && targets(view, "reservas", "v1") == NODES
    })
    .await?;
    Ok(fleet)
}

/// Fails with `SUSPICION` of a minute in `Group`.
#[test]
fn a_dead_node_is_out_of_use_and_back_after_its_restart() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = started().await?;
        fleet.kill_node(6);
        let died = Instant::now();
        let others = || (0..NODES).filter(|index| *index != 6);
        views(&fleet, others(), |view| {
            targets(view, "reservas", "v1") == NODES - 1
        })
        .await?;
        ensure!(died.elapsed() < DEATH_BOUND, "after {:?}", died.elapsed());
        fleet.start_node(6)?;
        views(&fleet, 0..NODES, |view| {
            knows(view, NODES) && targets(view, "reservas", "v1") == NODES
        })
        .await
    })
}

/// Fails without the call of `expire_target` in the gossip task.
#[test]
fn a_target_that_falls_silent_is_withdrawn_while_its_node_stays() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = started().await?;
        fleet.silence(3);
        views(&fleet, 0..NODES, |view| {
            knows(view, NODES) && targets(view, "reservas", "v1") == NODES - 1
        })
        .await?;
        fleet.announce(3, "reservas", "v1");
        views(&fleet, 0..NODES, |view| {
            targets(view, "reservas", "v1") == NODES
        })
        .await
    })
}
