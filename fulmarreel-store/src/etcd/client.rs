//! The client and its [`Store`] implementation.

use super::{
    json::{
        self, GrantRequest, LeaseRequest, LeaseResponse, Message, RangeRequest, RangeResponse,
        RequestOp, TxnRequest, TxnResponse, decode_entries,
    },
    request::{CallContext, Retry, call, whole_seconds},
    transport::Transport,
    watch::Watch,
};
use crate::{
    Entry, Error, LeaseId, Listing, Outcome, Revision, Store, Transaction,
    commit::{Condition, Write},
    error::Operation,
    store::MAX_VALUE_BYTES,
};
use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// A client's settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// The store's addresses, each `host:port`, in order of preference.
    pub peers: Vec<String>,
    /// The time limit of each operation, and of opening a watch, over all addresses together.
    pub operation_timeout: Duration,
}

/// A client for the gateway; operations share a connection pool.
#[derive(Debug)]
pub struct Client {
    pub(super) peers: Vec<String>,
    /// The time limit of each operation, over all addresses together.
    pub(super) operation_timeout: Duration,
    /// The index in `peers` of the address that last responded.
    pub(super) preferred: AtomicUsize,
    pub(super) transport: Transport,
}

impl Client {
    /// Creates a client, which connects on first use.
    pub fn new(options: Options) -> Self {
        Self {
            peers: options.peers,
            operation_timeout: options.operation_timeout,
            preferred: AtomicUsize::new(0),
            transport: Transport::default(),
        }
    }

    /// The address that last responded; with concurrent calls it may be that of another call.
    fn last_peer(&self) -> &str {
        self.peers
            .get(self.preferred.load(Ordering::Relaxed))
            .map_or("", String::as_str)
    }

    fn malformed(&self, context: CallContext<'_>, err: &json::Error) -> Error {
        Error::Malformed {
            site: context.site(self.last_peer()),
            reason: err.to_string(),
        }
    }

    async fn range(&self, context: CallContext<'_>, body: &RangeRequest) -> Result<Listing, Error> {
        let response: RangeResponse = call(self, context, "/v3/kv/range", body).await?;
        let revision = response.header.revision.revision();
        let entries = decode_entries(response.kvs).map_err(|err| self.malformed(context, &err))?;
        Ok(Listing { revision, entries })
    }
}

fn idempotent_context(operation: Operation, key: &str) -> CallContext<'_> {
    CallContext {
        operation,
        key,
        retry: Retry::Safe,
    }
}

fn check_value_sizes(transaction: &Transaction) -> Result<(), Error> {
    for write in &transaction.writes {
        if let Write::Put { key, value, .. } = write
            && value.len() > MAX_VALUE_BYTES
        {
            let (key, size) = (key.clone(), value.len());
            return Err(Error::TooLarge {
                key,
                size,
                limit: MAX_VALUE_BYTES,
            });
        }
    }
    Ok(())
}

impl From<&Transaction> for TxnRequest {
    fn from(transaction: &Transaction) -> Self {
        let condition_keys: BTreeSet<_> =
            transaction.conditions.iter().map(Condition::key).collect();
        let ranges = condition_keys.into_iter().map(RangeRequest::key);
        Self {
            compare: transaction.conditions.iter().map(Into::into).collect(),
            success: transaction.writes.iter().map(Into::into).collect(),
            failure: ranges.map(RequestOp::Range).collect(),
        }
    }
}

impl Store for Client {
    type Watch = Watch;

    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let listing = self
            .range(
                idempotent_context(Operation::Get, key),
                &RangeRequest::key(key),
            )
            .await?;
        Ok(listing.entries.into_iter().next())
    }

    async fn get_at(&self, key: &str, revision: Revision) -> Result<Option<Entry>, Error> {
        let request = RangeRequest::key_at(key, revision);
        match self
            .range(idempotent_context(Operation::Get, key), &request)
            .await
        {
            Ok(listing) => Ok(listing.entries.into_iter().next()),
            Err(Error::Compacted { site, oldest, .. }) => Err(Error::Compacted {
                site,
                from: revision,
                oldest,
            }),
            Err(err) => Err(err),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.range(
            idempotent_context(Operation::List, prefix),
            &RangeRequest::prefix(prefix),
        )
        .await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        check_value_sizes(transaction)?;
        let key = transaction.writes.first().map_or("", Write::key);
        let context = CallContext {
            operation: Operation::Commit,
            key,
            retry: Retry::Unsafe,
        };
        let request = TxnRequest::from(transaction);
        let response: TxnResponse = call(self, context, "/v3/kv/txn", &request).await?;
        if response.succeeded {
            return Ok(Outcome::Written(response.header.revision.revision()));
        }
        let kvs = response
            .responses
            .into_iter()
            .flat_map(|op| op.response_range.kvs)
            .collect();
        // A conflict means that nothing was written, so a malformed entry does not make the outcome
        // unknown.
        Ok(Outcome::Conflict(
            decode_entries(kvs).map_err(|err| self.malformed(context, &err))?,
        ))
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let context = CallContext {
            operation: Operation::Grant,
            key: "",
            retry: Retry::Unsafe,
        };
        let request = GrantRequest {
            ttl: whole_seconds(ttl).to_string(),
        };
        let response: LeaseResponse = call(self, context, "/v3/lease/grant", &request).await?;
        match response.id.0 {
            0 => Err(Error::Malformed {
                site: context.site(self.last_peer()),
                reason: "the granted lease has no id".into(),
            }),
            id => Ok(LeaseId(id)),
        }
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error> {
        let id = lease.to_string();
        let context = idempotent_context(Operation::KeepAlive, &id);
        let request = LeaseRequest { id: id.clone() };
        match call(self, context, "/v3/lease/keepalive", &request).await? {
            Message::Result(LeaseResponse { ttl, .. }) => match u64::try_from(ttl.0) {
                Ok(ttl @ 1..) => Ok(Duration::from_secs(ttl)),
                _ => Err(Error::LeaseExpired {
                    site: context.site(self.last_peer()),
                }),
            },
            Message::Error(failure) => {
                let site = context.site(self.last_peer());
                Err(Error::NoResponse {
                    site,
                    reason: failure.message,
                })
            }
        }
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let id = lease.to_string();
        let context = idempotent_context(Operation::Revoke, &id);
        let request = LeaseRequest { id: id.clone() };
        match call::<LeaseResponse>(self, context, "/v3/lease/revoke", &request).await {
            Ok(_) | Err(Error::LeaseExpired { .. }) => Ok(()),
            Err(err) => Err(err),
        }
    }

    async fn watch(&self, prefix: &str, from: Revision, idle: Duration) -> Result<Watch, Error> {
        Watch::open(self, prefix, from, idle).await
    }
}
