//! Half of all nodes are killed and started again at once.

use super::support::{
    ZONES, active_revision, document, document_key, is_ready_with, wait_for_views,
};
use anyhow::ensure;
use fulmarreel_testing::process::Fleet;
use smol::Timer;
use std::time::Duration;

const NODES: usize = 16;

/// How long the store's calls are counted.
const COUNT_TIME: Duration = Duration::from_secs(5);

/// Limit on the calls of all nodes together in that time. It allows for what each region and zone
/// costs the store, and for no call that each starting node makes.
const MAX_STORE_CALLS: u64 = 50;

/// Limit on the watches that are open at once: two for each watcher slot of the regions.
const MAX_OPEN_WATCHES: u64 = 16;

/// Verified to fail when every node of a region tries to become a watcher of the store; the calls
/// are more still when the nodes don't look first whether the watcher slots are taken.
#[test]
fn half_of_all_nodes_start_at_once_without_a_storm_on_the_store() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = Fleet::start(&ZONES, NODES)?;
        (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
        let text = document("reservas", "v1", 0);
        let first = fleet.put(&document_key("reservas"), &text).await?;
        wait_for_views(&fleet, 0..NODES, |view| {
            is_ready_with(view, NODES) && active_revision(view, "reservas") == Some(first)
        })
        .await?;
        (NODES / 2..NODES).for_each(|index| fleet.kill_node(index));
        let before = fleet.store_counts().await?;
        (NODES / 2..NODES).try_for_each(|index| fleet.start_node(index))?;
        Timer::after(COUNT_TIME).await;
        let after = fleet.store_counts().await?;
        let total = |counts: &std::collections::BTreeMap<String, u64>| -> u64 {
            let calls = counts.iter().filter(|(kind, _)| *kind != "open_watches");
            calls.map(|(_, count)| count).sum()
        };
        let calls = total(&after) - total(&before);
        ensure!(
            calls <= MAX_STORE_CALLS,
            "{calls} calls: {before:?} {after:?}"
        );
        ensure!(after["open_watches"] <= MAX_OPEN_WATCHES, "{after:?}");
        wait_for_views(&fleet, 0..NODES, |view| {
            is_ready_with(view, NODES) && active_revision(view, "reservas") == Some(first)
        })
        .await
    })
}
