//! One connection to a server.

use crate::{
    message::{Header, Request, Response},
    quota::{self, Quota},
    reader::Reader,
};
use smol::{
    future::{self, FutureExt},
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::{Duration, Instant},
};

/// Probes without an answer after which a host counts as silent.
const PROBES: u32 = 2;

/// Why an exchange brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection was closed or had unexpected bytes before anything was written.
    #[error("{peer}: the connection was no longer usable, nothing was sent")]
    Stale {
        /// The server.
        peer: SocketAddr,
    },
    /// The connection failed after the first byte was written.
    #[error("{peer}: {source}")]
    Lost {
        /// The server.
        peer: SocketAddr,
        /// What it failed with.
        source: io::Error,
    },
    /// What arrived is no answer.
    #[error("{peer}: malformed answer: {reason}")]
    Malformed {
        /// The server.
        peer: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// More arrived than may be held.
    #[error("{peer}: {source}")]
    NoRoom {
        /// The server.
        peer: SocketAddr,
        /// Which bound it would pass.
        source: quota::Error,
    },
}

/// One connection to a server; dropped, it is closed.
#[derive(Debug)]
pub struct Connection {
    tcp: TcpStream,
    peer: SocketAddr,
    buffer: Vec<u8>,
    /// When the last exchange ended.
    idle_since: Instant,
    reusable: bool,
    /// Bytes received, of this connection and of others that count into the same.
    received: Arc<AtomicU64>,
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
            tcp,
            peer,
            buffer: Vec::new(),
            idle_since: Instant::now(),
            reusable: true,
            received: Arc::default(),
        })
    }

    /// Adds the bytes that are received from here on to `received`.
    pub fn count_into(&mut self, received: Arc<AtomicU64>) {
        self.received = received;
    }

    /// Has the connection fail where the server's host is silent for about `limit`, also while
    /// nothing is sent. Several probes are sent in that time.
    ///
    /// # Errors
    ///
    /// The option cannot be set.
    pub fn detect_silence(&self, limit: Duration) -> io::Result<()> {
        let interval = (limit / (PROBES + 1)).max(Duration::from_secs(1));
        let keepalive = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(PROBES);
        SockRef::from(&self.tcp).set_tcp_keepalive(&keepalive)
    }

    /// Whether the last answer was whole and leaves the connection open.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Whether the server has neither closed the connection nor sent what nobody asked for; told at
    /// once.
    pub fn is_quiet(&mut self) -> bool {
        !future::block_on(self.has_ended())
    }

    /// When the last exchange ended.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Sends a request and reads the answer to it; an answer that `is_answer` refuses belongs to
    /// another request and is passed over. All bytes that arrive count towards the quota until the
    /// exchange ends.
    ///
    /// # Errors
    ///
    /// No whole answer arrived; only [`Error::Stale`] proves that nothing was sent.
    pub async fn exchange(
        &mut self,
        request: &Request<'_>,
        is_answer: impl Fn(u16, &[Header]) -> bool,
        quota: &Quota,
    ) -> Result<Response, Error> {
        if !self.reusable || self.has_ended().await {
            self.reusable = false;
            return Err(Error::Stale { peer: self.peer });
        }
        self.reusable = false;
        let bytes = request.encode();
        let mut writer = self.tcp.clone();
        let write = async {
            // An answer may come before the request was taken in; the reader finds a broken
            // connection by itself.
            let written = writer.write_all(&bytes).await.is_ok();
            if written {
                return true;
            }
            future::pending().await
        };
        let mut write = std::pin::pin!(write);
        let mut written = false;
        let (response, keep) = {
            let received = &*self.received;
            let mut reader =
                Reader::new(&mut self.tcp, self.peer, &mut self.buffer, quota, received);
            let mut read = std::pin::pin!(reader.own_answer(request.method, is_answer));
            loop {
                if written {
                    break read.as_mut().await?;
                }
                let answered = async { Some(read.as_mut().await) };
                let sent = async {
                    written = write.as_mut().await;
                    None
                };
                if let Some(answer) = answered.or(sent).await {
                    break answer?;
                }
            }
        };
        self.reusable = keep && written && self.buffer.is_empty();
        self.idle_since = Instant::now();
        Ok(response)
    }

    /// Whether the server closed the connection or sent what nobody asked for.
    async fn has_ended(&mut self) -> bool {
        let mut byte = [0; 1];
        let read = async { Some(self.tcp.read(&mut byte).await) };
        read.or(async { None }).await.is_some()
    }
}
