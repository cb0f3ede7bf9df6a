//! The client and its operations.

use super::{
    json::{
        self, GrantRequest, LeaseRequest, LeaseResponse, Message, RangeRequest, RangeResponse,
        RequestOp, TxnRequest, TxnResponse, entries,
    },
    request::{Repeat, Subject, call, whole_seconds},
    watch::Watch,
};
use crate::{
    Entry, Error, Lease, Listing, Outcome, Revision, Store, Transaction,
    commit::{Condition, Write},
    error::Step,
    store::MAX_VALUE,
};
use std::{
    collections::BTreeSet,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use trillium_smol::ClientConfig;

/// A client's settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// The store's addresses, each `host:port`, in the order of preference.
    pub peers: Vec<String>,
    /// How long each operation may take, over all addresses together; a watch's opening as well.
    pub timeout: Duration,
}

/// A client of the gateway; connections are kept and shared.
#[derive(Debug)]
pub struct Client {
    pub(super) peers: Vec<String>,
    /// A setting: each operation makes its own deadline of it.
    pub(super) timeout: Duration,
    /// The address that answered last.
    pub(super) preferred: AtomicUsize,
    pub(super) calls: trillium_client::Client,
    /// Its connections are never reused: one that is dropped with its watch has no end to read to.
    pub(super) watches: trillium_client::Client,
}

impl Client {
    /// A client that connects when it is first used.
    pub fn new(options: Options) -> Self {
        let config = ClientConfig::new().with_nodelay(true);
        Self {
            peers: options.peers,
            timeout: options.timeout,
            preferred: AtomicUsize::new(0),
            calls: trillium_client::Client::new(config),
            watches: trillium_client::Client::new(config).without_keepalive(),
        }
    }

    /// The address that answered last; under calls at the same time it may be another's.
    fn answered(&self) -> &str {
        self.peers
            .get(self.preferred.load(Ordering::Relaxed))
            .map_or("", String::as_str)
    }

    fn malformed(&self, subject: Subject<'_>, err: &json::Error) -> Error {
        Error::Malformed {
            site: subject.site(self.answered()),
            reason: err.to_string(),
        }
    }

    async fn range(&self, subject: Subject<'_>, body: &RangeRequest) -> Result<Listing, Error> {
        let response: RangeResponse = call(self, subject, "/v3/kv/range", body).await?;
        let revision = response.header.revision.revision();
        let entries = entries(response.kvs).map_err(|err| self.malformed(subject, &err))?;
        Ok(Listing { revision, entries })
    }
}

fn read(step: Step, key: &str) -> Subject<'_> {
    Subject {
        step,
        key,
        repeat: Repeat::Free,
    }
}

fn check_sizes(transaction: &Transaction) -> Result<(), Error> {
    for write in &transaction.writes {
        if let Write::Put { key, value, .. } = write
            && value.len() > MAX_VALUE
        {
            let (key, size) = (key.clone(), value.len());
            return Err(Error::TooLarge {
                key,
                size,
                limit: MAX_VALUE,
            });
        }
    }
    Ok(())
}

impl From<&Transaction> for TxnRequest {
    fn from(transaction: &Transaction) -> Self {
        let compared: BTreeSet<_> = transaction.conditions.iter().map(Condition::key).collect();
        let ranges = compared.into_iter().map(RangeRequest::key);
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
            .range(read(Step::Get, key), &RangeRequest::key(key))
            .await?;
        Ok(listing.entries.into_iter().next())
    }

    async fn get_at(&self, key: &str, revision: Revision) -> Result<Option<Entry>, Error> {
        let request = RangeRequest::key_at(key, revision);
        match self.range(read(Step::Get, key), &request).await {
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
        self.range(read(Step::List, prefix), &RangeRequest::prefix(prefix))
            .await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        check_sizes(transaction)?;
        let key = transaction.writes.first().map_or("", Write::key);
        let subject = Subject {
            step: Step::Commit,
            key,
            repeat: Repeat::Never,
        };
        let request = TxnRequest::from(transaction);
        let response: TxnResponse = call(self, subject, "/v3/kv/txn", &request).await?;
        if response.succeeded {
            return Ok(Outcome::Written(response.header.revision.revision()));
        }
        let kvs = response
            .responses
            .into_iter()
            .flat_map(|op| op.response_range.kvs)
            .collect();
        // Nothing was written, so that a malformed entry leaves no doubt of the outcome.
        Ok(Outcome::Conflict(
            entries(kvs).map_err(|err| self.malformed(subject, &err))?,
        ))
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let subject = Subject {
            step: Step::Grant,
            key: "",
            repeat: Repeat::Never,
        };
        let request = GrantRequest {
            ttl: whole_seconds(ttl).to_string(),
        };
        let response: LeaseResponse = call(self, subject, "/v3/lease/grant", &request).await?;
        match response.id.0 {
            0 => Err(Error::Malformed {
                site: subject.site(self.answered()),
                reason: "no id".into(),
            }),
            id => Ok(Lease(id)),
        }
    }

    async fn keep_alive(&self, lease: Lease) -> Result<Duration, Error> {
        let id = lease.to_string();
        let subject = read(Step::KeepAlive, &id);
        let request = LeaseRequest { id: id.clone() };
        match call(self, subject, "/v3/lease/keepalive", &request).await? {
            Message::Result(LeaseResponse { ttl, .. }) => match u64::try_from(ttl.0) {
                Ok(ttl @ 1..) => Ok(Duration::from_secs(ttl)),
                _ => Err(Error::Expired {
                    site: subject.site(self.answered()),
                }),
            },
            Message::Error(failure) => {
                let site = subject.site(self.answered());
                Err(Error::Unanswered {
                    site,
                    reason: failure.message,
                })
            }
        }
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let id = lease.to_string();
        let subject = read(Step::Revoke, &id);
        let request = LeaseRequest { id: id.clone() };
        match call::<LeaseResponse>(self, subject, "/v3/lease/revoke", &request).await {
            Ok(_) | Err(Error::Expired { .. }) => Ok(()),
            Err(err) => Err(err),
        }
    }

    async fn watch(&self, prefix: &str, from: Revision, idle: Duration) -> Result<Watch, Error> {
        Watch::open(self, prefix, from, idle).await
    }
}
