//! The HTTP client for the node's local target.

mod dialer;

use crate::ingress::{ATTEMPT_HEADER, DEADLINE_HEADER, DEPTH_HEADER};
use dialer::Dialer;
use fulmarreel_http::message::concerns_connection;
use fulmarreel_wire::call::{Header, Open};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use trillium_client::{KnownHeaderName, Method, ResponseBody};

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
        /// The HTTP library's error.
        source: trillium_client::Error,
    },
    /// The connection failed before the head of the response arrived, and the target may have run the
    /// call.
    #[error("target {target}: {source}")]
    Exchange {
        /// The target's address.
        target: SocketAddr,
        /// The HTTP library's error.
        source: trillium_client::Error,
    },
    /// The target had not answered long after the deadline.
    #[error("no answer long after the deadline")]
    Abandoned,
}

/// The target's response; its body is still to be read.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers that travel end to end.
    pub headers: Vec<Header>,
    /// Length of the body in bytes, if the target sent one.
    pub length: Option<u64>,
    /// Time from sending the request until the head of the response arrived.
    pub elapsed: Duration,
    /// The body; reading fails if the target ends it early.
    pub body: Option<ResponseBody<'static>>,
}

/// The HTTP client for the node's local target.
///
/// Each call has a connection of its own: a target's responses bear no id, so on a connection that
/// carried an earlier call, a late copy of its response could not be told from the own one. A
/// request whose head was written is never sent again, so each call reaches the target at most once.
#[derive(Debug)]
pub struct Client {
    target: SocketAddr,
    http: trillium_client::Client,
}

impl Client {
    /// Creates a client for the target at that address.
    pub fn new(target: SocketAddr) -> Self {
        let http = trillium_client::Client::new(Dialer::default());
        Self { target, http }
    }

    /// Sends a call to the target and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The request is malformed, the target cannot be reached, or the connection fails before the
    /// head of the response.
    pub async fn call(
        &self,
        open: Open,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let method: Method = open
            .method
            .parse()
            .map_err(|_| Error::Malformed(open.method.clone()))?;
        let url = format!("http://{}{}", self.target, open.path);
        let mut conn = self.http.build_conn(method, url).with_body(body);
        let headers = conn.request_headers_mut();
        for header in open.headers {
            headers.append(header.name, header.value);
        }
        headers.insert(KnownHeaderName::Connection, "close");
        let remaining = deadline.saturating_duration_since(Instant::now());
        headers.insert(DEADLINE_HEADER, remaining.as_millis().to_string());
        headers.insert(ATTEMPT_HEADER, open.attempt.to_string());
        headers.insert(DEPTH_HEADER, open.depth.saturating_add(1).to_string());
        let started = Instant::now();
        if let Err(source) = (&mut conn).await {
            let target = self.target;
            return Err(if dialer::is_unsent(&source) {
                Error::Connect { target, source }
            } else {
                Error::Exchange { target, source }
            });
        }
        let status = conn.status().map_or(502, |status| status as u16);
        let has_no_body = method == Method::Head || matches!(status, 204 | 304);
        Ok(Response {
            status,
            headers: end_to_end(conn.response_headers()),
            length: if has_no_body {
                Some(0)
            } else {
                conn.response_headers().content_length()
            },
            elapsed: started.elapsed(),
            body: conn.take_response_body(),
        })
    }
}

/// The headers that travel end to end.
fn end_to_end(headers: &trillium::Headers) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !concerns_connection(name.as_ref()))
        .flat_map(|(name, values)| {
            values.iter().map(move |value| Header {
                name: name.to_string(),
                value: AsRef::<[u8]>::as_ref(value).to_vec(),
            })
        })
        .collect()
}
