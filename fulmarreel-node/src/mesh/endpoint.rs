//! The HTTP client for this node's own target.
//!
//! A target may send a response once more, late, on a connection that another request uses by then.
//! Responses therefore belong to a request only if they bear its id, and connections are reused only
//! where the target repeats ids.

use fulmarreel_http::{
    Connection, Error as HttpError, Header, Quota, Request, Response, message::find,
};
use fulmarreel_platform::request;
use fulmarreel_wire::call::Open;
use smol::{Timer, future::or};
use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after its deadline a request's response is still accepted.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// How long an idle connection is kept if the target does not tell its own idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The fraction of the target's own idle timeout for which an idle connection is kept.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// The most idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The number of ids that a connection carried last and does not carry again.
const REMEMBERED_IDS: usize = 32;

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("connect to target {target}: {source}")]
    Unreachable {
        /// The target's endpoint.
        target: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The exchange failed, and the target may have run the request.
    #[error("target {0}")]
    Lost(#[from] HttpError),
    /// The target did not respond by the deadline.
    #[error("target {target}: no answer by the deadline")]
    Deadline {
        /// The target's endpoint.
        target: SocketAddr,
    },
}

/// The HTTP client for this node's own target.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    /// Limits the memory that responses take up while they are read.
    quota: Quota,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection that has carried requests, all of whose responses bore their ids.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    carried: CarriedIds,
    /// When it is closed if it is still idle.
    expires: Instant,
}

/// Hashes of the ids of the requests that a connection carried last.
#[derive(Debug, Default)]
struct CarriedIds(VecDeque<u64>);

impl CarriedIds {
    fn add(&mut self, id: u64) {
        if self.0.len() == REMEMBERED_IDS {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}

impl Endpoint {
    /// Creates the client for the target at `address`; `quota` limits the memory that responses take up
    /// while they are read.
    pub fn new(address: SocketAddr, quota: Quota) -> Self {
        Self {
            address,
            quota,
            idle: Mutex::default(),
        }
    }

    /// Sends a request to the target with the id `expected_id`, and reads its whole response. If the
    /// future is dropped before, the connection is closed, which makes the target cancel the request.
    ///
    /// # Errors
    ///
    /// There is no whole response; only [`Error::Unreachable`] proves that nothing was sent.
    pub async fn call(
        &self,
        open: &Open,
        body: &[u8],
        expected_id: &str,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let mut headers = open.headers.iter();
        let request_id = headers
            .find(|header| header.name.eq_ignore_ascii_case(request::REQUEST_ID))
            .map(|header| header.value.as_slice());
        let id_hash = request_id.map(xxh3_64);
        loop {
            let idle = id_hash.and_then(|id| self.take_idle(id));
            let is_reused = idle.is_some();
            let (mut connection, mut carried) = match idle {
                Some(idle) => (idle.connection, idle.carried),
                None => (self.open().await?, CarriedIds::default()),
            };
            let is_own_response = |_, headers: &[Header]| {
                match (find(headers, request::REQUEST_ID), request_id) {
                    (Some(response_id), Some(request_id)) => response_id == request_id,
                    // The first response on a connection cannot belong to an earlier request.
                    _ => !is_reused,
                }
            };
            let left = deadline.saturating_duration_since(Instant::now());
            let left_ms = left.as_millis().to_string();
            let mut headers: Vec<(&str, &[u8])> = open
                .headers
                .iter()
                .map(|header| (header.name.as_str(), header.value.as_slice()))
                .collect();
            headers.push((request::DEADLINE_MS, left_ms.as_bytes()));
            headers.push((request::EXPECTED_TARGET, expected_id.as_bytes()));
            let message = Request {
                method: &open.method,
                target: &open.path,
                headers: &headers,
                body,
            };
            let exchange = connection.exchange(&message, is_own_response, &self.quota);
            match self.until_deadline(exchange, deadline).await {
                Err(Error::Lost(HttpError::Stale { .. })) if is_reused => continue,
                Err(Error::Lost(HttpError::Stale { .. })) => {
                    let (target, source) = (self.address, io::ErrorKind::ConnectionReset.into());
                    return Err(Error::Unreachable { target, source });
                }
                Err(error) => return Err(error),
                Ok(response) => {
                    let bears_id = find(&response.headers, request::REQUEST_ID) == request_id;
                    if let Some(id) = id_hash.filter(|_| bears_id) {
                        carried.add(id);
                        self.keep(connection, carried, &response);
                    }
                    return Ok(response);
                }
            }
        }
    }

    /// Awaits an exchange until shortly after its deadline.
    async fn until_deadline(
        &self,
        exchange: impl Future<Output = Result<Response, HttpError>>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let target = self.address;
        or(async { exchange.await.map_err(Error::Lost) }, async {
            Timer::at(deadline + LATE_RESPONSE_GRACE).await;
            Err(Error::Deadline { target })
        })
        .await
    }

    /// The response to the health check at `path`.
    ///
    /// # Errors
    ///
    /// The target does not respond.
    pub async fn check_health(&self, path: &str) -> Result<Response, Error> {
        let target = self.address;
        let mut connection = self.open().await?;
        let host = target.to_string();
        let health_check = Request {
            method: "GET",
            target: path,
            headers: &[("Host", host.as_bytes())],
            body: &[],
        };
        let exchanged = async {
            let exchange = connection.exchange(&health_check, |_, _| true, &self.quota);
            let response = exchange.await?;
            Ok(response)
        };
        or(exchanged, async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(Error::Deadline { target })
        })
        .await
    }

    /// Closes connections that have been idle for too long, and those on which the target sent
    /// unsolicited bytes.
    pub fn close_unusable(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("idle lock");
        idle.retain_mut(|idle| idle.expires > now && idle.connection.is_not_stale());
    }

    /// Closes all idle connections, for when another target may listen at the address.
    pub fn close_idle(&self) {
        self.idle.lock().expect("idle lock").clear();
    }

    async fn open(&self) -> Result<Connection, Error> {
        let target = self.address;
        let opened = or(Connection::open(target), async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        });
        let unreachable = |source| Error::Unreachable { target, source };
        opened.await.map_err(unreachable)
    }

    /// An idle connection that has not carried a request with this id lately.
    fn take_idle(&self, id: u64) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("idle lock");
        idle.retain(|idle| idle.expires > now);
        let is_usable = |idle: &IdleConnection| !idle.carried.0.contains(&id);
        let position = idle.iter().rposition(is_usable)?;
        Some(idle.remove(position))
    }

    /// Keeps a connection for reuse after a response, if it can be reused.
    fn keep(&self, connection: Connection, carried: CarriedIds, response: &Response) {
        if !connection.is_reusable() {
            return;
        }
        let timeout = request::keep_alive_timeout(&response.headers);
        let timeout = timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
        });
        let expires = Instant::now() + timeout;
        let mut idle = self.idle.lock().expect("idle lock");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                connection,
                carried,
                expires,
            });
        }
    }
}
