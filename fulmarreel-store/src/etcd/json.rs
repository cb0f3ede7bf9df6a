//! The request and response bodies of the gateway.

use crate::{
    Entry, Event, LeaseId, Revision,
    commit::{Condition, Write},
};
use base64::{DecodeError, Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};
use std::string::FromUtf8Error;

/// A 64-bit integer, which the gateway encodes as a string; an absent field means 0.
#[derive(Debug, Clone, Copy, Default)]
pub struct Int(pub i64);

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
            Form::Number(number) => Ok(Self(number)),
        }
    }
}

impl Int {
    /// Converts to a revision; a negative number, which the store never sends, becomes 0.
    pub fn revision(self) -> Revision {
        Revision(u64::try_from(self.0).unwrap_or(0))
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    pub revision: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    key: String,
    value: String,
    create_revision: Int,
    mod_revision: Int,
    version: Int,
    lease: Int,
}

/// Why a key-value pair or an event can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("not base64: {0}")]
    Base64(#[from] DecodeError),
    #[error("key is not UTF-8: {0}")]
    Key(#[from] FromUtf8Error),
    #[error("event has no key")]
    NoKey,
}

impl TryFrom<KeyValue> for Entry {
    type Error = Error;

    fn try_from(kv: KeyValue) -> Result<Self, Error> {
        Ok(Self {
            key: String::from_utf8(BASE64_STANDARD.decode(kv.key)?)?,
            value: BASE64_STANDARD.decode(kv.value)?,
            mod_revision: kv.mod_revision.revision(),
            create_revision: kv.create_revision.revision(),
            version: kv.version.revision().0,
            lease: (kv.lease.0 != 0).then_some(LeaseId(kv.lease.0)),
        })
    }
}

/// Decodes all of `kvs`.
pub fn decode_entries(kvs: Vec<KeyValue>) -> Result<Vec<Entry>, Error> {
    kvs.into_iter().map(Entry::try_from).collect()
}

#[derive(Debug, Serialize)]
pub struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    range_end: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<String>,
}

impl RangeRequest {
    pub fn key(key: &str) -> Self {
        Self {
            key: BASE64_STANDARD.encode(key),
            range_end: String::new(),
            revision: None,
        }
    }

    pub fn key_at(key: &str, revision: Revision) -> Self {
        Self {
            revision: Some(revision.to_string()),
            ..Self::key(key)
        }
    }

    pub fn prefix(prefix: &str) -> Self {
        let (key, range_end) = prefix_range(prefix);
        Self {
            key,
            range_end,
            revision: None,
        }
    }
}

/// The encoded `key` and `range_end` of the range of keys that begin with `prefix`.
fn prefix_range(prefix: &str) -> (String, String) {
    if prefix.is_empty() {
        // In the protocol, a zero byte as both bounds selects all keys.
        return (BASE64_STANDARD.encode([0]), BASE64_STANDARD.encode([0]));
    }
    let mut end = prefix.as_bytes().to_vec();
    // UTF-8 contains no byte 255, so incrementing the last byte can't overflow.
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    (BASE64_STANDARD.encode(prefix), BASE64_STANDARD.encode(end))
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub struct Compare {
    key: String,
    result: &'static str,
    target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<String>,
}

impl From<&Condition> for Compare {
    fn from(condition: &Condition) -> Self {
        let (target, mod_revision, create_revision) = match condition {
            Condition::ModRevision(_, revision) => ("MOD", Some(revision.to_string()), None),
            Condition::CreateRevision(_, revision) => ("CREATE", None, Some(revision.to_string())),
        };
        let key = BASE64_STANDARD.encode(condition.key());
        Self {
            key,
            result: "EQUAL",
            target,
            mod_revision,
            create_revision,
        }
    }
}

#[derive(Debug, Serialize)]
pub enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put {
        key: String,
        value: String,
        #[serde(skip_serializing_if = "Option::is_none")]
        lease: Option<String>,
    },
    #[serde(rename = "request_delete_range")]
    Delete { key: String },
}

impl From<&Write> for RequestOp {
    fn from(write: &Write) -> Self {
        match write {
            Write::Put { key, value, lease } => Self::Put {
                key: BASE64_STANDARD.encode(key),
                value: BASE64_STANDARD.encode(value),
                lease: lease.map(|lease| lease.to_string()),
            },
            Write::Delete { key } => Self::Delete {
                key: BASE64_STANDARD.encode(key),
            },
        }
    }
}

#[derive(Debug, Serialize)]
pub struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    pub header: Header,
    pub succeeded: bool,
    pub responses: Vec<ResponseOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    pub response_range: RangeResponse,
}

#[derive(Debug, Serialize)]
pub struct GrantRequest {
    #[serde(rename = "TTL")]
    pub ttl: String,
}

#[derive(Debug, Serialize)]
pub struct LeaseRequest {
    #[serde(rename = "ID")]
    pub id: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// One message of a streaming response.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message<T> {
    Result(T),
    Error(Failure),
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Failure {
    pub message: String,
}

#[derive(Debug, Serialize)]
pub struct WatchRequest {
    create_request: CreateRequest,
}

#[derive(Debug, Serialize)]
struct CreateRequest {
    key: String,
    range_end: String,
    start_revision: String,
    progress_notify: bool,
}

impl WatchRequest {
    pub fn new(prefix: &str, from: Revision) -> Self {
        let (key, range_end) = prefix_range(prefix);
        let start_revision = from.to_string();
        let create_request = CreateRequest {
            key,
            range_end,
            start_revision,
            progress_notify: true,
        };
        Self { create_request }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    pub header: Header,
    pub created: bool,
    pub canceled: bool,
    pub compact_revision: Int,
    pub cancel_reason: String,
    pub events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    #[serde(rename = "type")]
    kind: Kind,
    kv: Option<KeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Kind {
    #[default]
    Put,
    Delete,
}

impl TryFrom<WatchEvent> for Event {
    type Error = Error;

    fn try_from(event: WatchEvent) -> Result<Self, Error> {
        let entry = Entry::try_from(event.kv.ok_or(Error::NoKey)?)?;
        Ok(match event.kind {
            Kind::Put => Self::Put(entry),
            Kind::Delete => Self::Delete {
                key: entry.key,
                revision: entry.mod_revision,
            },
        })
    }
}
