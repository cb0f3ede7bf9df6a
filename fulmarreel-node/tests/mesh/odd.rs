//! Entries and announcements of other writers that name no target.

use crate::support::{Instance, configure, eventually};
use anyhow::ensure;
use fulmarreel_testing::kv::FakePlatformStore;
use smol::Timer;
use std::time::Duration;

/// Changes of other keys while odd entries are there.
const CHANGES: u64 = 12;

/// Time between these changes: each reaches the nodes by itself.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Nesting far beyond what a recursive reader can hold on its stack.
const DEEP_NESTING: usize = 200_000;

fn node_entry(address: &str, slots: &str, service: &str) -> String {
    format!(
        "{{\"address\":{address},\"zone\":\"a\",\"region\":\"r\",\"target\":{{\"id\":\"i\",\
        \"service\":\"{service}\",\"version\":\"v1\",\"slots\":{slots}}}}}"
    )
}

/// Values of node entries that name no target that could be used.
fn odd_entries() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(DEEP_NESTING), "]".repeat(DEEP_NESTING));
    let long_name = "\\\"\\n".repeat(100);
    vec![
        "no node".to_owned(),
        nested.clone(),
        node_entry(&nested, "4", "s"),
        node_entry("\"127.0.0.1:65536\"", "4", "s"),
        node_entry("\"127.0.0.1:0\"", "4", "s"),
        node_entry("\"0.0.0.0:9\"", "4", "s"),
        node_entry("\"224.0.0.1:9\"", "4", "s"),
        node_entry("\"127.0.0.1:9\"", "0", "s"),
        node_entry("\"127.0.0.1:9\"", "1152921504606846976", "s"),
        node_entry("\"127.0.0.1:9\"", "1e400", "s"),
        node_entry("\"127.0.0.1:9\"", "-4", "s"),
        node_entry("7", "4", &long_name),
    ]
}

fn put_odd_entries(store: &FakePlatformStore) {
    for (number, entry) in odd_entries().iter().enumerate() {
        store.put(&format!("fulmarreel/nodes/odd-{number}"), entry.as_bytes());
    }
    let deep = "[".repeat(DEEP_NESTING);
    store.put("op/rollout/s", deep.as_bytes());
    store.put("status/rollout/s", br#"{"state":"gone"}"#);
    let order = br#"{"service":"t","target_version":"v2","duration_s":1e308}"#;
    store.put("op/rollout/t", order);
}

/// Fails if odd entries end a process, hide the other entries or are used, or if each is logged again
/// with each change.
#[test]
fn odd_entries_are_left_out_and_the_others_followed() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        caller.wait_ready().await?;
        put_odd_entries(&store);
        let target = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        for change in 0..CHANGES {
            store.put("other", &change.to_le_bytes());
            let id = format!("r-{change}");
            let answer = caller.request("POST", "/s-do/", &id).await?;
            ensure!(answer.status == 200, "{}", answer.text);
            Timer::after(CHANGE_INTERVAL).await;
        }
        let log = caller.log()?;
        for number in 0..odd_entries().len() {
            let name = format!("odd-{number}\"");
            let lines = log.lines().filter(|line| line.contains(&name)).count();
            ensure!(lines == 1, "{name} in {lines} lines");
        }
        configure(&store, 2, &["s", "own", "t"]);
        for number in 0..odd_entries().len() {
            store.remove(&format!("fulmarreel/nodes/odd-{number}"));
        }
        eventually("followed", || async {
            let answer = caller.request("GET", "/t/", "r").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await?;
        for mut instance in [caller, target] {
            ensure!(instance.process.try_wait()?.is_none(), "ended");
        }
        Ok(())
    })
}

/// Fails if an announcement that another writer sent in the target's name, with a start or a sequence
/// number far ahead, has the node ignore the target's own ones.
#[test]
fn an_announcement_from_the_future_does_not_replace_the_targets_own() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let mut instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        for (born, sequence) in [
            ("18446744073709551615", "1"),
            ("9007199254740991", "1"),
            ("1", "18446744073709551615"),
            ("18446744073709551616", "1"),
            ("1e400", "1"),
        ] {
            let body = instance.announcement("draining");
            let body = body.replace("\"born\":1", &format!("\"born\":{born}"));
            let body = body.replace("SEQ", sequence);
            instance.announce(&body).await?;
            let answer = instance.request("GET", "/s/", "r").await?;
            ensure!(answer.status == 200, "{born}, {sequence}: {}", answer.text);
        }
        ensure!(instance.drain().await?, "not acknowledged");
        let answer = instance.request("GET", "/s/", "r").await?;
        ensure!(answer.status == 503, "{}", answer.text);
        Ok(())
    })
}
