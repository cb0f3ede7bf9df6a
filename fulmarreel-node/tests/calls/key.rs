//! Callers that repeat a call with the same idempotency key.

use super::support::{BOOKINGS, RESERVAS, start_mesh};
use anyhow::{Context, ensure};
use fulmarreel_testing::target::CALL_HEADER;
use std::net::SocketAddr;

/// Sends a booking with a key and returns the outcome.
async fn book(node: SocketAddr, name: &str, key: &str) -> anyhow::Result<String> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let conn = client
        .post(format!("http://{node}{BOOKINGS}"))
        .with_request_header("x-fulmarreel-service", "reservas")
        .with_request_header(CALL_HEADER, name.to_owned())
        .with_request_header("idempotency-key", key.to_owned())
        .await?;
    let outcome = conn.response_headers().get_str("x-fulmarreel-outcome");
    outcome.map(str::to_owned).context("no outcome")
}

/// Verified to fail when every claim of a key succeeds.
#[test]
fn a_repeated_key_runs_once_by_whichever_node_and_after_a_restart() -> anyhow::Result<()> {
    let mut mesh = start_mesh(&[RESERVAS; 2])?;
    let nodes: Vec<SocketAddr> = mesh
        .instances
        .iter()
        .map(|instance| instance.callers)
        .collect();
    smol::block_on(async {
        let concurrent: Vec<_> = (0..9)
            .map(|index| smol::spawn(book(nodes[index % 3], "first", "key-1")))
            .collect();
        let mut answered = 0;
        for call in concurrent {
            let outcome = call.await?;
            ensure!(
                ["answered", "repeated"].contains(&outcome.as_str()),
                "{outcome}"
            );
            answered += usize::from(outcome == "answered");
        }
        ensure!(answered == 1, "{answered} answered");
        mesh.instances[0].node.signal("KILL")?;
        mesh.instances[0].restart_node()?;
        super::support::await_targets(&mesh, 2).await?;
        let later = book(nodes[0], "first", "key-1").await?;
        ensure!(later == "repeated", "{later}");
        let other = book(nodes[0], "other", "key-2").await?;
        ensure!(other == "answered", "{other}");
        ensure!(mesh.executions()?.get("first") == Some(&1));
        Ok(())
    })
}

/// Verified to fail when the claim of a key is not released after its call was not run.
#[test]
fn a_key_can_be_used_again_if_its_call_was_not_run() -> anyhow::Result<()> {
    let mut mesh = start_mesh(&[RESERVAS])?;
    smol::block_on(async {
        let node = mesh.instances[0].callers;
        mesh.instances[1].target.signal("KILL")?;
        let refused = book(node, "first", "key-1").await?;
        ensure!(refused == "not-run", "{refused}");
        mesh.instances[1].restart_target()?;
        super::support::await_targets(&mesh, 1).await?;
        let repeated = fulmarreel_testing::process::eventually(|| async {
            let outcome = book(node, "first", "key-1").await?;
            ensure!(outcome != "not-run");
            Ok(outcome)
        })
        .await?;
        ensure!(repeated == "answered", "{repeated}");
        ensure!(mesh.executions()?.get("first") == Some(&1));
        Ok(())
    })
}

/// Verified to fail when the claim of a key succeeds though the store doesn't answer.
#[test]
fn without_the_store_a_keyed_call_is_not_run() -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS])?;
    smol::block_on(async {
        mesh.store.signal("KILL")?;
        let outcome = book(mesh.instances[0].callers, "first", "key-1").await?;
        ensure!(outcome == "not-run", "{outcome}");
        ensure!(!mesh.executions()?.contains_key("first"));
        Ok(())
    })
}
