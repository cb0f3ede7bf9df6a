//! One request of a caller.

use super::SERVICE_HEADER;
use crate::transport::Watcher;
use fulmarreel_http::message::concerns_connection;
use fulmarreel_wire::call::Header;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use trillium::{Conn, Headers};
use xxhash_rust::xxh3::xxh3_64;

/// Time left to the caller's deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-fulmarreel-deadline-ms";

/// How many targets a call was sent to before, in this layer or one above.
pub const ATTEMPT_HEADER: &str = "x-fulmarreel-attempt";

/// How many calls led to this one.
pub const DEPTH_HEADER: &str = "x-fulmarreel-depth";

/// Names a call that its caller may repeat, and that is to run once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The longest chain of calls; a longer one is a loop.
const MAX_DEPTH: u8 = 32;

/// The longest time that a caller may allow.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Headers that the next hop gets with values of its own.
const OWN_HEADERS: [&str; 3] = [DEADLINE_HEADER, ATTEMPT_HEADER, DEPTH_HEADER];

/// Why a request is not routed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// Neither the header nor the host names a service.
    #[error("the call names no service")]
    NoService,
    /// The caller stopped sending, or sent too much.
    #[error("the request body is incomplete or longer than {limit} bytes")]
    Body {
        /// The largest body that is accepted.
        limit: u64,
    },
    /// A number is none.
    #[error("header {name}: a number is expected")]
    Number {
        /// The header.
        name: &'static str,
    },
    /// The chain of calls is too long.
    #[error("the call is {depth} calls deep, at most {MAX_DEPTH} are accepted")]
    Depth {
        /// The caller's depth.
        depth: u8,
    },
}

/// One request of a caller, read whole.
#[derive(Debug)]
pub(super) struct Request {
    pub service: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
    pub attempt: u8,
    pub depth: u8,
    pub idempotency_key: Option<String>,
    pub deadline: Instant,
    /// Spreads calls over versions; equal for calls of one idempotency key.
    pub hash: u64,
    arrived: Instant,
    remaining: Option<Duration>,
}

impl Request {
    /// Reads a request to its end; its body may have `limit` bytes.
    pub async fn read(conn: &mut Conn, watcher: &Watcher, limit: u64) -> Result<Self, Error> {
        let arrived = Instant::now();
        let headers = conn.request_headers();
        let service = service(conn).ok_or(Error::NoService)?;
        let remaining = number(headers, DEADLINE_HEADER)?.map(Duration::from_millis);
        let attempt = number(headers, ATTEMPT_HEADER)?.unwrap_or(0);
        let depth = number(headers, DEPTH_HEADER)?.unwrap_or(0);
        let depth = u8::try_from(depth).unwrap_or(u8::MAX);
        if depth > MAX_DEPTH {
            return Err(Error::Depth { depth });
        }
        let idempotency_key = headers.get_str(IDEMPOTENCY_HEADER).map(str::to_owned);
        let hash = match &idempotency_key {
            Some(key) => xxh3_64(key.as_bytes()),
            None => fastrand::u64(..),
        };
        let headers = end_to_end(headers);
        let body = watcher.read_body(conn, limit).await;
        let body = body.map_err(|_| Error::Body { limit })?;
        Ok(Self {
            service,
            method: conn.method().as_str(),
            path: conn.path_and_query().to_owned(),
            headers,
            body,
            attempt: u8::try_from(attempt).unwrap_or(u8::MAX),
            depth,
            idempotency_key,
            deadline: arrived,
            hash,
            arrived,
            remaining,
        })
    }

    /// Sets the deadline: the caller's own, else by the route's timeout.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        let allowed = self.remaining.unwrap_or(timeout).min(MAX_TIMEOUT);
        Self {
            deadline: self.arrived + allowed,
            ..self
        }
    }

    /// Time since it arrived.
    pub fn elapsed(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Whether the deadline has passed.
    pub fn is_late(&self) -> bool {
        Instant::now() >= self.deadline
    }
}

/// The headers that travel end to end.
fn end_to_end(headers: &Headers) -> Vec<Header> {
    let mut kept = Vec::with_capacity(headers.len());
    for (name, values) in headers {
        let name: &str = name.as_ref();
        if concerns_connection(name) || OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own))
        {
            continue;
        }
        kept.extend(values.iter().map(|value| Header {
            name: name.to_owned(),
            value: AsRef::<[u8]>::as_ref(value).to_vec(),
        }));
    }
    kept
}

fn service(conn: &Conn) -> Option<String> {
    let named = conn.request_headers().get_str(SERVICE_HEADER);
    // A host that is an IP number names no service.
    let host = conn
        .host()
        .filter(|host| host.parse::<SocketAddr>().is_err())
        .and_then(|host| host.split(['.', ':']).next());
    named.or(host).map(str::to_owned)
}

fn number(headers: &Headers, name: &'static str) -> Result<Option<u64>, Error> {
    let Some(text) = headers.get_str(name) else {
        return Ok(None);
    };
    text.trim()
        .parse()
        .map(Some)
        .map_err(|_| Error::Number { name })
}
