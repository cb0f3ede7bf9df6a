//! Half of all nodes die and start at once.

use super::support::{ZONES, document, key, knows, revision, views};
use anyhow::ensure;
use fulmarreel_testing::process::Fleet;
use smol::Timer;
use std::time::Duration;

const NODES: usize = 16;

/// How long the store's calls are counted.
const COUNTED: Duration = Duration::from_secs(5);

/// The most calls of all nodes together in that time: what regions and zones cost, and none for each
/// node that starts.
const MOST_CALLS: u64 = 50;

/// The most watches open at once: two for each place that the regions' watchers can hold.
const MOST_WATCHES: u64 = 16;

/// Fails with a `duty::wanted` that lets every node of a region try, and the more so without the check
/// of the holders in `place::take`.
#[test]
fn half_of_all_nodes_start_at_once_without_a_storm_on_the_store() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = Fleet::start(&ZONES, NODES)?;
        (0..NODES).for_each(|index| fleet.announce(index, "reservas", "v1"));
        let text = document("reservas", "v1", 0);
        let first = fleet.put(&key("reservas"), &text).await?;
        views(&fleet, 0..NODES, |view| {
            knows(view, NODES) && revision(view, "reservas") == Some(first)
        })
        .await?;
        (NODES / 2..NODES).for_each(|index| fleet.kill_node(index));
        let before = fleet.store_counts().await?;
        (NODES / 2..NODES).try_for_each(|index| fleet.start_node(index))?;
        Timer::after(COUNTED).await;
        let after = fleet.store_counts().await?;
        let total = |counts: &std::collections::BTreeMap<String, u64>| -> u64 {
            let calls = counts.iter().filter(|(kind, _)| *kind != "open_watches");
            calls.map(|(_, count)| count).sum()
        };
        let calls = total(&after) - total(&before);
        ensure!(calls <= MOST_CALLS, "{calls} calls: {before:?} {after:?}");
        ensure!(after["open_watches"] <= MOST_WATCHES, "{after:?}");
        views(&fleet, 0..NODES, |view| {
            knows(view, NODES) && revision(view, "reservas") == Some(first)
        })
        .await
    })
}
