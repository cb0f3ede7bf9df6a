//! HTTP exchanges with the gateway, over connections that are kept for later calls.

use fulmarreel_http::{Connection, Error as HttpError, Quota, Request, Response, StreamedResponse};
use smol::net::resolve;
use std::{
    io,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The longest response that is read: a listing of a few hundred values of maximum size.
const MAX_RESPONSE_BYTES: usize = 268_435_456;

/// The most idle connections that are kept for later calls.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened; nothing was sent.
    #[error("not connected: {0}")]
    NotConnected(io::Error),
    /// The exchange failed, and the call may have taken effect.
    #[error(transparent)]
    Exchange(HttpError),
}

/// Calls the gateway at any of its addresses.
#[derive(Debug, Default)]
pub struct Transport {
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    peer: String,
    connection: Connection,
    expires: Instant,
}

impl Transport {
    /// Sends a call and reads the whole response.
    ///
    /// # Errors
    ///
    /// There is no whole response.
    pub async fn call(&self, peer: &str, path: &str, body: &str) -> Result<Response, Error> {
        let quota = Quota::for_one_exchange(MAX_RESPONSE_BYTES);
        let headers = headers(peer);
        let request = request(path, &headers, body);
        while let Some(mut connection) = self.take_idle(peer) {
            match connection.exchange(&request, |_, _| true, &quota).await {
                // The store closed it while it was idle, and nothing was sent.
                Err(HttpError::Stale { .. }) => {}
                result => return self.finish(peer, connection, result),
            }
        }
        let mut connection = open(peer).await?;
        let result = connection.exchange(&request, |_, _| true, &quota).await;
        self.finish(peer, connection, result)
    }

    /// Sends a call and reads the head of the response.
    ///
    /// # Errors
    ///
    /// There is no valid head of a response.
    pub async fn stream(
        &self,
        peer: &str,
        path: &str,
        body: &str,
    ) -> Result<StreamedResponse, Error> {
        let headers = headers(peer);
        let request = request(path, &headers, body);
        let connection = open(peer).await?;
        let streamed = connection.stream(request.method, request.encode()).await;
        streamed.map_err(Error::from)
    }

    /// Keeps the connection of an exchange that has ended.
    fn finish(
        &self,
        peer: &str,
        connection: Connection,
        result: Result<Response, HttpError>,
    ) -> Result<Response, Error> {
        let response = result?;
        let mut idle = self.idle.lock().expect("idle lock");
        if connection.is_reusable() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                peer: peer.to_owned(),
                connection,
                expires: Instant::now() + IDLE_TIMEOUT,
            });
        }
        Ok(response)
    }

    fn take_idle(&self, peer: &str) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("idle lock");
        idle.retain(|idle| idle.expires > now);
        let position = idle.iter().rposition(|idle| idle.peer == peer)?;
        Some(idle.remove(position).connection)
    }
}

impl From<HttpError> for Error {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Stale { .. } => Self::NotConnected(io::ErrorKind::ConnectionReset.into()),
            error => Self::Exchange(error),
        }
    }
}

fn headers(peer: &str) -> [(&str, &[u8]); 2] {
    [
        ("Host", peer.as_bytes()),
        ("Content-Type", b"application/json"),
    ]
}

fn request<'a>(path: &'a str, headers: &'a [(&'a str, &'a [u8])], body: &'a str) -> Request<'a> {
    Request {
        method: "POST",
        target: path,
        headers,
        body: body.as_bytes(),
    }
}

/// Opens a connection to the first address of `peer`, a host and a port, that accepts one.
async fn open(peer: &str) -> Result<Connection, Error> {
    let mut last_error = io::ErrorKind::AddrNotAvailable.into();
    for address in resolve(peer).await.map_err(Error::NotConnected)? {
        match Connection::open(address).await {
            Ok(connection) => return Ok(connection),
            Err(error) => last_error = error,
        }
    }
    Err(Error::NotConnected(last_error))
}
