//! A connection to a server.

use crate::{
    body::BodyLength,
    message::{Header, Request, Response},
    quota::{self, Quota},
    reader::{HEAD_QUOTA_BYTES, Reader},
    socket::Socket,
    stream::{Body, StreamedResponse},
};
use smol::{
    future::{self, FutureExt},
    net::TcpStream,
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

/// Unanswered TCP keepalive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Why an exchange returned no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection was closed, or unsolicited bytes arrived on it, before anything was written.
    #[error("{peer}: the connection was no longer usable, nothing was sent")]
    Stale {
        /// The server.
        peer: SocketAddr,
    },
    /// The connection failed after the first byte was written.
    #[error("{peer}: {source}")]
    ConnectionLost {
        /// The server.
        peer: SocketAddr,
        /// Why it failed.
        source: io::Error,
    },
    /// The received bytes are not a valid response.
    #[error("{peer}: malformed response: {reason}")]
    Malformed {
        /// The server.
        peer: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// The response exceeds the quota.
    #[error("{peer}: {source}")]
    QuotaExceeded {
        /// The server.
        peer: SocketAddr,
        /// The limit that it would exceed.
        source: quota::Error,
    },
}

/// A connection to a server, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    socket: Socket,
    peer: SocketAddr,
    buffer: Vec<u8>,
    /// When the last exchange ended, or when the connection was opened.
    idle_since: Instant,
    reusable: bool,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The server cannot be reached.
    pub async fn open(peer: SocketAddr) -> io::Result<Self> {
        let tcp = TcpStream::connect(peer).await?;
        tcp.set_nodelay(true)?;
        Ok(Self {
            socket: Socket::new(tcp),
            peer,
            buffer: Vec::new(),
            idle_since: Instant::now(),
            reusable: true,
        })
    }

    /// Counts the bytes received from now on in `received_bytes`, which several connections may share.
    pub fn set_received_counter(&mut self, received_bytes: Arc<AtomicU64>) {
        self.socket.set_received_counter(received_bytes);
    }

    /// Sets up TCP keepalive so that the connection fails once the server's host has not responded
    /// for about `timeout`, also while nothing is sent. Several probes are sent in that time.
    ///
    /// # Errors
    ///
    /// The option cannot be set.
    pub fn set_keepalive(&self, timeout: Duration) -> io::Result<()> {
        let interval = (timeout / (KEEPALIVE_PROBES + 1)).max(Duration::from_secs(1));
        let keepalive = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(KEEPALIVE_PROBES);
        SockRef::from(self.socket.tcp()).set_tcp_keepalive(&keepalive)
    }

    /// Whether the connection can carry another exchange: the last response was complete and left it
    /// open.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Whether the server has neither closed the connection nor sent unsolicited bytes; does not
    /// block.
    pub fn is_not_stale(&mut self) -> bool {
        !future::block_on(self.is_readable())
    }

    /// When the last exchange ended, or when the connection was opened.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Sends a request and reads the response to it. A response that `is_own_response` rejects
    /// belongs to another request and is skipped. All received bytes count towards `quota` until
    /// the exchange ends.
    ///
    /// # Errors
    ///
    /// No complete response arrived; only [`Error::Stale`] proves that nothing was sent.
    pub async fn exchange(
        &mut self,
        request: &Request<'_>,
        is_own_response: impl Fn(u16, &[Header]) -> bool,
        quota: &Quota,
    ) -> Result<Response, Error> {
        if !self.reusable || self.is_readable().await {
            self.reusable = false;
            return Err(Error::Stale { peer: self.peer });
        }
        self.reusable = false;
        self.socket.set_request(request.encode());
        let (response, keep_alive) = {
            let mut reader = Reader::new(&mut self.socket, self.peer, &mut self.buffer, quota);
            let read = reader.read_own_response(request.method, is_own_response);
            read.await?
        };
        let is_written = self.socket.is_request_written();
        self.reusable = keep_alive && is_written && self.buffer.is_empty();
        self.idle_since = Instant::now();
        Ok(response)
    }

    /// Sends `request`, encoded by [`Request::encode`], and reads the head of the response to it, whose
    /// body is read afterwards. The connection carries no other request.
    ///
    /// # Errors
    ///
    /// No head of a response arrived; only [`Error::Stale`] proves that nothing was sent.
    pub async fn stream(
        mut self,
        method: &str,
        request: Vec<u8>,
    ) -> Result<StreamedResponse, Error> {
        if !self.reusable || self.is_readable().await {
            return Err(Error::Stale { peer: self.peer });
        }
        self.socket.set_request(request);
        let (head, length) = {
            let quota = Quota::for_one_exchange(HEAD_QUOTA_BYTES);
            let mut reader = Reader::new(&mut self.socket, self.peer, &mut self.buffer, &quota);
            reader.read_final_head(method).await?
        };
        Ok(StreamedResponse {
            status: head.status,
            headers: head.headers,
            length: match length {
                BodyLength::Known(bytes) => Some(bytes),
                BodyLength::Chunked | BodyLength::UntilClose => None,
            },
            body: Body::new(self.socket, self.buffer, length),
        })
    }

    /// Whether the server has closed the connection or sent unsolicited bytes; does not wait.
    async fn is_readable(&mut self) -> bool {
        let mut byte = [0; 1];
        let read = async { Some(self.socket.read(&mut byte).await) };
        read.or(async { None }).await.is_some()
    }
}
