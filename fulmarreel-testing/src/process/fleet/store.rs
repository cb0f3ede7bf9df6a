//! Reads and writes of the store over its etcd v3 JSON gateway.

use super::http;
use anyhow::Context;
use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr};

/// Number of calls by kind.
pub type Counts = BTreeMap<String, u64>;

pub(super) async fn counts(store: SocketAddr) -> anyhow::Result<Counts> {
    Ok(serde_json::from_value(http::json(store, "/counts").await?)?)
}

pub(super) async fn put(store: SocketAddr, key: &str, value: &str) -> anyhow::Result<u64> {
    let body = json!({ "key": encode_base64(key), "value": encode_base64(value) });
    write(store, "/v3/kv/put", &body).await
}

pub(super) async fn delete(store: SocketAddr, key: &str) -> anyhow::Result<u64> {
    write(
        store,
        "/v3/kv/deleterange",
        &json!({ "key": encode_base64(key) }),
    )
    .await
}

async fn write(store: SocketAddr, path: &str, body: &Value) -> anyhow::Result<u64> {
    let (_, answer) = http::request(store, path, Some(body.to_string())).await?;
    let answer: Value = serde_json::from_slice(&answer)?;
    let revision = answer["header"]["revision"].as_str();
    let revision = revision.with_context(|| format!("no revision: {answer}"))?;
    Ok(revision.parse()?)
}

fn encode_base64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}
