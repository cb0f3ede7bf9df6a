//! A socket on which a request is written while its response is read.

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    future::poll_fn,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

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
}

impl Socket {
    pub fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            request: Vec::new(),
            written: 0,
            write_failure: None,
        }
    }

    pub fn tcp(&self) -> &TcpStream {
        &self.tcp
    }

    /// Sets the request that reads write on the way.
    pub fn set_request(&mut self, request: Vec<u8>) {
        self.request = request;
        self.written = 0;
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

    /// As [`Self::read`].
    pub fn poll_read(
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
