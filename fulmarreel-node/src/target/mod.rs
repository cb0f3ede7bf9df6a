//! The HTTP client for the node's local target.

use crate::ingress::{ATTEMPT_HEADER, DEADLINE_HEADER, DEPTH_HEADER};
use fulmarreel_http::{
    Body, Connection, Error as HttpError, Request, StreamedResponse, message::concerns_connection,
};
use fulmarreel_wire::call::{Header, Open};
use smol::{Timer, future::or};
use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a call to the target was not answered.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request cannot be expressed in HTTP; nothing was sent.
    #[error("malformed request: {0}")]
    Malformed(String),
    /// No connection could be opened; nothing was sent.
    #[error("connect to target {target}: {source}")]
    Connect {
        /// The target's address.
        target: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// No valid head of a response arrived, and the target may have run the call.
    #[error("target {0}")]
    Exchange(HttpError),
    /// The target had not answered long after the deadline.
    #[error("no answer long after the deadline")]
    Abandoned,
}

/// The target's response; its body is still to be read.
#[derive(Debug)]
pub struct Response {
    /// What arrived ahead of the body.
    pub head: Head,
    /// The body; reading fails if the target ends it early.
    pub body: Body,
}

/// What arrived of a response ahead of its body.
#[derive(Debug)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Headers that travel end to end.
    pub headers: Vec<Header>,
    /// Length of the body in bytes, if the target sent one.
    pub length: Option<u64>,
    /// Time from sending the request until the head of the response arrived.
    pub elapsed: Duration,
}

/// The HTTP client for the node's local target.
///
/// Each call has a connection of its own: a target's responses bear no id, so on a connection that
/// carried an earlier call, a late copy of its response could not be told from the own one. A
/// request whose head was written is never sent again, so each call reaches the target at most once.
#[derive(Debug)]
pub struct Client {
    target: SocketAddr,
    /// The value of `Host` where the caller's request has none.
    host: String,
}

impl Client {
    /// Creates a client for the target at that address.
    pub fn new(target: SocketAddr) -> Self {
        let host = target.to_string();
        Self { target, host }
    }

    /// Sends a call to the target and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The request is malformed, the target cannot be reached, or no valid head of a response arrives.
    pub async fn call(
        &self,
        open: Open,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let connection = self.open().await?;
        let request = self.encode(&open, &body, deadline)?;
        drop(body);
        let started = Instant::now();
        match connection.stream(&open.method, request).await {
            Ok(response) => Ok(Response::new(response, started.elapsed())),
            Err(HttpError::Stale { .. }) => {
                Err(self.not_connected(io::ErrorKind::ConnectionReset.into()))
            }
            Err(error) => Err(Error::Exchange(error)),
        }
    }

    async fn open(&self) -> Result<Connection, Error> {
        let opened = or(Connection::open(self.target), async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        });
        opened.await.map_err(|source| self.not_connected(source))
    }

    fn not_connected(&self, source: io::Error) -> Error {
        let target = self.target;
        Error::Connect { target, source }
    }

    /// The request of a call; fails if a part of it would not be read as what it is.
    fn encode(&self, open: &Open, body: &[u8], deadline: Instant) -> Result<Vec<u8>, Error> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = remaining.as_millis().to_string();
        let attempt = open.attempt.to_string();
        let depth = open.depth.saturating_add(1).to_string();
        let mut headers: Vec<(&str, &[u8])> = open
            .headers
            .iter()
            .map(|header| (header.name.as_str(), header.value.as_slice()))
            .collect();
        if open.header("host").is_none() {
            headers.push(("Host", self.host.as_bytes()));
        }
        headers.push(("Connection", b"close"));
        headers.push((DEADLINE_HEADER, remaining_ms.as_bytes()));
        headers.push((ATTEMPT_HEADER, attempt.as_bytes()));
        headers.push((DEPTH_HEADER, depth.as_bytes()));
        let request = Request {
            method: &open.method,
            target: &open.path,
            headers: &headers,
            body,
        };
        if !request.is_valid() {
            return Err(Error::Malformed(format!("{} {}", open.method, open.path)));
        }
        Ok(request.encode())
    }
}

impl Response {
    fn new(response: StreamedResponse, elapsed: Duration) -> Self {
        let headers = response.headers.into_iter();
        let headers = headers.filter(|header| !concerns_connection(&header.name));
        let headers = headers.map(|header| Header {
            name: header.name,
            value: header.value,
        });
        let head = Head {
            status: response.status,
            headers: headers.collect(),
            length: response.length.map(|bytes| bytes as u64),
            elapsed,
        };
        let body = response.body;
        Self { head, body }
    }
}
