//! The own target's endpoint over HTTP.

use fulmarreel_http::{Connection, Error as HttpError, Quota, Request, Response};
use fulmarreel_platform::request;
use fulmarreel_wire::call::Open;
use smol::{Timer, future::or};
use std::{
    io,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after its deadline a request's answer is still taken.
const LATE: Duration = Duration::from_millis(100);

/// How long an idle connection is kept where the target does not say.
const IDLE: Duration = Duration::from_secs(3);

/// The part of the target's own limit for which an idle connection is kept.
const IDLE_PART: f64 = 0.7;

/// Connections that are kept.
const MAX_IDLE: usize = 64;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("connect to target {target}: {source}")]
    Unreachable {
        /// The target's endpoint.
        target: SocketAddr,
        /// What it failed with.
        source: io::Error,
    },
    /// The exchange failed, and the target may have run the request.
    #[error("target {0}")]
    Lost(#[from] HttpError),
    /// The target did not answer by the deadline.
    #[error("target {target}: no answer by the deadline")]
    Deadline {
        /// The target's endpoint.
        target: SocketAddr,
    },
}

/// The own target's endpoint.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    /// What the target's answers may hold while they are read.
    quota: Quota,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

impl Endpoint {
    /// The endpoint at that address, whose answers may hold what the quota allows.
    pub fn new(address: SocketAddr, quota: Quota) -> Self {
        Self {
            address,
            quota,
            idle: Mutex::default(),
        }
    }

    /// Hands a request over to the target that is named `expected`, and reads its whole answer.
    /// Dropped before its end, it closes the connection, which ends the target's work.
    ///
    /// # Errors
    ///
    /// There is no whole answer; only [`Error::Unreachable`] proves that nothing was sent.
    pub async fn call(
        &self,
        open: &Open,
        body: &[u8],
        expected: &str,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let id = open
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(request::ID))
            .map(|header| header.value.as_slice());
        let target = self.address;
        loop {
            let (mut connection, reused) = match self.take_idle() {
                Some(connection) => (connection, true),
                None => (self.open().await?, false),
            };
            let left = deadline.saturating_duration_since(Instant::now());
            let left_ms = left.as_millis().to_string();
            let mut headers: Vec<(&str, &[u8])> = open
                .headers
                .iter()
                .map(|header| (header.name.as_str(), header.value.as_slice()))
                .collect();
            headers.push((request::DEADLINE, left_ms.as_bytes()));
            headers.push((request::EXPECTED_TARGET, expected.as_bytes()));
            let message = Request {
                method: &open.method,
                target: &open.path,
                headers: &headers,
                body,
            };
            // A late answer to an earlier request may stand before the own one.
            let is_own = |_, answered: &[fulmarreel_http::Header]| {
                let answered = fulmarreel_http::message::find(answered, request::ID);
                answered.is_none() || id.is_none() || answered == id
            };
            let exchanged = or(
                async {
                    connection
                        .exchange(&message, is_own, &self.quota)
                        .await
                        .map_err(Error::Lost)
                },
                async {
                    Timer::at(deadline + LATE).await;
                    Err(Error::Deadline { target })
                },
            );
            match exchanged.await {
                Err(Error::Lost(HttpError::Stale { .. })) if reused => continue,
                Err(Error::Lost(HttpError::Stale { .. })) => {
                    let source = io::ErrorKind::ConnectionReset.into();
                    return Err(Error::Unreachable { target, source });
                }
                Err(error) => return Err(error),
                Ok(response) => {
                    self.keep(connection, &response);
                    return Ok(response);
                }
            }
        }
    }

    /// Whether the target with that id takes requests, by its own word.
    ///
    /// # Errors
    ///
    /// It does not answer.
    pub async fn accepts_requests(&self, path: &str, id: &str) -> Result<bool, Error> {
        let target = self.address;
        let mut connection = self.open().await?;
        let host = target.to_string();
        let question = Request {
            method: "GET",
            target: path,
            headers: &[("Host", host.as_bytes())],
            body: &[],
        };
        let asked = async {
            let exchange = connection.exchange(&question, |_, _| true, &self.quota);
            let response = exchange.await?;
            Ok(response)
        };
        let response = or(asked, async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(Error::Deadline { target })
        })
        .await?;
        let own = request::answering_target(&response.headers) == Some(id);
        let well = response.status == 200 && own;
        self.keep(connection, &response);
        Ok(well)
    }

    /// Closes connections that have been idle for too long, and those on which the target sends what
    /// nobody asked for.
    pub fn close_unusable(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("idle lock");
        idle.retain_mut(|idle| idle.until > now && idle.connection.is_quiet());
    }

    /// Closes idle connections; the target behind them may have changed.
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

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("idle lock");
        idle.retain(|idle| idle.until > now);
        idle.pop().map(|idle| idle.connection)
    }

    fn keep(&self, connection: Connection, response: &Response) {
        if !connection.is_reusable() {
            return;
        }
        let limit = request::idle_limit(&response.headers);
        let limit = limit.map_or(IDLE, |limit| limit.mul_f64(IDLE_PART));
        let until = Instant::now() + limit;
        let mut idle = self.idle.lock().expect("idle lock");
        if idle.len() < MAX_IDLE {
            idle.push(Idle { connection, until });
        }
    }
}
