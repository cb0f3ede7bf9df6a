//! What nodes say over HTTP, and how soon a change is known to all of them.

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

/// How often a node is asked for its documents.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a change may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// The part of a node's view that is of use here.
#[derive(Debug, Deserialize)]
struct View {
    documents: BTreeMap<String, Document>,
}

#[derive(Debug, Deserialize)]
struct Document {
    revision: u64,
}

/// Applies a document; returns the longest time from the start of the command line until a node
/// had the new active revision.
pub async fn convergence(
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
    let watches: Vec<_> = before
        .into_iter()
        .map(|(node, before)| smol::spawn(changed(node, service.to_owned(), before, start)))
        .collect();
    let (cli, path) = (cli.clone(), path.to_owned());
    unblock(move || cli.apply(&path)).await?;
    let mut longest = Duration::ZERO;
    for watch in watches {
        longest = longest.max(watch.await?);
    }
    Ok(longest)
}

async fn changed(
    node: SocketAddr,
    service: String,
    before: u64,
    start: Instant,
) -> anyhow::Result<Duration> {
    let client = client();
    while start.elapsed() < PATIENCE {
        if revision(&client, node, &service).await? > before {
            return Ok(start.elapsed());
        }
        Timer::after(POLL_INTERVAL).await;
    }
    anyhow::bail!("{node}: no new revision of {service} after {PATIENCE:?}")
}

/// The revision of a service's active document; 0 where there is none.
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

/// Reads a text.
pub async fn get(url: &str) -> anyhow::Result<String> {
    answer(client().get(url).await?, url).await
}

/// Sends a text.
pub async fn post(url: &str, body: &str) -> anyhow::Result<String> {
    let conn = client().post(url).with_body(body.to_owned()).await?;
    answer(conn, url).await
}

async fn answer(mut conn: trillium_client::Conn, url: &str) -> anyhow::Result<String> {
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
