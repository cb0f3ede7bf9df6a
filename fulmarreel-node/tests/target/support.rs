//! Calls through the own interface's client of the local target.

use fulmarreel_node::target::{Client, Error, Response};
use fulmarreel_wire::call::Open;
use std::{
    sync::Once,
    time::{Duration, Instant},
};

/// Limit on the time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a test on the node's runtime.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    static RUNTIME: Once = Once::new();
    RUNTIME.call_once(fulmarreel_node::runtime::init);
    fulmarreel_node::runtime::block_on(test)
}

/// Sends call `number`, for the path `/NUMBER`.
pub async fn call(client: &Client, number: u64) -> Result<Response, Error> {
    let open = Open {
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
        method: "GET".to_owned(),
        path: format!("/{number}"),
        headers: Vec::new(),
        length: 0,
    };
    let deadline = Instant::now() + CALL_TIMEOUT;
    client.call(open, Vec::new(), deadline).await
}
