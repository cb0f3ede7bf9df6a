//! One unary call: addresses, deadlines and what a failure means.

use super::{client::Client, json::Failure};
use crate::{
    Error, Revision,
    error::{Site, Step},
};
use serde::{Serialize, de::DeserializeOwned};
use smol::{Timer, future::FutureExt};
use std::{
    io::ErrorKind,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// The longest answer that is read, in bytes: a listing of some hundred values of full size.
const MAX_ANSWER: u64 = 256 * 1024 * 1024;

/// Whether a call may be sent again after it may have been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// A read, or a write that has the same effect twice.
    Free,
    /// A write whose second copy could have an effect of its own.
    Never,
}

/// What a call is about, for its errors.
#[derive(Debug, Clone, Copy)]
pub struct Subject<'a> {
    pub step: Step,
    pub key: &'a str,
    pub repeat: Repeat,
}

impl Subject<'_> {
    pub fn site(&self, peer: &str) -> Site {
        Site {
            step: self.step,
            key: self.key.to_owned(),
            peer: peer.to_owned(),
        }
    }

    /// The error of a call that was sent and got no proper answer.
    fn lost(&self, peer: &str, reason: String) -> Error {
        let site = self.site(peer);
        match self.repeat {
            Repeat::Free => Error::Unanswered { site, reason },
            Repeat::Never => Error::Unknown { site, reason },
        }
    }

    fn failed(&self, peer: &str, err: &trillium_client::Error) -> Error {
        if never_connected(err) {
            return Error::NotSent {
                site: self.site(peer),
                reason: err.to_string(),
            };
        }
        self.lost(peer, err.to_string())
    }

    /// The error that a status other than 200 stands for.
    fn refused(&self, peer: &str, status: u16, body: &[u8]) -> Error {
        let message = serde_json::from_slice::<Failure>(body)
            .unwrap_or_default()
            .message;
        let site = self.site(peer);
        if message.contains("requested lease not found") {
            return Error::Expired { site };
        }
        if message.contains("required revision has been compacted") {
            return Error::Compacted {
                site,
                from: Revision(0),
                oldest: Revision(0),
            };
        }
        // A server's own timeout doesn't say whether the write goes on.
        if status >= 500 {
            return self.lost(peer, format!("status {status}: {message}"));
        }
        Error::Refused {
            site,
            status,
            message,
        }
    }
}

/// Whether the connection was never made, so that nothing can have been sent.
fn never_connected(err: &trillium_client::Error) -> bool {
    use ErrorKind::{AddrNotAvailable, ConnectionRefused, HostUnreachable, NetworkUnreachable};
    let trillium_client::Error::Io(err) = err else {
        return false;
    };
    matches!(
        err.kind(),
        ConnectionRefused | HostUnreachable | NetworkUnreachable | AddrNotAvailable
    )
}

/// Gives `work` until `deadline`.
pub async fn until<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(late).await
}

/// Tries the addresses in turn, from the one that answered last, within one deadline.
pub async fn call<T: DeserializeOwned>(
    client: &Client,
    subject: Subject<'_>,
    path: &str,
    body: &impl Serialize,
) -> Result<T, Error> {
    let body = serde_json::to_string(body).expect("the gateway's types have string keys alone");
    let deadline = Instant::now() + client.timeout;
    let first = client.preferred.load(Ordering::Relaxed);
    let count = client.peers.len();
    let mut last = Error::NoAddress;
    for turn in 0..count {
        let index = (first + turn) % count;
        let peer = &client.peers[index];
        let by = share(deadline, count - turn);
        match attempt(client, subject, peer, path, &body, by).await {
            Ok(answer) => {
                client.preferred.store(index, Ordering::Relaxed);
                return Ok(answer);
            }
            Err(err @ (Error::NotSent { .. } | Error::Unanswered { .. })) => last = err,
            Err(err) => return Err(err),
        }
    }
    Err(last)
}

/// The deadline of one attempt when `left` addresses share the time until `deadline`.
pub fn share(deadline: Instant, left: usize) -> Instant {
    let now = Instant::now();
    let rest = deadline.saturating_duration_since(now);
    now + rest / u32::try_from(left.max(1)).unwrap_or(u32::MAX)
}

async fn attempt<T: DeserializeOwned>(
    client: &Client,
    subject: Subject<'_>,
    peer: &str,
    path: &str,
    body: &str,
    deadline: Instant,
) -> Result<T, Error> {
    let exchange = async {
        let mut conn = client
            .calls
            .post(url(peer, path))
            .with_body(body.to_owned())
            .await?;
        let status = conn.status().map_or(0, |status| status as u16);
        let body = conn
            .response_body()
            .with_max_len(MAX_ANSWER)
            .read_bytes()
            .await?;
        Ok((status, body))
    };
    let (status, body) = until(deadline, exchange)
        .await
        .ok_or_else(|| subject.lost(peer, "the deadline passed".to_owned()))?
        .map_err(|err| subject.failed(peer, &err))?;
    if status != 200 {
        return Err(subject.refused(peer, status, &body));
    }
    serde_json::from_slice(&body).map_err(|err| match subject.repeat {
        Repeat::Never => subject.lost(peer, err.to_string()),
        Repeat::Free => Error::Malformed {
            site: subject.site(peer),
            reason: err.to_string(),
        },
    })
}

/// The address of one of the gateway's calls.
pub fn url(peer: &str, path: &str) -> String {
    format!("http://{peer}{path}")
}

/// Seconds for a lease, rounded up; the store knows no shorter than one.
pub fn whole_seconds(ttl: Duration) -> u64 {
    (ttl.as_secs() + u64::from(ttl.subsec_nanos() > 0)).max(1)
}
