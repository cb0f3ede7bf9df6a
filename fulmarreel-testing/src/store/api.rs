//! The calls of the gateway except `watch`: a JSON request and a JSON response.

use super::{
    Shared,
    data::{Data, Pair},
};
use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::{Value, json};

/// An error response of the gateway.
#[derive(Debug)]
pub struct ErrorResponse {
    pub status: u16,
    pub message: &'static str,
}

const UNKNOWN_LEASE: ErrorResponse = ErrorResponse {
    status: 404,
    message: "etcdserver: requested lease not found",
};
const COMPACTED: ErrorResponse = ErrorResponse {
    status: 400,
    message: "etcdserver: mvcc: required revision has been compacted",
};

/// Handles one call; the flag tells whether it changed the store, which includes granting a lease.
pub fn handle(
    shared: &mut Shared,
    path: &str,
    body: &Value,
) -> Result<(Value, bool), ErrorResponse> {
    let stale_revisions = shared.faults.stale_reads;
    let data = &mut shared.data;
    let before = data.revision;
    let (kind, answer) = match path {
        "/v3/kv/range" => (
            "range",
            range(data, body, data.revision.saturating_sub(stale_revisions)),
        ),
        "/v3/kv/put" => ("put", put(data, body)),
        "/v3/kv/deleterange" => ("deleterange", delete(data, body)),
        "/v3/kv/txn" => ("txn", txn(data, body)),
        "/v3/lease/grant" => ("grant", Ok(grant(data, body))),
        "/v3/lease/keepalive" => ("keepalive", Ok(keep_alive(data, body))),
        "/v3/lease/revoke" => ("revoke", revoke(data, body)),
        _ => {
            return Err(ErrorResponse {
                status: 404,
                message: "Not Found",
            });
        }
    };
    let wrote = data.revision != before;
    shared.count(kind);
    if wrote {
        shared.wake();
    }
    answer.map(|answer| (answer, wrote || matches!(kind, "grant")))
}

/// The header of every response.
pub fn header(revision: u64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// Decodes a base64 field; empty if it is missing.
pub fn decode_bytes(value: &Value) -> Vec<u8> {
    BASE64_STANDARD
        .decode(value.as_str().unwrap_or(""))
        .unwrap_or_default()
}

/// Parses an int64, which the gateway accepts as a JSON string or number; 0 if it is missing.
pub fn parse_int(value: &Value) -> u64 {
    value
        .as_str()
        .map_or_else(|| value.as_u64(), |text| text.parse().ok())
        .unwrap_or(0)
}

/// The JSON form of a pair; like the gateway, it leaves out fields with default values.
pub fn pair_json(pair: &Pair) -> Value {
    let mut json = json!({"key": BASE64_STANDARD.encode(&pair.key),
        "mod_revision": pair.modified.to_string()});
    if pair.created > 0 {
        json["create_revision"] = pair.created.to_string().into();
        json["version"] = pair.version.to_string().into();
    }
    if !pair.value.is_empty() {
        json["value"] = BASE64_STANDARD.encode(&pair.value).into();
    }
    if pair.lease != 0 {
        json["lease"] = pair.lease.to_string().into();
    }
    json
}

fn range(data: &Data, body: &Value, revision: u64) -> Result<Value, ErrorResponse> {
    let revision = match parse_int(&body["revision"]) {
        0 => revision,
        requested if requested < data.compacted => return Err(COMPACTED),
        requested => requested,
    };
    let pairs = data.range(
        &decode_bytes(&body["key"]),
        &decode_bytes(&body["range_end"]),
        revision,
    );
    let kvs: Vec<_> = pairs.iter().map(pair_json).collect();
    let mut json = json!({"header": header(revision)});
    if !kvs.is_empty() {
        json["count"] = kvs.len().to_string().into();
        json["kvs"] = kvs.into();
    }
    Ok(json)
}

/// Reads the lease of a put; 0 for none. The lease must exist.
fn check_lease(data: &Data, body: &Value) -> Result<i64, ErrorResponse> {
    let lease = parse_int(&body["lease"]) as i64;
    if lease != 0 && !data.leases.contains_key(&lease) {
        return Err(UNKNOWN_LEASE);
    }
    Ok(lease)
}

fn put(data: &mut Data, body: &Value) -> Result<Value, ErrorResponse> {
    let lease = check_lease(data, body)?;
    let revision = data.revision + 1;
    data.put(
        &decode_bytes(&body["key"]),
        &decode_bytes(&body["value"]),
        lease,
        revision,
    );
    data.revision = revision;
    Ok(json!({"header": header(revision)}))
}

fn delete(data: &mut Data, body: &Value) -> Result<Value, ErrorResponse> {
    let revision = data.revision + 1;
    let deleted = data.delete(
        &decode_bytes(&body["key"]),
        &decode_bytes(&body["range_end"]),
        revision,
    );
    if deleted > 0 {
        data.revision = revision;
    }
    Ok(json!({"header": header(data.revision), "deleted": deleted.to_string()}))
}

/// Whether a comparison of a transaction holds.
fn compare_holds(data: &Data, compare: &Value) -> bool {
    let pair = data.get(&decode_bytes(&compare["key"]));
    let (actual, wanted) = match compare["target"].as_str() {
        Some("MOD") => (
            pair.map_or(0, |pair| pair.modified),
            &compare["mod_revision"],
        ),
        Some("CREATE") => (
            pair.map_or(0, |pair| pair.created),
            &compare["create_revision"],
        ),
        _ => return false,
    };
    compare["result"].as_str().unwrap_or("EQUAL") == "EQUAL" && actual == parse_int(wanted)
}

fn txn(data: &mut Data, body: &Value) -> Result<Value, ErrorResponse> {
    let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let succeeded = list("compare")
        .iter()
        .all(|compare| compare_holds(data, compare));
    let requests = list(if succeeded { "success" } else { "failure" });
    for request in &requests {
        check_lease(data, &request["request_put"])?;
    }
    let revision = data.revision + 1;
    let mut wrote = false;
    let mut responses = Vec::new();
    for request in &requests {
        if let Some(put) = request.get("request_put") {
            let lease = parse_int(&put["lease"]) as i64;
            data.put(
                &decode_bytes(&put["key"]),
                &decode_bytes(&put["value"]),
                lease,
                revision,
            );
            wrote = true;
            responses.push(json!({"response_put": {"header": header(revision)}}));
        } else if let Some(delete) = request.get("request_delete_range") {
            let deleted = data.delete(
                &decode_bytes(&delete["key"]),
                &decode_bytes(&delete["range_end"]),
                revision,
            );
            wrote |= deleted > 0;
            responses.push(json!({"response_delete_range": {"deleted": deleted.to_string()}}));
        } else if let Some(read) = request.get("request_range") {
            responses.push(json!({"response_range": range(data, read, data.revision)?}));
        }
    }
    if wrote {
        data.revision = revision;
    }
    let mut json = json!({"header": header(data.revision), "responses": responses});
    if succeeded {
        json["succeeded"] = true.into();
    }
    Ok(json)
}

fn grant(data: &mut Data, body: &Value) -> Value {
    let ttl = parse_int(&body["TTL"]).max(1);
    let id = data.grant(ttl);
    json!({"header": header(data.revision), "ID": id.to_string(), "TTL": ttl.to_string()})
}

fn keep_alive(data: &mut Data, body: &Value) -> Value {
    let ttl = data.keep_alive(parse_int(&body["ID"]) as i64);
    let mut result = json!({"header": header(data.revision), "ID": body["ID"]});
    if ttl > 0 {
        result["TTL"] = ttl.to_string().into();
    }
    json!({"result": result})
}

fn revoke(data: &mut Data, body: &Value) -> Result<Value, ErrorResponse> {
    if !data.revoke(parse_int(&body["ID"]) as i64) {
        return Err(UNKNOWN_LEASE);
    }
    Ok(json!({"header": header(data.revision)}))
}
