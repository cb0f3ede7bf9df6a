//! Calls through the own interface's client of the local target.

use fulmarreel_node::target::{Client, Error, Response};
use fulmarreel_wire::call::Open;
use futures_lite::AsyncReadExt;
use smol::{Timer, future::or};
use std::{
    sync::Once,
    time::{Duration, Instant},
};

/// Limit on the time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the time until a response has been read.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Runs a test on the node's runtime.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    static RUNTIME: Once = Once::new();
    RUNTIME.call_once(fulmarreel_node::runtime::init);
    fulmarreel_node::runtime::block_on(test)
}

/// Sends call `number`, for the path `/NUMBER`.
pub async fn call(client: &Client, number: u64) -> Result<Response, Error> {
    send(client, number, Vec::new()).await
}

/// Sends a call with a body, and reads the whole response; returns its status and its body.
pub async fn exchange(client: &Client, body: Vec<u8>) -> anyhow::Result<(u16, Vec<u8>)> {
    let timeout = async {
        Timer::after(EXCHANGE_TIMEOUT).await;
        anyhow::bail!("not answered in {EXCHANGE_TIMEOUT:?}")
    };
    or(read_whole(client, body), timeout).await
}

async fn read_whole(client: &Client, body: Vec<u8>) -> anyhow::Result<(u16, Vec<u8>)> {
    let Response { head, mut body } = send(client, 1, body).await?;
    let mut bytes = Vec::new();
    body.read_to_end(&mut bytes).await?;
    let read = bytes.len() as u64;
    let is_whole = head.length.is_none_or(|length| length == read);
    anyhow::ensure!(is_whole, "{read} of {:?} bytes", head.length);
    Ok((head.status, bytes))
}

/// Sends a call with a body, for the path `/NUMBER`.
async fn send(client: &Client, number: u64, body: Vec<u8>) -> Result<Response, Error> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    client.call(open(number, body.len()), body, deadline).await
}

/// A call for the path `/NUMBER`, with a body of that length.
pub fn open(number: u64, body_bytes: usize) -> Open {
    Open {
        sequence: number,
        remaining_ms: 1_000,
        wanted_ms: 1_000,
        latest_ms: 1_000,
        attempt: 0,
        depth: 0,
        idempotent: false,
        rank: 1,
        service: "s".to_owned(),
        version: "v1".to_owned(),
        method: if body_bytes == 0 { "GET" } else { "POST" }.to_owned(),
        path: format!("/{number}"),
        headers: Vec::new(),
        length: body_bytes as u64,
    }
}
