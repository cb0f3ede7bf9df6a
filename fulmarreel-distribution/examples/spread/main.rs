//! Measures how a change spreads through fleets of the given sizes, in virtual time:
//! `cargo run --release -p fulmarreel-distribution --example spread -- NODES...`.
//!
//! One of 800 routes changes every 0.6 s. Processing time is not simulated.

#[path = "../../tests/spread/fleet/mod.rs"]
mod fleet;
#[path = "../support/mod.rs"]
mod support;

use fleet::{
    CONFIG, Fault, Fleet,
    network::{Kind, Traffic},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

const SEED: u64 = 11;

const ROUTES: usize = 800;

/// Time between two changes of a route.
const CHANGE_INTERVAL: Duration = Duration::from_millis(600);

/// Number of changes that are measured.
const CHANGES: usize = 20;

/// When the first of them is written.
const FIRST_CHANGE: Duration = Duration::from_secs(10);

/// Time for the last change to spread.
const LAST_WAIT: Duration = Duration::from_secs(3);

fn main() {
    println!("nodes | p50 ms | p99 ms | last ms | reader B/s | head B/s | leaf B/s | calls/s");
    for nodes in env::args().skip(1) {
        let nodes = nodes.parse().expect("the number of nodes");
        measure(nodes);
    }
}

/// Sizes of the regions of a fleet of so many nodes.
fn regions(nodes: usize) -> Vec<usize> {
    let count = if nodes >= 1_000 { 5 } else { 2 };
    (0..count).map(|region| (nodes + region) / count).collect()
}

fn measure(nodes: usize) {
    let mut fleet = Fleet::new(&regions(nodes), SEED);
    for node in 0..nodes {
        fleet.schedule_fault(Duration::from_millis(node as u64 % 500), Fault::Start(node));
    }
    fleet.schedule_write(Duration::from_millis(3_000), CONFIG, config(0));
    for change in 0..CHANGES {
        let at = FIRST_CHANGE + CHANGE_INTERVAL * change as u32;
        fleet.schedule_write(at, CONFIG, config(change + 1));
    }
    fleet.run_until(FIRST_CHANGE - Duration::from_millis(1));
    fleet.network.reset_traffic();
    let (calls, revision) = (fleet.store.calls.len(), fleet.store.revision());
    let end = FIRST_CHANGE + CHANGE_INTERVAL * CHANGES as u32;
    fleet.run_until(end);
    let seconds = (end - FIRST_CHANGE).as_secs_f64();
    let (sent, received) = (fleet.network.sent.clone(), fleet.network.received.clone());
    let links = fleet.network.links.clone();
    let calls = (fleet.store.calls.len() - calls) as f64 / seconds;
    fleet.run_until(end + LAST_WAIT);
    let delays = delays(&fleet, revision);
    let roles = roles(&fleet, &sent);
    let mut bytes = [0.0; 3];
    let mut messages = [0.0; 3];
    let mut counts = [0; 3];
    for (node, role) in roles.iter().enumerate() {
        let traffic = sent[node].values().chain(received[node].values());
        for traffic in traffic {
            bytes[*role] += traffic.bytes as f64 / seconds;
            messages[*role] += traffic.messages as f64 / seconds;
        }
        counts[*role] += 1;
    }
    for role in 0..3 {
        bytes[role] /= f64::from(counts[role]).max(1.0);
        messages[role] /= f64::from(counts[role]).max(1.0);
    }
    let quantile = |part: f64| delays[((delays.len() - 1) as f64 * part) as usize].as_millis();
    let (p50, p99, last) = (quantile(0.5), quantile(0.99), quantile(1.0));
    let [reader, head, leaf] = bytes;
    println!("{nodes} | {p50} | {p99} | {last} | {reader:.0} | {head:.0} | {leaf:.0} | {calls:.1}");
    println!(
        concat!(
            r#"{{"nodes":{},"seed":{},"p50_ms":{},"p99_ms":{},"last_ms":{},"#,
            r#""bytes_per_s":{:.0?},"messages_per_s":{:.1?},"count":{:?},"store_calls_per_s":{:.2},"links":{}}}"#
        ),
        nodes,
        SEED,
        p50,
        p99,
        last,
        bytes,
        messages,
        counts,
        calls,
        links_json(&links, seconds)
    );
}

/// The time from the write of each change until each node knew it, sorted.
fn delays(fleet: &Fleet, after: u64) -> Vec<Duration> {
    let mut delays = Vec::new();
    for node in &fleet.nodes {
        for (revision, written) in fleet.store.written.iter().enumerate().skip(after as usize) {
            let known = node.known_at.get(revision).copied().flatten();
            delays.push(known.expect("a change that is known") - *written);
        }
    }
    delays.sort();
    delays
}

/// Each node's role: 0 for a reader, 1 (head) for one that sent updates, as the first of a branch,
/// and 2 (leaf) for one that did not.
fn roles(fleet: &Fleet, sent: &[BTreeMap<Kind, Traffic>]) -> Vec<usize> {
    let readers = fleet.nodes.iter().map(|node| node.readers.reads());
    readers
        .zip(sent)
        .map(|(reads, sent)| match reads {
            true => 0,
            false if sent.contains_key(&Kind::Update) => 1,
            false => 2,
        })
        .collect()
}

fn links_json(links: &BTreeMap<(bool, Kind), Traffic>, seconds: f64) -> String {
    let kinds: BTreeSet<&(bool, Kind)> = links.keys().collect();
    let parts = kinds.into_iter().map(|key| {
        let traffic = links[key];
        let place = if key.0 { "within" } else { "between" };
        format!(
            r#""{place} regions, {:?}":{{"messages_per_s":{:.1},"bytes_per_s":{:.0}}}"#,
            key.1,
            traffic.messages as f64 / seconds,
            traffic.bytes as f64 / seconds
        )
    });
    format!("{{{}}}", parts.collect::<Vec<_>>().join(","))
}

/// The configuration after the given number of changes, each of one route.
fn config(changes: usize) -> Vec<u8> {
    let routes = (0..ROUTES).map(|index| {
        let last_change = (1..=changes)
            .rev()
            .find(|change| change * 37 % ROUTES == index);
        support::route(index, ROUTES * last_change.unwrap_or(0))
    });
    let routes: Vec<String> = routes.collect();
    format!("{{\"routes\":[{}]}}", routes.join(",")).into_bytes()
}
