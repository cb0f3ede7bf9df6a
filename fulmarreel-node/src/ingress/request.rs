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

/// How many targets a call was sent to before, by this layer or by one above.
pub const ATTEMPT_HEADER: &str = "x-fulmarreel-attempt";

/// How many calls there are above this one in its chain of calls.
pub const DEPTH_HEADER: &str = "x-fulmarreel-depth";

/// Identifies a call that its caller may repeat but that must run at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// The longest chain of calls; a longer one is taken for a loop.
const MAX_DEPTH: u8 = 32;

/// The longest time allowed for a call; longer ones are shortened to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Headers that are not forwarded, since each hop sets its own values.
const REPLACED_HEADERS: [&str; 3] = [DEADLINE_HEADER, ATTEMPT_HEADER, DEPTH_HEADER];

/// Why a request is rejected before it is routed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// Neither the header nor the host names a service.
    #[error("the call names no service")]
    NoService,
    /// The caller stopped sending or sent too many bytes.
    #[error("the request body is incomplete or longer than {limit} bytes")]
    Body {
        /// The largest body that is accepted.
        limit: u64,
    },
    /// The value of a header is not a number.
    #[error("header {name}: a number is expected")]
    Number {
        /// The header.
        name: &'static str,
    },
    /// The chain of calls is longer than [`MAX_DEPTH`].
    #[error("the call is {depth} calls deep, at most {MAX_DEPTH} are accepted")]
    Depth {
        /// The depth that the request states.
        depth: u8,
    },
}

/// A caller's request with its whole body.
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
    /// Selects the version that runs the call; equal for calls with the same idempotency key.
    pub version_hash: u64,
    arrived: Instant,
    /// Time left to the caller's deadline on arrival, if it set one.
    time_left: Option<Duration>,
}

impl Request {
    /// Reads a request with its body of at most `limit` bytes.
    pub async fn read(conn: &mut Conn, watcher: &Watcher, limit: u64) -> Result<Self, Error> {
        let arrived = Instant::now();
        let headers = conn.request_headers();
        let service = service(conn).ok_or(Error::NoService)?;
        let time_left = number(headers, DEADLINE_HEADER)?.map(Duration::from_millis);
        let attempt = number(headers, ATTEMPT_HEADER)?.unwrap_or(0);
        let depth = number(headers, DEPTH_HEADER)?.unwrap_or(0);
        let depth = u8::try_from(depth).unwrap_or(u8::MAX);
        if depth > MAX_DEPTH {
            return Err(Error::Depth { depth });
        }
        let idempotency_key = headers.get_str(IDEMPOTENCY_HEADER).map(str::to_owned);
        let version_hash = match &idempotency_key {
            Some(key) => xxh3_64(key.as_bytes()),
            None => fastrand::u64(..),
        };
        let headers = forwarded_headers(headers);
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
            version_hash,
            arrived,
            time_left,
        })
    }

    /// Sets the deadline to the caller's own or, without one, by the route's timeout.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        let allowed = self.time_left.unwrap_or(timeout).min(MAX_TIMEOUT);
        Self {
            deadline: self.arrived + allowed,
            ..self
        }
    }

    /// Time since the request arrived.
    pub fn elapsed(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Whether the deadline has passed.
    pub fn is_past_deadline(&self) -> bool {
        Instant::now() >= self.deadline
    }
}

/// The headers to forward: those that travel end to end and that this node does not set itself.
fn forwarded_headers(headers: &Headers) -> Vec<Header> {
    let mut forwarded = Vec::with_capacity(headers.len());
    for (name, values) in headers {
        let name: &str = name.as_ref();
        if concerns_connection(name)
            || REPLACED_HEADERS
                .iter()
                .any(|replaced| name.eq_ignore_ascii_case(replaced))
        {
            continue;
        }
        forwarded.extend(values.iter().map(|value| Header {
            name: name.to_owned(),
            value: AsRef::<[u8]>::as_ref(value).to_vec(),
        }));
    }
    forwarded
}

fn service(conn: &Conn) -> Option<String> {
    let named = conn.request_headers().get_str(SERVICE_HEADER);
    // A host that is an IP address with a port names no service.
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
