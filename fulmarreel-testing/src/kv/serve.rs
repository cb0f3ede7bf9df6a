//! The HTTP interface of the fake store.

use super::{Shared, lock};
use serde::Deserialize;
use serde_json::{Value, json};
use smol::{Timer, net::TcpListener};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use trillium::{Conn, Method, Status};

/// The header that names the store's era.
const ERA_HEADER: &str = "Store-Era";

/// How often a watch that waits checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Deserialize)]
struct Transaction {
    #[serde(default)]
    precondition: Vec<Precondition>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    deletes: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Precondition {
    key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

/// Serves until the task is dropped.
pub(super) async fn run(listener: TcpListener, shared: Arc<Mutex<Shared>>) {
    let server = trillium_smol::config()
        .with_prebound_server(listener)
        .with_nodelay()
        .without_signals();
    server
        .run_async(move |conn: Conn| {
            let shared = Arc::clone(&shared);
            async move { handle(&shared, conn).await }
        })
        .await;
}

async fn handle(shared: &Mutex<Shared>, mut conn: Conn) -> Conn {
    let body = conn.request_body().read_bytes().await.unwrap_or_default();
    let query = Query::parse(conn.querystring());
    let (faults, delay) = {
        let mut shared = lock(shared);
        shared.calls += 1;
        (shared.faults.clone(), shared.delay)
    };
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if let Some(status) = faults.status {
        let conn = name_era(conn, current_era(shared));
        return conn.with_status(status).with_body("{}").halt();
    }
    let path = conn.path().to_owned();
    let is_write = conn.method() != Method::Get;
    let (status, body) = match path.as_str() {
        "/-/kv-key" => read_key(shared, &query),
        "/-/kv-range" => read_range(shared, &query, faults.page),
        "/-/kv-watch" => watch(shared, &query).await,
        "/-/kv-txn" => transact(shared, &body),
        "/-/kv-lease" => grant(shared, &body),
        _ => renew_or_revoke(shared, &path),
    };
    let era = current_era(shared);
    if is_write && faults.lost_writes {
        std::future::pending::<()>().await;
    }
    if !delay.is_zero() {
        Timer::after(delay).await;
    }
    let conn = name_era(conn, era);
    conn.with_status(status).with_body(body.to_string()).halt()
}

fn current_era(shared: &Mutex<Shared>) -> Option<u64> {
    lock(shared).copies.as_ref().map(|copies| copies.era)
}

fn name_era(conn: Conn, era: Option<u64>) -> Conn {
    match era {
        Some(era) => conn.with_response_header(ERA_HEADER, era.to_string()),
        None => conn,
    }
}

fn read_key(shared: &Mutex<Shared>, query: &Query) -> (Status, Value) {
    let shared = lock(shared);
    match shared.data.get(&query.get("key")) {
        Some(item) => {
            let mut body = json!(item);
            body["store_revision"] = json!(shared.data.revision);
            (Status::Ok, body)
        }
        None => (Status::NotFound, json!({})),
    }
}

fn read_range(shared: &Mutex<Shared>, query: &Query, page: usize) -> (Status, Value) {
    let data = &lock(shared).data;
    let (items, truncated) = data.range(&query.get("prefix"), &query.get("after"), page);
    let revision = data.revision;
    let body = json!({"items": items, "truncated": truncated, "store_revision": revision});
    (Status::Ok, body)
}

async fn watch(shared: &Mutex<Shared>, query: &Query) -> (Status, Value) {
    let prefix = query.get("prefix");
    let after: u64 = query.get("after").parse().unwrap_or(0);
    let wait_ms = query.get("wait_ms").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let shared = lock(shared);
            let is_unknown = shared.copies.is_some() && after > shared.data.revision;
            if after < shared.data.compacted || is_unknown {
                return (Status::Gone, json!({}));
            }
            let events = shared.data.changes(&prefix, after);
            if !events.is_empty() || Instant::now() >= deadline {
                let revision = shared.data.revision;
                let body = json!({"events": events, "store_revision": revision});
                return (Status::Ok, body);
            }
            if shared.faults.silent {
                break;
            }
        }
        Timer::after(WATCH_POLL_INTERVAL).await;
    }
    std::future::pending().await
}

fn transact(shared: &Mutex<Shared>, body: &[u8]) -> (Status, Value) {
    let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
        return (Status::BadRequest, json!({}));
    };
    let data = &mut lock(shared).data;
    let current_revision = |key: &str| data.get(key).map_or(0, |item| item.revision);
    if transaction
        .precondition
        .iter()
        .any(|condition| current_revision(&condition.key) != condition.revision)
    {
        let conditions = transaction.precondition.iter();
        let items: Vec<_> = conditions
            .filter_map(|condition| data.get(&condition.key))
            .collect();
        return (Status::PreconditionFailed, json!({"items": items}));
    }
    let leases = transaction.puts.iter().map(|put| put.lease);
    if leases
        .into_iter()
        .any(|lease| lease != 0 && !data.has_lease(lease))
    {
        return (Status::NotFound, json!({}));
    }
    data.revision += 1;
    for put in transaction.puts {
        data.put_at_current_revision(&put.key, put.value, put.lease);
    }
    for key in transaction.deletes {
        data.remove_at_current_revision(&key);
    }
    (Status::Ok, json!({"revision": data.revision}))
}

fn grant(shared: &Mutex<Shared>, body: &[u8]) -> (Status, Value) {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let ttl = body["ttl_s_time"].as_f64().unwrap_or(1.0);
    let lease = lock(shared).data.grant(Duration::from_secs_f64(ttl));
    (Status::Ok, json!({"lease": lease, "ttl_s_time": ttl}))
}

/// Renews or revokes the lease that the path names.
fn renew_or_revoke(shared: &Mutex<Shared>, path: &str) -> (Status, Value) {
    let data = &mut lock(shared).data;
    let id = |prefix| path.strip_prefix(prefix).and_then(|id| id.parse().ok());
    let answer = if let Some(id) = id("/-/kv-keep/") {
        data.renew(id)
            .map(|ttl| json!({"ttl_s_time": ttl.as_secs_f64()}))
    } else if let Some(id) = id("/-/kv-lease-end/") {
        data.revoke(id).then(|| json!({}))
    } else {
        None
    };
    answer.map_or((Status::NotFound, json!({})), |body| (Status::Ok, body))
}

/// The parameters of a URL query.
struct Query(Vec<(String, String)>);

impl Query {
    fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        let pairs = pairs.map(|(name, value)| (name.to_owned(), percent_decode(value)));
        Self(pairs.collect())
    }

    fn get(&self, name: &str) -> String {
        let pair = self.0.iter().find(|(pair_name, _)| pair_name == name);
        pair.map_or_else(String::new, |(_, value)| value.clone())
    }
}

/// Decodes percent-encoding.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let digits = std::str::from_utf8(&digits).unwrap_or("00");
        bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
