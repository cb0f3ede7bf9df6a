//! One call on its way from the caller through two nodes to the target, each a separate process.

use anyhow::ensure;
use fulmarreel_testing::process::{Mesh, eventually};
use std::net::SocketAddr;

const DOCUMENT: &str = r#"{
    // The route is not idempotent: a booking must not run twice.
    "service": "reservas",
    "version": "v1",
    "routes": [{ "path": "/reservas" }]
}"#;

/// Sends a booking through a node, and returns the body of the response.
async fn book(node: SocketAddr, name: &str) -> anyhow::Result<String> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let mut conn = client
        .post(format!("http://{node}/reservas"))
        .with_request_header("x-fulmarreel-service", "reservas")
        .with_request_header("x-call-name", name.to_owned())
        .with_body(format!("booking {name}"))
        .await?;
    let outcome = conn
        .response_headers()
        .get_str("x-fulmarreel-outcome")
        .map(str::to_owned);
    let body = conn.response_body().read_string().await?;
    ensure!(
        outcome.as_deref() == Some("answered"),
        "{outcome:?}: {body}"
    );
    Ok(body)
}

/// Fails if any process on the path is missing; verified without the target's announcement.
#[test]
fn a_call_is_answered_through_a_node_without_a_target_of_that_service() -> anyhow::Result<()> {
    let mut mesh = Mesh::start()?;
    mesh.add("altiplano", "alt-apizaco", "reservas", "v1")?;
    let other = mesh.add("altiplano", "alt-huamantla", "parcelas", "v1")?;
    mesh.apply("reservas.jsonc", DOCUMENT)?;
    let callers = mesh.instances[other].callers;
    let body = smol::block_on(eventually(|| book(callers, "b-1")))?;
    ensure!(body == "booking b-1", "{body}");
    Ok(())
}
