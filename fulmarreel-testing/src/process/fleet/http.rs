//! HTTP requests to admin addresses and to the store.

use anyhow::Context;
use smol::{Timer, future::FutureExt};
use std::{net::SocketAddr, sync::OnceLock, time::Duration};
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(1);

static CLIENT: OnceLock<Client> = OnceLock::new();

/// Sends a GET, or a POST if a body is given; returns the status and the body of the answer.
///
/// # Errors
///
/// No complete answer arrived in time.
pub async fn request(
    address: SocketAddr,
    path: &str,
    body: Option<String>,
) -> anyhow::Result<(u16, Vec<u8>)> {
    let client = CLIENT.get_or_init(|| Client::new(ClientConfig::new().with_nodelay(true)));
    let url = format!("http://{address}{path}");
    let conn = match body {
        None => client.get(url),
        Some(body) => client.post(url).with_body(body),
    };
    let exchange = async {
        let mut conn = conn.await?;
        let body = conn
            .response_body()
            .with_max_len(u64::MAX)
            .read_bytes()
            .await?;
        Ok((conn.status().map_or(0, |status| status as u16), body))
    };
    let timeout = async {
        Timer::after(TIMEOUT).await;
        Err(anyhow::anyhow!("no answer in {TIMEOUT:?}"))
    };
    exchange
        .or(timeout)
        .await
        .with_context(|| format!("{address}{path}"))
}

/// Sends a GET and parses the answer as JSON.
pub(super) async fn json(address: SocketAddr, path: &str) -> anyhow::Result<serde_json::Value> {
    let (_, body) = request(address, path, None).await?;
    serde_json::from_slice(&body).with_context(|| format!("{address}{path}"))
}
