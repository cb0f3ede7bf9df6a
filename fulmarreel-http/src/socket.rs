//! A socket on which a request is written while its response is read.

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

/// The most bytes of one read.
pub(crate) const READ_BYTES: usize = 16_384;

/// Bytes after which the reader yields to other tasks even if more are available.
const YIELD_AFTER_BYTES: usize = 65_536;

/// A socket on which a request is written while its response is read: a server may respond before it has
/// read the whole request.
#[derive(Debug)]
pub(crate) struct Socket {
    tcp: TcpStream,
    /// The bytes of the request, until all are written.
    request: Vec<u8>,
    /// How many of them have been written.
    written: usize,
    /// Why the rest cannot be written.
    write_failure: Option<io::ErrorKind>,
    /// Counts the bytes received; may be shared with other sockets.
    received_bytes: Arc<AtomicU64>,
    /// Bytes received since the reader last yielded.
    bytes_since_yield: usize,
}

impl Socket {
    pub fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            request: Vec::new(),
            written: 0,
            write_failure: None,
            received_bytes: Arc::default(),
            bytes_since_yield: 0,
        }
    }

    /// Counts the bytes received from now on in `received_bytes`.
    pub fn set_received_counter(&mut self, received_bytes: Arc<AtomicU64>) {
        self.received_bytes = received_bytes;
    }

    pub fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    /// Sets the request that reads write on the way.
    pub fn set_request(&mut self, request: Vec<u8>) {
        self.request = request;
        self.written = 0;
        self.bytes_since_yield = 0;
    }

    /// Whether the request was written completely.
    pub fn is_request_written(&self) -> bool {
        self.request.is_empty()
    }

    /// Reads once; 0 bytes where the server has closed its direction, after all that it sent.
    ///
    /// # Errors
    ///
    /// The connection failed, or the server reset it.
    pub async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        poll_fn(|context| self.poll_read(context, buffer)).await
    }

    /// Reads once and appends what was read to `buffer`; returns its length as [`Self::read`] does.
    pub fn poll_receive(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut Vec<u8>,
    ) -> Poll<io::Result<usize>> {
        if self.bytes_since_yield >= YIELD_AFTER_BYTES {
            self.bytes_since_yield = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let start = buffer.len();
        buffer.resize(start + READ_BYTES, 0);
        let read = self.poll_read(context, &mut buffer[start..]);
        let count = match &read {
            Poll::Ready(Ok(count)) => *count,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        buffer.truncate(start + count);
        self.bytes_since_yield += count;
        self.received_bytes
            .fetch_add(count as u64, Ordering::Relaxed);
        read
    }

    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write(context);
        let read = ready!(Pin::new(&mut self.tcp).poll_read(context, buffer))?;
        if read == 0
            && let Some(failure) = self.failure_without_close()
        {
            return Poll::Ready(Err(failure.into()));
        }
        Poll::Ready(Ok(read))
    }

    /// Writes what the socket takes. A failure does not end the exchange, since the response may have
    /// arrived before.
    fn poll_write(&mut self, context: &mut Context<'_>) {
        while !self.request.is_empty() && self.write_failure.is_none() {
            let rest = &self.request[self.written..];
            match Pin::new(&mut self.tcp).poll_write(context, rest) {
                Poll::Pending => return,
                Poll::Ready(Ok(0)) => self.write_failure = Some(io::ErrorKind::WriteZero),
                Poll::Ready(Ok(count)) => self.written += count,
                Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                Poll::Ready(Err(error)) => self.write_failure = Some(error.kind()),
            }
            if self.written == self.request.len() {
                self.request = Vec::new();
            }
        }
    }

    /// The failure that ended the connection, a reset for example, if a write has met it and the server had
    /// not closed its direction before.
    ///
    /// The system reports such a failure once, to the write or to the read that comes first, and to each
    /// later read an end as if the server had closed the connection. Where the server did close its
    /// direction before the failure, Linux reports a broken pipe to the write, and only then.
    fn failure_without_close(&self) -> Option<io::ErrorKind> {
        self.write_failure
            .filter(|failure| *failure != io::ErrorKind::BrokenPipe)
    }
}
