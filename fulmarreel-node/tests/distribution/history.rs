//! Histories of the documents that were active at every node.

use super::support::{
    ZONES, active_revision, document, document_key, is_ready_with, wait_for_views,
};
use fulmarreel_testing::process::{
    Fleet,
    fleet::history::{Recorder, check_observations},
};
use smol::Timer;
use std::{collections::BTreeMap, time::Duration};

const NODES: usize = 8;
const SERVICES: [&str; 2] = ["reservas", "parcelas"];

/// Verified to fail when nodes accept documents without comparing revisions, and when they activate
/// a document before all targets that it names are known.
#[test]
fn no_node_falls_back_or_applies_in_part() -> anyhow::Result<()> {
    smol::block_on(async {
        let mut fleet = Fleet::start(&ZONES, NODES)?;
        for index in 0..NODES {
            fleet.announce(index, SERVICES[index / 4], "v1");
        }
        wait_for_views(&fleet, 0..NODES, |view| is_ready_with(view, NODES)).await?;
        let recorder = Recorder::start(fleet.nodes.iter().map(|node| node.admin));
        let mut accepted = BTreeMap::new();
        for round in 0..24u64 {
            let service = SERVICES[round as usize % 2];
            match round {
                5 | 16 => {
                    fleet.delete(&document_key(service)).await?;
                }
                7 | 14 => {
                    // Malformed: the earlier document stays active.
                    fleet.put(&document_key(service), "{ \"service\": ").await?;
                }
                9 | 12 => {
                    // Names a version that has no target: must not become active.
                    fleet
                        .put(&document_key(service), &document(service, "v9", round))
                        .await?;
                }
                _ => {
                    let text = document(service, "v1", round);
                    let revision = fleet.put(&document_key(service), &text).await?;
                    accepted.insert((service.to_owned(), revision), "v1".to_owned());
                }
            }
            match round {
                6 => fleet.kill_node(5),
                10 => fleet.start_node(5)?,
                11 => signal(&fleet, 2, "STOP")?,
                18 => signal(&fleet, 2, "CONT")?,
                _ => {}
            }
            Timer::after(Duration::from_millis(120)).await;
        }
        let mut last = BTreeMap::new();
        for service in SERVICES {
            let revision = fleet
                .put(&document_key(service), &document(service, "v1", 99))
                .await?;
            accepted.insert((service.to_owned(), revision), "v1".to_owned());
            last.insert(service, revision);
        }
        wait_for_views(&fleet, 0..NODES, |view| {
            last.iter()
                .all(|(service, expected)| active_revision(view, service) == Some(*expected))
        })
        .await?;
        let observations = recorder.observations();
        check_observations(&observations, &accepted)
    })
}

fn signal(fleet: &Fleet, index: usize, signal: &str) -> anyhow::Result<()> {
    let process = fleet.nodes[index].process.as_ref();
    process.expect("the node runs").signal(signal)
}

/// Verified to fail when nodes activate a document before all targets that it names are known.
#[test]
fn a_document_waits_for_a_service_that_appears_later() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::start(&ZONES, 4)?;
        (0..4).for_each(|index| fleet.announce(index, "reservas", "v1"));
        let first = fleet
            .put(&document_key("reservas"), &document("reservas", "v1", 0))
            .await?;
        wait_for_views(&fleet, 0..4, |view| {
            active_revision(view, "reservas") == Some(first)
        })
        .await?;
        let text = r#"{ "service": "reservas", "version": "v1", "routes": [
            { "path": "/r1" }, { "path": "/suelo", "service": "agronomia" }] }"#;
        let second = fleet.put(&document_key("reservas"), text).await?;
        wait_for_views(&fleet, 0..4, |view| {
            let held = view["held"]["reservas"].as_str().unwrap_or_default();
            active_revision(view, "reservas") == Some(first)
                && held.contains("no target of agronomia is known")
        })
        .await?;
        fleet.announce(3, "agronomia", "v7");
        wait_for_views(&fleet, 0..4, |view| {
            active_revision(view, "reservas") == Some(second)
        })
        .await
    })
}
