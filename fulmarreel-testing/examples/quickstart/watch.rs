//! HTTP requests to nodes and targets, and the time until a change is active on all nodes.

use super::cli::Cli;
use anyhow::{Context, ensure};
use fulmarreel_testing::process::eventually;
use serde::Deserialize;
use smol::{Timer, unblock};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// Interval between reads of a node's view.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a change may take to become active on a node.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// The part of a node's view that is used here.
#[derive(Debug, Deserialize)]
struct View {
    documents: BTreeMap<String, Document>,
}

#[derive(Debug, Deserialize)]
struct Document {
    revision: u64,
}

/// Applies a document; returns the time from the start of the command line until the new revision was
/// active on every node.
pub async fn apply_and_measure_convergence(
    cli: &Cli,
    path: &Path,
    service: &str,
    nodes: &[SocketAddr],
) -> anyhow::Result<Duration> {
    let mut before = BTreeMap::new();
    for node in nodes {
        let known = eventually(|| async { revision(&client(), *node, service).await }).await?;
        before.insert(*node, known);
    }
    let start = Instant::now();
    let waits: Vec<_> = before
        .into_iter()
        .map(|(node, before)| {
            smol::spawn(wait_for_revision(node, service.to_owned(), before, start))
        })
        .collect();
    let (cli, path) = (cli.clone(), path.to_owned());
    unblock(move || cli.apply(&path)).await?;
    let mut longest = Duration::ZERO;
    for wait in waits {
        longest = longest.max(wait.await?);
    }
    Ok(longest)
}

/// Waits until a later revision than `before` is active; returns the time since `start`.
async fn wait_for_revision(
    node: SocketAddr,
    service: String,
    before: u64,
    start: Instant,
) -> anyhow::Result<Duration> {
    let client = client();
    while start.elapsed() < CHANGE_TIMEOUT {
        if revision(&client, node, &service).await? > before {
            return Ok(start.elapsed());
        }
        Timer::after(POLL_INTERVAL).await;
    }
    anyhow::bail!("{node}: no new revision of {service} after {CHANGE_TIMEOUT:?}")
}

/// The revision of a service's active document; 0 if there is none.
async fn revision(client: &Client, node: SocketAddr, service: &str) -> anyhow::Result<u64> {
    let mut conn = client
        .get(format!("http://{node}/view"))
        .await
        .with_context(|| format!("view of {node}"))?;
    let text = conn.response_body().read_string().await?;
    let view: View = serde_json::from_str(&text)?;
    Ok(view
        .documents
        .get(service)
        .map_or(0, |document| document.revision))
}

/// Sends a GET; returns the body of the answer, whose status must be 200.
pub async fn get(url: &str) -> anyhow::Result<String> {
    read_answer(client().get(url).await?, url).await
}

/// Sends a POST; returns the body of the answer, whose status must be 200.
pub async fn post(url: &str, body: &str) -> anyhow::Result<String> {
    let conn = client().post(url).with_body(body.to_owned()).await?;
    read_answer(conn, url).await
}

async fn read_answer(mut conn: trillium_client::Conn, url: &str) -> anyhow::Result<String> {
    let status = conn.status().context("no status")? as u16;
    let text = conn
        .response_body()
        .with_max_len(u64::MAX)
        .read_string()
        .await?;
    ensure!(status == 200, "{url}: {status} {text}");
    Ok(text)
}

fn client() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true))
}
