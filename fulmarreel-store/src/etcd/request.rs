//! Unary calls: failover between addresses, deadlines and the classification of failures.

use super::{client::Client, json::Failure, transport};
use crate::{
    Error, Revision,
    error::{Operation, Site},
};
use fulmarreel_http::Response;
use serde::{Serialize, de::DeserializeOwned};
use smol::{Timer, future::FutureExt};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// Whether a call may be sent again after a copy may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// A read, or an idempotent write.
    Safe,
    /// A write that is not idempotent: a second copy could have an effect of its own.
    Unsafe,
}

/// What a call does, as needed to classify and report its errors.
#[derive(Debug, Clone, Copy)]
pub struct CallContext<'a> {
    pub operation: Operation,
    pub key: &'a str,
    pub retry: Retry,
}

impl CallContext<'_> {
    pub fn site(&self, peer: &str) -> Site {
        Site {
            operation: self.operation,
            key: self.key.to_owned(),
            peer: peer.to_owned(),
        }
    }

    /// The error of a call that was sent and got no usable response.
    fn no_response(&self, peer: &str, reason: String) -> Error {
        let site = self.site(peer);
        match self.retry {
            Retry::Safe => Error::NoResponse { site, reason },
            Retry::Unsafe => Error::OutcomeUnknown { site, reason },
        }
    }

    /// The error of a call that failed in the HTTP client.
    fn transport_error(&self, peer: &str, err: &transport::Error) -> Error {
        let reason = err.to_string();
        match err {
            transport::Error::NotConnected(_) => Error::NotSent {
                site: self.site(peer),
                reason,
            },
            transport::Error::Exchange(_) => self.no_response(peer, reason),
        }
    }

    /// The error that a status other than 200 means.
    fn status_error(&self, peer: &str, status: u16, body: &[u8]) -> Error {
        let message = serde_json::from_slice::<Failure>(body)
            .unwrap_or_default()
            .message;
        let site = self.site(peer);
        if message.contains("requested lease not found") {
            return Error::LeaseExpired { site };
        }
        if message.contains("required revision has been compacted") {
            return Error::Compacted {
                site,
                from: Revision(0),
                oldest: Revision(0),
            };
        }
        // A server error, such as a timeout inside the server, doesn't say whether the write still
        // takes effect.
        if status >= 500 {
            return self.no_response(peer, format!("status {status}: {message}"));
        }
        Error::Refused {
            site,
            status,
            message,
        }
    }
}

/// Runs `work` until it completes; `None` if `deadline` comes first.
pub async fn with_deadline<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(timeout).await
}

/// Sends a call to one address after another, starting with the one that last responded, within the
/// client's time limit.
pub async fn call<T: DeserializeOwned>(
    client: &Client,
    context: CallContext<'_>,
    path: &str,
    body: &impl Serialize,
) -> Result<T, Error> {
    let body =
        serde_json::to_string(body).expect("all maps of the gateway's types have string keys");
    let deadline = Instant::now() + client.operation_timeout;
    let first = client.preferred.load(Ordering::Relaxed);
    let count = client.peers.len();
    let mut last_error = Error::NoAddress;
    for tried in 0..count {
        let index = (first + tried) % count;
        let peer = &client.peers[index];
        let attempt_deadline = split_deadline(deadline, count - tried);
        match attempt(client, context, peer, path, &body, attempt_deadline).await {
            Ok(response) => {
                client.preferred.store(index, Ordering::Relaxed);
                return Ok(response);
            }
            Err(err @ (Error::NotSent { .. } | Error::NoResponse { .. })) => last_error = err,
            Err(err) => return Err(err),
        }
    }
    Err(last_error)
}

/// The deadline of the next attempt if `untried` addresses share the time until `deadline` equally.
pub fn split_deadline(deadline: Instant, untried: usize) -> Instant {
    let now = Instant::now();
    let remaining = deadline.saturating_duration_since(now);
    now + remaining / u32::try_from(untried.max(1)).unwrap_or(u32::MAX)
}

async fn attempt<T: DeserializeOwned>(
    client: &Client,
    context: CallContext<'_>,
    peer: &str,
    path: &str,
    body: &str,
    deadline: Instant,
) -> Result<T, Error> {
    let response = with_deadline(deadline, client.transport.call(peer, path, body))
        .await
        .ok_or_else(|| context.no_response(peer, "the deadline passed".to_owned()))?
        .map_err(|err| context.transport_error(peer, &err))?;
    let Response { status, body, .. } = response;
    if status != 200 {
        return Err(context.status_error(peer, status, &body));
    }
    serde_json::from_slice(&body).map_err(|err| match context.retry {
        Retry::Unsafe => context.no_response(peer, err.to_string()),
        Retry::Safe => Error::Malformed {
            site: context.site(peer),
            reason: err.to_string(),
        },
    })
}

/// The time to live of a lease in seconds, rounded up; the store's minimum is one.
pub fn whole_seconds(ttl: Duration) -> u64 {
    (ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0)).max(1)
}
