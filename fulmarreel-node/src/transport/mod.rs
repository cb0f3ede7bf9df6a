//! A caller's connection that detects when the caller disconnects while its request is served, and
//! limits the bytes that the caller sends as framing of a body.
//!
//! The HTTP library does not read the connection while a request is served, so it does not notice
//! its end. [`Watcher::while_connected`] reads ahead into a bounded buffer meanwhile; the library's
//! next reads are served from that buffer first. Where the library gets heads singly, that buffer
//! begins with the next request.

mod status_line;

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use smol::{
    Timer,
    future::{or, yield_now},
    net::TcpStream,
};
use socket2::SockRef;
use status_line::{StatusLine, UnlistedStatus};
use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};
use trillium::{Conn, Status};

/// Reading ahead stops once this many bytes are buffered.
const MAX_READ_AHEAD_BYTES: usize = 65_536;

/// Bytes per read while reading ahead.
const READ_AHEAD_STEP_BYTES: usize = 4_096;

/// Bytes that a caller may send for each read of a body, which bounds its chunk headers and
/// trailers: the HTTP library buffers trailers without a limit and scans them again with each read.
const MAX_FRAMING_BYTES: u64 = 65_536;

/// Bytes of a body per read.
const BODY_READ_BYTES: usize = 16_384;

/// Bytes that were read ahead of the HTTP library.
type ReadAhead = Arc<Mutex<VecDeque<u8>>>;

/// A caller's connection.
#[derive(Debug)]
pub struct Transport<I> {
    tcp: TcpStream,
    read_ahead: ReadAhead,
    /// Bytes that may still arrive for the current read of a body; `u64::MAX` for no limit.
    allowance: Arc<AtomicU64>,
    /// Whether a body is read; else a head is.
    in_body: Arc<AtomicBool>,
    /// Finds the ends of heads if the library gets them singly.
    head_end: Option<HeadEnd>,
    status_line: StatusLine,
    /// Returns how long the connection may be idle; asked again each time, since it may change.
    idle_timeout: I,
    /// When the connection was last read or written.
    last_active: Instant,
    timer: Timer,
}

/// Finds the ends of heads, which are empty lines. Empty lines ahead of a head do not count.
#[derive(Debug)]
struct HeadEnd {
    /// Whether a body is read, in which there is no end of a head.
    in_body: Arc<AtomicBool>,
    /// Whether a byte of the head was seen.
    has_begun: bool,
    /// How many bytes of the end were last seen.
    matched: usize,
}

impl HeadEnd {
    const BYTES: &[u8] = b"\r\n\r\n";

    fn new(in_body: Arc<AtomicBool>) -> Self {
        Self {
            in_body,
            has_begun: false,
            matched: 0,
        }
    }

    /// The length of `bytes` up to the end of a head that began with them or with earlier bytes.
    fn find<'a>(&mut self, bytes: impl Iterator<Item = &'a u8>) -> Option<usize> {
        if self.in_body.load(Ordering::Acquire) {
            return None;
        }
        for (index, byte) in bytes.enumerate() {
            self.has_begun |= !b"\r\n".contains(byte);
            self.matched = match *byte {
                byte if byte == Self::BYTES[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if self.matched == Self::BYTES.len() {
                self.matched = 0;
                if std::mem::take(&mut self.has_begun) {
                    return Some(index + 1);
                }
            }
        }
        None
    }
}

/// Reads request bodies with a limit on their framing, and detects when the caller disconnects.
#[derive(Debug, Clone)]
pub struct Watcher {
    tcp: TcpStream,
    read_ahead: ReadAhead,
    allowance: Arc<AtomicU64>,
    in_body: Arc<AtomicBool>,
    unlisted_status: UnlistedStatus,
}

impl<I: Fn() -> Duration> Transport<I> {
    /// Wraps a connection that ends after `idle_timeout` without a byte read or written.
    pub fn new(tcp: TcpStream, idle_timeout: I) -> Self {
        Self {
            tcp,
            read_ahead: ReadAhead::default(),
            allowance: Arc::new(AtomicU64::new(u64::MAX)),
            in_body: Arc::default(),
            head_end: None,
            status_line: StatusLine::default(),
            last_active: Instant::now(),
            timer: Timer::after(idle_timeout()),
            idle_timeout,
        }
    }

    /// Restarts the idle timeout.
    fn touch(&mut self) {
        self.last_active = Instant::now();
        let expiry = self.last_active + (self.idle_timeout)();
        self.timer.set_at(expiry);
    }

    /// Returns a watcher of the connection.
    pub fn watcher(&self) -> Watcher {
        Watcher {
            tcp: self.tcp.clone(),
            read_ahead: Arc::clone(&self.read_ahead),
            allowance: Arc::clone(&self.allowance),
            in_body: Arc::clone(&self.in_body),
            unlisted_status: self.status_line.unlisted(),
        }
    }

    /// Has each read end at the end of a head, so that what follows stays in the read-ahead buffer.
    /// Bodies must be read with [`Watcher::read_body`].
    pub fn deliver_heads_singly(&mut self) {
        self.head_end = Some(HeadEnd::new(Arc::clone(&self.in_body)));
    }

    /// Moves bytes that were read ahead into a buffer, up to the end of a head where heads are
    /// delivered singly; returns how many.
    fn take_read_ahead(&mut self, buffer: &mut [u8]) -> usize {
        let mut read_ahead = self.read_ahead.lock().expect("read-ahead lock");
        let most = buffer.len().min(read_ahead.len());
        let head_end = self.head_end.as_mut();
        let end = head_end.and_then(|end| end.find(read_ahead.iter().take(most)));
        let count = end.unwrap_or(most);
        for (to, from) in buffer.iter_mut().zip(read_ahead.drain(..count)) {
            *to = from;
        }
        count
    }

    /// Reads from the connection while nothing is read ahead; where heads are delivered singly, what
    /// follows the end of one goes to the read-ahead buffer.
    fn poll_connection(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.tcp).poll_read(cx, buffer));
        self.touch();
        let bytes = read?;
        let head_end = self.head_end.as_mut();
        let end = head_end.and_then(|end| end.find(buffer[..bytes].iter()));
        let end = end.unwrap_or(bytes);
        let mut read_ahead = self.read_ahead.lock().expect("read-ahead lock");
        read_ahead.extend(&buffer[end..bytes]);
        Poll::Ready(Ok(end))
    }

    /// Limits a read of `bytes` bytes to the allowance.
    ///
    /// # Errors
    ///
    /// The allowance is used up.
    fn limit_read(&self, bytes: usize) -> io::Result<usize> {
        match self.allowance.load(Ordering::Acquire) {
            0 => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes of framing around a body",
            )),
            allowance => Ok(usize::try_from(allowance).map_or(bytes, |allowed| allowed.min(bytes))),
        }
    }

    /// Subtracts bytes that were read from the allowance.
    fn spend_allowance(&self, bytes: usize) {
        let remaining = self.allowance.load(Ordering::Acquire);
        if remaining < u64::MAX {
            let remaining = remaining.saturating_sub(bytes as u64);
            self.allowance.store(remaining, Ordering::Release);
        }
    }
}

impl Watcher {
    /// Awaits `work` until the caller disconnects, which returns `None`; the connection is polled
    /// before `work` each time. Must not be awaited while a request is read, since both read the
    /// connection.
    pub async fn while_connected<W: Future>(&self, work: W) -> Option<W::Output> {
        self.while_connected_reading(work, |_| {}).await
    }

    /// As [`Self::while_connected`]; calls `on_read` with all bytes that were read ahead, at first and
    /// whenever there are more.
    pub async fn while_connected_reading<W: Future>(
        &self,
        work: W,
        on_read: impl FnMut(&[u8]),
    ) -> Option<W::Output> {
        let disconnected = async {
            self.disconnected(on_read).await;
            None
        };
        or(disconnected, async { Some(work.await) }).await
    }

    /// The status that the HTTP library is to be given for the next response, whose status code is `code`:
    /// if the library does not list that, the transport replaces the code in the status line.
    pub fn listed_status(&self, code: u16) -> Status {
        Status::try_from(code).unwrap_or_else(|_| {
            self.unlisted_status.set(code);
            status_line::LISTED
        })
    }

    /// Sets whether the connection is reset, and not closed, when it is dropped.
    pub fn set_reset_on_close(&self, is_reset: bool) {
        let linger = is_reset.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.tcp).set_linger(linger) {
            log::warn!("how a caller's connection ends cannot be set: {error}");
        }
    }

    /// Reads a request's body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// The body is longer, ends early, or has too many bytes of framing.
    pub async fn read_body(&self, conn: &mut Conn, limit: u64) -> io::Result<Vec<u8>> {
        self.in_body.store(true, Ordering::Release);
        let body = self.read_whole_body(conn, limit).await?;
        // After an error the rest of the body may still follow.
        self.in_body.store(false, Ordering::Release);
        Ok(body)
    }

    async fn read_whole_body(&self, conn: &mut Conn, limit: u64) -> io::Result<Vec<u8>> {
        let mut body = conn.request_body().with_max_len(limit);
        if body.content_length().is_some_and(|length| length > limit) {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let mut bytes = Vec::new();
        loop {
            self.allowance.store(MAX_FRAMING_BYTES, Ordering::Release);
            let filled = bytes.len();
            bytes.resize(filled + BODY_READ_BYTES, 0);
            let read = body.read(&mut bytes[filled..]).await?;
            bytes.truncate(filled + read);
            if read == 0 {
                break;
            }
            // Lets other tasks run while a caller sends without a pause.
            yield_now().await;
        }
        self.allowance.store(u64::MAX, Ordering::Release);
        Ok(bytes)
    }

    fn lock_read_ahead(&self) -> MutexGuard<'_, VecDeque<u8>> {
        self.read_ahead.lock().expect("read-ahead lock")
    }

    async fn disconnected(&self, mut on_read: impl FnMut(&[u8])) {
        let mut tcp = self.tcp.clone();
        let mut bytes = [0; READ_AHEAD_STEP_BYTES];
        on_read(self.lock_read_ahead().make_contiguous());
        loop {
            match tcp.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(read) => {
                    let full = {
                        let mut read_ahead = self.lock_read_ahead();
                        read_ahead.extend(&bytes[..read]);
                        on_read(read_ahead.make_contiguous());
                        read_ahead.len() >= MAX_READ_AHEAD_BYTES
                    };
                    if full {
                        // A caller that sends this much is connected; it is not watched further.
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
        let allowed = self.limit_read(buffer.len())?;
        let buffer = &mut buffer[..allowed];
        let read_ahead = self.take_read_ahead(buffer);
        if read_ahead > 0 {
            self.spend_allowance(read_ahead);
            return Poll::Ready(Ok(read_ahead));
        }
        if let Poll::Ready(read) = self.poll_connection(cx, buffer) {
            let bytes = read?;
            self.spend_allowance(bytes);
            return Poll::Ready(Ok(bytes));
        }
        if Pin::new(&mut self.timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        // The idle timeout may have been raised since the timer was set.
        if self.last_active + (self.idle_timeout)() <= Instant::now() {
            return Poll::Ready(Ok(0));
        }
        let expiry = self.last_active + (self.idle_timeout)();
        self.timer.set_at(expiry);
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
        self.touch();
        let Some(replaced) = self.status_line.replace(bytes) else {
            return Pin::new(&mut self.tcp).poll_write(cx, bytes);
        };
        let written = ready!(Pin::new(&mut self.tcp).poll_write(cx, &replaced))?;
        self.status_line.advance(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}

impl<I: Fn() -> Duration + Send + Sync + Unpin + 'static> trillium::Transport for Transport<I> {}
