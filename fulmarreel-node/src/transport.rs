//! A caller's connection that tells when the caller leaves while its request is served, and bounds what it
//! sends around a body.
//!
//! The HTTP library reads the connection only between requests. While one is served,
//! [`Watcher::while_there`] reads ahead into a bounded buffer, which the library gets first.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use smol::{
    Timer,
    future::{or, yield_now},
    net::TcpStream,
};
use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};
use trillium::Conn;

/// Bytes that are read ahead at most.
const MAX_AHEAD: usize = 65_536;

/// Bytes that are read ahead at once.
const READ_BYTES: usize = 4_096;

/// Bytes that a caller may send for the next bytes of a body: chunk headers, and in the end trailers, which
/// the HTTP library keeps without a bound and scans anew with each read.
const MAX_FRAMING_BYTES: u64 = 65_536;

/// Bytes of a body that are read at once.
const BODY_READ_BYTES: usize = 16_384;

/// What was read ahead.
type Ahead = Arc<Mutex<VecDeque<u8>>>;

/// A caller's connection.
#[derive(Debug)]
pub struct Transport<I> {
    tcp: TcpStream,
    ahead: Ahead,
    /// Bytes that may still be read for now.
    allowance: Arc<AtomicU64>,
    /// How long the connection may be idle, as of now.
    idle: I,
    /// When a byte was read or written last.
    active: Instant,
    timer: Timer,
}

/// Bounds what the caller sends, and tells when it leaves.
#[derive(Debug, Clone)]
pub struct Watcher {
    tcp: TcpStream,
    ahead: Ahead,
    allowance: Arc<AtomicU64>,
}

impl<I: Fn() -> Duration> Transport<I> {
    /// A connection that ends after `idle` without a byte of its caller.
    pub fn new(tcp: TcpStream, idle: I) -> Self {
        Self {
            tcp,
            ahead: Ahead::default(),
            allowance: Arc::new(AtomicU64::new(u64::MAX)),
            active: Instant::now(),
            timer: Timer::after(idle()),
            idle,
        }
    }

    /// Notes that the connection is in use.
    fn stay(&mut self) {
        self.active = Instant::now();
        let until = self.active + (self.idle)();
        self.timer.set_at(until);
    }

    /// A watcher of the connection.
    pub fn watcher(&self) -> Watcher {
        Watcher {
            tcp: self.tcp.clone(),
            ahead: Arc::clone(&self.ahead),
            allowance: Arc::clone(&self.allowance),
        }
    }

    /// Moves bytes that were read ahead into a buffer; how many.
    fn take_ahead(&self, buffer: &mut [u8]) -> usize {
        let mut ahead = self.ahead.lock().expect("ahead lock");
        let read = buffer.len().min(ahead.len());
        for (to, from) in buffer.iter_mut().zip(ahead.drain(..read)) {
            *to = from;
        }
        read
    }

    /// How many of so many bytes may be read.
    fn allowed(&self, bytes: usize) -> io::Result<usize> {
        match self.allowance.load(Ordering::Acquire) {
            0 => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes around a body",
            )),
            allowance => Ok(usize::try_from(allowance).map_or(bytes, |allowed| allowed.min(bytes))),
        }
    }

    /// Counts bytes that were read.
    fn spend(&self, bytes: usize) {
        let left = self.allowance.load(Ordering::Acquire);
        if left < u64::MAX {
            let left = left.saturating_sub(bytes as u64);
            self.allowance.store(left, Ordering::Release);
        }
    }
}

impl Watcher {
    /// Works for the caller until it leaves, which is looked at before each step of the work. Not to be
    /// awaited while a request is read.
    pub async fn while_there<W: Future>(&self, work: W) -> Option<W::Output> {
        let left = async {
            self.left().await;
            None
        };
        or(left, async { Some(work.await) }).await
    }

    /// Reads a request's body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// It is longer, is cut, or has too much around it.
    pub async fn read_body(&self, conn: &mut Conn, limit: u64) -> io::Result<Vec<u8>> {
        let mut body = conn.request_body().with_max_len(limit);
        if body.content_length().is_some_and(|length| length > limit) {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let mut bytes = Vec::new();
        loop {
            self.allowance.store(MAX_FRAMING_BYTES, Ordering::Release);
            let have = bytes.len();
            bytes.resize(have + BODY_READ_BYTES, 0);
            let read = body.read(&mut bytes[have..]).await?;
            bytes.truncate(have + read);
            if read == 0 {
                break;
            }
            // A caller that sends without a pause leaves other tasks their turn.
            yield_now().await;
        }
        self.allowance.store(u64::MAX, Ordering::Release);
        Ok(bytes)
    }

    async fn left(&self) {
        let mut tcp = self.tcp.clone();
        let mut bytes = [0; READ_BYTES];
        loop {
            match tcp.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(read) => {
                    let full = {
                        let mut ahead = self.ahead.lock().expect("ahead lock");
                        ahead.extend(&bytes[..read]);
                        ahead.len() >= MAX_AHEAD
                    };
                    if full {
                        // A caller that sends that much is there; it is not watched further.
                        return std::future::pending().await;
                    }
                }
            }
        }
    }
}

impl<I: Fn() -> Duration + Unpin> AsyncRead for Transport<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let allowed = self.allowed(buffer.len())?;
        let buffer = &mut buffer[..allowed];
        let ahead = self.take_ahead(buffer);
        if ahead > 0 {
            self.spend(ahead);
            return Poll::Ready(Ok(ahead));
        }
        if let Poll::Ready(read) = Pin::new(&mut self.tcp).poll_read(cx, buffer) {
            self.stay();
            if let Ok(bytes) = read {
                self.spend(bytes);
            }
            return Poll::Ready(read);
        }
        if Pin::new(&mut self.timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        // The limit may have been raised since the timer was set.
        if self.active + (self.idle)() <= Instant::now() {
            return Poll::Ready(Ok(0));
        }
        let until = self.active + (self.idle)();
        self.timer.set_at(until);
        match Pin::new(&mut self.timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Ok(0)),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<I: Fn() -> Duration + Unpin> AsyncWrite for Transport<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stay();
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}

impl<I: Fn() -> Duration + Send + Sync + Unpin + 'static> trillium::Transport for Transport<I> {}
