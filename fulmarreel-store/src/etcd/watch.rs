//! A watch over its own connection.

use super::{
    client::Client,
    json::{Message, WatchRequest, WatchResponse},
    request::{share, until, url},
};
use crate::{
    Batch, Error, Event, Revision,
    error::{Site, Step},
};
use futures_lite::AsyncReadExt;
use std::{
    fmt,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use trillium_client::ResponseBody;

/// The bytes read at once.
const READ_SIZE: usize = 64 * 1024;
/// The longest message in bytes: the events of one large transaction, or of a replay.
const MAX_MESSAGE: usize = 256 * 1024 * 1024;

/// An open watch of the gateway.
pub struct Watch {
    body: ResponseBody<'static>,
    site: Site,
    /// The lowest revision that is still wanted.
    next: Revision,
    /// A setting of the caller.
    idle: Duration,
    /// When the watch counts as silent, unless a byte comes before.
    silent_at: Instant,
    /// What was read of messages not yet delivered.
    buffer: Vec<u8>,
    /// Up to where `buffer` holds no end of line.
    searched: usize,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch")
            .field("site", &self.site)
            .field("next", &self.next)
            .finish()
    }
}

impl Watch {
    /// Tries the addresses in turn, from the one that answered last.
    pub(super) async fn open(
        client: &Client,
        prefix: &str,
        from: Revision,
        idle: Duration,
    ) -> Result<Self, Error> {
        let body = serde_json::to_string(&WatchRequest::new(prefix, from))
            .expect("the gateway's types have string keys alone");
        let deadline = Instant::now() + client.timeout;
        let first = client.preferred.load(Ordering::Relaxed);
        let count = client.peers.len();
        let mut last = Error::NoAddress;
        for turn in 0..count {
            let peer = &client.peers[(first + turn) % count];
            let site = Site {
                step: Step::Watch,
                key: prefix.to_owned(),
                peer: peer.clone(),
            };
            match connect(client, &site, &body, share(deadline, count - turn)).await {
                Ok(body) => {
                    return Ok(Self {
                        body,
                        site,
                        next: from,
                        idle,
                        silent_at: Instant::now() + idle,
                        buffer: Vec::new(),
                        searched: 0,
                    });
                }
                Err(err) => last = err,
            }
        }
        Err(last)
    }

    /// Takes a whole line off the buffer.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let Some(at) = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        else {
            self.searched = self.buffer.len();
            return None;
        };
        let rest = self.buffer.split_off(self.searched + at + 1);
        self.searched = 0;
        Some(std::mem::replace(&mut self.buffer, rest))
    }

    async fn fill(&mut self) -> Result<(), Error> {
        let mut bytes = vec![0; READ_SIZE];
        let read = until(self.silent_at, self.body.read(&mut bytes)).await;
        let count = match read {
            None => {
                return Err(Error::Silent {
                    site: self.site.clone(),
                    idle: self.idle,
                });
            }
            Some(Ok(0)) => return Err(self.disconnected("end of the stream")),
            Some(Ok(count)) => count,
            Some(Err(err)) => return Err(self.disconnected(&err.to_string())),
        };
        self.silent_at = Instant::now() + self.idle;
        self.buffer.extend_from_slice(&bytes[..count]);
        if self.buffer.len() > MAX_MESSAGE {
            return Err(self.malformed(format!("a message over {MAX_MESSAGE} bytes")));
        }
        Ok(())
    }

    fn disconnected(&self, reason: &str) -> Error {
        Error::Disconnected {
            site: self.site.clone(),
            reason: reason.to_owned(),
        }
    }

    fn malformed(&self, reason: String) -> Error {
        Error::Malformed {
            site: self.site.clone(),
            reason,
        }
    }

    fn cancelled(&self, reason: String) -> Error {
        Error::Cancelled {
            site: self.site.clone(),
            reason,
        }
    }

    /// The batch of one message; none for the reply to the watch's creation.
    fn batch(&mut self, line: &[u8]) -> Result<Option<Batch>, Error> {
        let message =
            serde_json::from_slice(line).map_err(|err| self.malformed(err.to_string()))?;
        let response: WatchResponse = match message {
            Message::Result(response) => response,
            Message::Error(failure) => return Err(self.cancelled(failure.message)),
        };
        if response.compact_revision.0 > 0 {
            let (site, oldest) = (self.site.clone(), response.compact_revision.revision());
            return Err(Error::Compacted {
                site,
                from: self.next,
                oldest,
            });
        }
        if response.canceled {
            return Err(self.cancelled(response.cancel_reason));
        }
        if response.created {
            return Ok(None);
        }
        let header = response.header.revision.revision();
        let mut events = Vec::with_capacity(response.events.len());
        for event in response.events {
            let event = Event::try_from(event).map_err(|err| self.malformed(err.to_string()))?;
            // A replay that overlaps what was delivered is no news.
            if event.revision() >= self.next {
                events.push(event);
            }
        }
        // A long replay comes in pieces under the store's newest revision: only the events
        // themselves say how far it has come.
        let revision = events.last().map_or(header, Event::revision);
        self.next = self.next.max(revision.next());
        Ok(Some(Batch { revision, events }))
    }
}

impl crate::watch::Watch for Watch {
    async fn next(&mut self) -> Result<Batch, Error> {
        loop {
            while let Some(line) = self.take_line() {
                if let Some(batch) = self.batch(&line)? {
                    return Ok(batch);
                }
            }
            self.fill().await?;
        }
    }
}

async fn connect(
    client: &Client,
    site: &Site,
    body: &str,
    deadline: Instant,
) -> Result<ResponseBody<'static>, Error> {
    let unanswered = |reason: String| Error::Unanswered {
        site: site.clone(),
        reason,
    };
    let request = client
        .watches
        .post(url(&site.peer, "/v3/watch"))
        .with_body(body.to_owned());
    let mut conn = until(deadline, request.into_future())
        .await
        .ok_or_else(|| unanswered("the deadline passed".to_owned()))?
        .map_err(|err| unanswered(err.to_string()))?;
    match conn.status().map_or(0, |status| status as u16) {
        200 => {}
        status => return Err(unanswered(format!("status {status}"))),
    }
    let body = conn
        .take_response_body()
        .ok_or_else(|| unanswered("no body".to_owned()))?;
    // A watch has no end, and so its body no longest length.
    Ok(body.with_max_len(u64::MAX))
}
