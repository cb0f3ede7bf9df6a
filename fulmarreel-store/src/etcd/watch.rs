//! Watches, each on a connection of its own.

use super::{
    client::Client,
    json::{Message, WatchRequest, WatchResponse},
    request::{split_deadline, with_deadline},
};
use crate::{
    Batch, Error, Event, Revision,
    error::{Operation, Site},
};
use fulmarreel_http::Body;
use futures_lite::AsyncReadExt;
use std::{
    fmt,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// The most bytes of one read.
const READ_BYTES: usize = 64 * 1024;
/// The longest message: the events of one large transaction, or of a replay.
const MAX_MESSAGE_BYTES: usize = 256 * 1024 * 1024;

/// An open watch on the gateway.
pub struct Watch {
    body: Body,
    site: Site,
    /// The lowest revision whose events have not been delivered.
    next_revision: Revision,
    /// How long the watch may receive no byte; set by the caller.
    idle_timeout: Duration,
    /// When the watch fails unless a byte arrives before.
    idle_deadline: Instant,
    /// Bytes received that are not yet decoded.
    buffer: Vec<u8>,
    /// The length of the start of `buffer` that is known to hold no end of line.
    scanned: usize,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch")
            .field("site", &self.site)
            .field("next", &self.next_revision)
            .finish()
    }
}

impl Watch {
    /// Opens a watch on the first address that accepts it, starting with the one that last responded.
    pub(super) async fn open(
        client: &Client,
        prefix: &str,
        from: Revision,
        idle: Duration,
    ) -> Result<Self, Error> {
        let body = serde_json::to_string(&WatchRequest::new(prefix, from))
            .expect("all maps of the gateway's types have string keys");
        let deadline = Instant::now() + client.operation_timeout;
        let first = client.preferred.load(Ordering::Relaxed);
        let count = client.peers.len();
        let mut last_error = Error::NoAddress;
        for tried in 0..count {
            let peer = &client.peers[(first + tried) % count];
            let site = Site {
                operation: Operation::Watch,
                key: prefix.to_owned(),
                peer: peer.clone(),
            };
            match connect(
                client,
                &site,
                &body,
                split_deadline(deadline, count - tried),
            )
            .await
            {
                Ok(body) => {
                    return Ok(Self {
                        body,
                        site,
                        next_revision: from,
                        idle_timeout: idle,
                        idle_deadline: Instant::now() + idle,
                        buffer: Vec::new(),
                        scanned: 0,
                    });
                }
                Err(err) => last_error = err,
            }
        }
        Err(last_error)
    }

    /// Removes the next complete line from the buffer.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let Some(offset) = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        else {
            self.scanned = self.buffer.len();
            return None;
        };
        let rest = self.buffer.split_off(self.scanned + offset + 1);
        self.scanned = 0;
        Some(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads more bytes into the buffer.
    async fn read_more(&mut self) -> Result<(), Error> {
        let mut bytes = vec![0; READ_BYTES];
        let read = with_deadline(self.idle_deadline, self.body.read(&mut bytes)).await;
        let count = match read {
            None => {
                return Err(Error::IdleTimeout {
                    site: self.site.clone(),
                    idle: self.idle_timeout,
                });
            }
            Some(Ok(0)) => return Err(self.disconnected("end of the stream")),
            Some(Ok(count)) => count,
            Some(Err(err)) => return Err(self.disconnected(&err.to_string())),
        };
        self.idle_deadline = Instant::now() + self.idle_timeout;
        self.buffer.extend_from_slice(&bytes[..count]);
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(self.malformed(format!("a message is over {MAX_MESSAGE_BYTES} bytes")));
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

    /// Decodes one message; `None` for the confirmation that the watch was created.
    fn decode_message(&mut self, line: &[u8]) -> Result<Option<Batch>, Error> {
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
                from: self.next_revision,
                oldest,
            });
        }
        if response.canceled {
            return Err(self.cancelled(response.cancel_reason));
        }
        if response.created {
            return Ok(None);
        }
        let header_revision = response.header.revision.revision();
        let mut events = Vec::with_capacity(response.events.len());
        for event in response.events {
            let event = Event::try_from(event).map_err(|err| self.malformed(err.to_string()))?;
            // A replay may repeat events from before the requested revision.
            if event.revision() >= self.next_revision {
                events.push(event);
            }
        }
        // A long replay comes in several messages, each with the store's current revision in its
        // header: only the events themselves say how far it has come.
        let revision = events.last().map_or(header_revision, Event::revision);
        self.next_revision = self.next_revision.max(revision.next());
        Ok(Some(Batch { revision, events }))
    }
}

impl crate::watch::Watch for Watch {
    async fn next(&mut self) -> Result<Batch, Error> {
        loop {
            while let Some(line) = self.take_line() {
                if let Some(batch) = self.decode_message(&line)? {
                    return Ok(batch);
                }
            }
            self.read_more().await?;
        }
    }
}

async fn connect(
    client: &Client,
    site: &Site,
    body: &str,
    deadline: Instant,
) -> Result<Body, Error> {
    let no_response = |reason: String| Error::NoResponse {
        site: site.clone(),
        reason,
    };
    let opened = client.transport.stream(&site.peer, "/v3/watch", body);
    let response = with_deadline(deadline, opened)
        .await
        .ok_or_else(|| no_response("the deadline passed".to_owned()))?
        .map_err(|err| no_response(err.to_string()))?;
    match response.status {
        200 => Ok(response.body),
        status => Err(no_response(format!("status {status}"))),
    }
}
