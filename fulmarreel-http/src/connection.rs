//! One connection to a server.

use crate::{
    body::{self, Chunks, Length},
    message::{Header, Request, Response},
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
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// The most headers of an answer.
const MAX_HEADERS: usize = 64;

/// The longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;

/// The longest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 67_108_864;

/// Bytes that are read at once.
const READ_BYTES: usize = 16_384;

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

    /// When the last exchange ended.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Sends a request and reads the answer to it; an answer that `is_answer` refuses belongs to
    /// another request and is passed over.
    ///
    /// # Errors
    ///
    /// No whole answer arrived; only [`Error::Stale`] proves that nothing was sent.
    pub async fn exchange(
        &mut self,
        request: &Request<'_>,
        is_answer: impl Fn(u16, &[Header]) -> bool,
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
            let mut read = std::pin::pin!(self.own_answer(request.method, is_answer));
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

    /// Reads answers up to the one to the present request.
    async fn own_answer(
        &mut self,
        method: &str,
        is_answer: impl Fn(u16, &[Header]) -> bool,
    ) -> Result<(Response, bool), Error> {
        loop {
            let (response, keep) = self.answer(method).await?;
            if is_answer(response.status, &response.headers) {
                return Ok((response, keep));
            }
            if !keep {
                return Err(self.malformed("an answer to another request"));
            }
        }
    }

    /// Reads one answer; whether the connection can be used after it.
    async fn answer(&mut self, method: &str) -> Result<(Response, bool), Error> {
        let (status, headers, http_11) = loop {
            let head = self.head().await?;
            // Interim answers are followed by the final one.
            if head.0 >= 200 {
                break head;
            }
        };
        let length = Length::of(method, status, &headers)
            .map_err(|error| self.malformed(&error.to_string()))?;
        let body = match length {
            Length::Known(bytes) => self.known(bytes).await?,
            Length::Chunked => self.chunked().await?,
            Length::UntilClose => self.until_close().await?,
        };
        let closes = headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("connection")
                && header.value.trim_ascii().eq_ignore_ascii_case(b"close")
        });
        let keep = http_11 && !closes && length != Length::UntilClose;
        let response = Response {
            status,
            headers,
            body,
        };
        Ok((response, keep))
    }

    async fn head(&mut self) -> Result<(u16, Vec<Header>, bool), Error> {
        loop {
            if !self.buffer.is_empty() {
                let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
                let mut head = httparse::Response::new(&mut parsed);
                match head.parse(&self.buffer) {
                    Ok(httparse::Status::Complete(bytes)) => {
                        let status = head.code.unwrap_or(0);
                        let headers = head.headers.iter().map(|header| Header {
                            name: header.name.to_owned(),
                            value: header.value.to_vec(),
                        });
                        let headers = headers.collect();
                        let http_11 = head.version == Some(1);
                        self.buffer.drain(..bytes);
                        return Ok((status, headers, http_11));
                    }
                    Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => {}
                    Ok(httparse::Status::Partial) => return Err(self.malformed("a long head")),
                    Err(error) => return Err(self.malformed(&error.to_string())),
                }
            }
            if self.read().await? == 0 {
                return Err(self.lost(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    async fn known(&mut self, bytes: usize) -> Result<Vec<u8>, Error> {
        if bytes > MAX_BODY_BYTES {
            return Err(self.malformed("a body that is too long"));
        }
        while self.buffer.len() < bytes {
            if self.read().await? == 0 {
                return Err(self.lost(io::ErrorKind::UnexpectedEof.into()));
            }
        }
        let rest = self.buffer.split_off(bytes);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn chunked(&mut self) -> Result<Vec<u8>, Error> {
        let mut chunks = Chunks::default();
        let mut body = Vec::new();
        loop {
            let ended = chunks
                .take(&mut self.buffer, &mut body)
                .map_err(|error: body::Error| self.malformed(&error.to_string()))?;
            if ended {
                return Ok(body);
            }
            if body.len() > MAX_BODY_BYTES {
                return Err(self.malformed("a body that is too long"));
            }
            if self.read().await? == 0 {
                return Err(self.lost(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    async fn until_close(&mut self) -> Result<Vec<u8>, Error> {
        while self.read().await? > 0 {
            if self.buffer.len() > MAX_BODY_BYTES {
                return Err(self.malformed("a body that is too long"));
            }
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    async fn read(&mut self) -> Result<usize, Error> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_BYTES, 0);
        let read = self.tcp.read(&mut self.buffer[start..]).await;
        let count = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(start + count);
        self.received.fetch_add(count as u64, Ordering::Relaxed);
        read.map_err(|source| self.lost(source))
    }

    fn lost(&self, source: io::Error) -> Error {
        let peer = self.peer;
        Error::Lost { peer, source }
    }

    fn malformed(&self, reason: &str) -> Error {
        Error::Malformed {
            peer: self.peer,
            reason: reason.to_owned(),
        }
    }
}
