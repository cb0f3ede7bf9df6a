//! The HTTP client to the node's own target.

mod dialer;

use crate::ingress::{ATTEMPT_HEADER, DEADLINE_HEADER, DEPTH_HEADER};
use dialer::Dialer;
use fulmarreel_http::message::concerns_connection;
use fulmarreel_wire::call::{Header, Open};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use trillium_client::{Method, ResponseBody};

/// Why a call to the target has no answer.
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
    /// The connection failed before the answer's head, and the target may have run the call.
    #[error("target {target}: {source}")]
    Exchange {
        /// The target's address.
        target: SocketAddr,
        /// The HTTP library's error.
        source: trillium_client::Error,
    },
    /// The target did not answer long after the deadline.
    #[error("no answer long after the deadline")]
    Abandoned,
}

/// Status and headers of the target's answer, and its body to read.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that travel end to end.
    pub headers: Vec<Header>,
    /// Length of the body in bytes where the target stated one.
    pub length: Option<u64>,
    /// Time from hand-over to the head.
    pub elapsed: Duration,
    /// The body; reading fails where the target cuts it.
    pub body: Option<ResponseBody<'static>>,
}

/// The HTTP client to the node's own target.
///
/// The library takes an idle connection only if it is open and takes the whole head; where a
/// write fails before that, the target has no whole request and the next connection is tried. It
/// never repeats a request whose head was written, so a call is handed over once at most.
#[derive(Debug)]
pub struct Client {
    target: SocketAddr,
    http: trillium_client::Client,
}

impl Client {
    /// A client to the target at that address.
    pub fn new(target: SocketAddr) -> Self {
        let http = trillium_client::Client::new(Dialer::default());
        Self { target, http }
    }

    /// Hands a call over and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The target cannot be reached, or its answer was cut.
    pub async fn call(
        &self,
        open: Open,
        body: Vec<u8>,
        deadline: Instant,
    ) -> Result<Answer, Error> {
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
        let bodiless = method == Method::Head || matches!(status, 204 | 304);
        Ok(Answer {
            status,
            headers: headers_of(conn.response_headers()),
            length: if bodiless {
                Some(0)
            } else {
                conn.response_headers().content_length()
            },
            elapsed: started.elapsed(),
            body: conn.take_response_body(),
        })
    }
}

fn headers_of(headers: &trillium::Headers) -> Vec<Header> {
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
