//! Reads responses from a connection.

use crate::{
    body::{self, BodyLength, ChunkDecoder},
    connection::Error,
    message::{Header, Response},
    quota::{Quota, Reservation},
    socket::{READ_BYTES, Socket},
};
use std::{future::poll_fn, io, net::SocketAddr, ops::RangeInclusive};

/// The most headers of a response.
const MAX_HEADERS: usize = 64;

/// The most bytes of a response's head together with the interim (1xx) heads before it.
const MAX_HEAD_BYTES: usize = 65_536;

/// A quota within which the longest head can be read, by whole reads.
pub(crate) const HEAD_QUOTA_BYTES: usize = MAX_HEAD_BYTES + 2 * READ_BYTES;

/// The HTTP statuses; the parser accepts any three digits, and one below would pass for an interim
/// response.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// The status of a response that changes the protocol, for which no request asks.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Responses to other requests that are skipped before the exchange fails.
const MAX_SKIPPED_RESPONSES: usize = 16;

/// Reads the responses of one exchange.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    pub socket: &'a mut Socket,
    pub peer: SocketAddr,
    /// Bytes received that are not yet parsed.
    pub buffer: &'a mut Vec<u8>,
    reservation: Reservation<'a>,
}

/// The head of a response.
pub(crate) struct Head {
    pub status: u16,
    pub headers: Vec<Header>,
    is_http_11: bool,
}

impl<'a> Reader<'a> {
    pub fn new(
        socket: &'a mut Socket,
        peer: SocketAddr,
        buffer: &'a mut Vec<u8>,
        quota: &'a Quota,
    ) -> Self {
        Self {
            socket,
            peer,
            buffer,
            reservation: quota.reserve(),
        }
    }

    /// Skips responses until `is_own_response` accepts one; returns it and whether the connection can
    /// be used after it.
    pub async fn read_own_response(
        &mut self,
        method: &str,
        is_own_response: impl Fn(u16, &[Header]) -> bool,
    ) -> Result<(Response, bool), Error> {
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let (response, keep_alive) = self.read_response(method).await?;
            if is_own_response(response.status, &response.headers) {
                return Ok((response, keep_alive));
            }
            if !keep_alive {
                break;
            }
        }
        Err(self.malformed("an answer to another request"))
    }

    /// Reads one response; returns it and whether the connection can be used after it.
    async fn read_response(&mut self, method: &str) -> Result<(Response, bool), Error> {
        let (head, length) = self.read_final_head(method).await?;
        let body = match length {
            BodyLength::Known(bytes) => self.read_known_length(bytes).await?,
            BodyLength::Chunked => self.read_chunked().await?,
            BodyLength::UntilClose => self.read_until_close().await?,
        };
        let server_closes = head.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("connection")
                && header.value.trim_ascii().eq_ignore_ascii_case(b"close")
        });
        let keep_alive = head.is_http_11 && !server_closes && length != BodyLength::UntilClose;
        let response = Response {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((response, keep_alive))
    }

    /// Skips interim (1xx) responses and reads the head of the final one; returns it and how its body is
    /// delimited.
    pub async fn read_final_head(&mut self, method: &str) -> Result<(Head, BodyLength), Error> {
        let mut remaining_bytes = MAX_HEAD_BYTES;
        loop {
            let (head, bytes) = self.read_head(remaining_bytes).await?;
            if head.status >= 200 {
                let (status, is_http_11) = (head.status, head.is_http_11);
                let length = BodyLength::from_headers(method, status, is_http_11, &head.headers)
                    .map_err(|error| self.malformed(&error.to_string()))?;
                return Ok((head, length));
            }
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
        }
    }

    /// Reads a head; returns it and its size in bytes.
    ///
    /// Fails if the head is longer than `limit_bytes`; what has been read by then can exceed the limit
    /// by up to one read.
    async fn read_head(&mut self, limit_bytes: usize) -> Result<(Head, usize), Error> {
        loop {
            if self.buffer.starts_with(b"\r") || self.buffer.starts_with(b"\n") {
                // The parser would skip empty lines.
                return Err(self.malformed("an empty line"));
            }
            if !self.buffer.is_empty() {
                let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
                let mut head = httparse::Response::new(&mut header_slots);
                match head.parse(self.buffer) {
                    Ok(httparse::Status::Complete(bytes)) if bytes <= limit_bytes => {
                        let status = head.code.unwrap_or(0);
                        if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
                            return Err(self.malformed(&format!("status {status:03}")));
                        }
                        let headers = head.headers.iter().map(|header| Header {
                            name: header.name.to_owned(),
                            value: header.value.to_vec(),
                        });
                        let head = Head {
                            status,
                            headers: headers.collect(),
                            is_http_11: head.version == Some(1),
                        };
                        self.buffer.drain(..bytes);
                        return Ok((head, bytes));
                    }
                    Ok(httparse::Status::Partial) if self.buffer.len() <= limit_bytes => {}
                    Ok(_) => return Err(self.malformed("a long head")),
                    Err(error) => return Err(self.malformed(&error.to_string())),
                }
            }
            self.read_more().await?;
        }
    }

    async fn read_known_length(&mut self, bytes: usize) -> Result<Vec<u8>, Error> {
        let checked = self.reservation.check(bytes);
        checked.map_err(|source| self.quota_exceeded(source))?;
        while self.buffer.len() < bytes {
            self.read_more().await?;
        }
        let rest = self.buffer.split_off(bytes);
        Ok(std::mem::replace(self.buffer, rest))
    }

    async fn read_chunked(&mut self) -> Result<Vec<u8>, Error> {
        let mut decoder = ChunkDecoder::default();
        let mut body = Vec::new();
        loop {
            let is_complete = decoder
                .decode(self.buffer, &mut body)
                .map_err(|error: body::Error| self.malformed(&error.to_string()))?;
            if is_complete {
                return Ok(body);
            }
            self.read_more().await?;
        }
    }

    async fn read_until_close(&mut self) -> Result<Vec<u8>, Error> {
        while self.read().await? > 0 {}
        Ok(std::mem::take(self.buffer))
    }

    /// Reads at least one byte.
    async fn read_more(&mut self) -> Result<(), Error> {
        if self.read().await? == 0 {
            return Err(self.lost(io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(())
    }

    /// Reads once; 0 bytes at the end of the connection.
    async fn read(&mut self) -> Result<usize, Error> {
        let received = poll_fn(|context| self.socket.poll_receive(context, self.buffer));
        let count = received.await.map_err(|source| self.lost(source))?;
        let extended = self.reservation.extend(count);
        extended.map_err(|source| self.quota_exceeded(source))?;
        Ok(count)
    }

    fn lost(&self, source: io::Error) -> Error {
        let peer = self.peer;
        Error::ConnectionLost { peer, source }
    }

    fn quota_exceeded(&self, source: crate::quota::Error) -> Error {
        let peer = self.peer;
        Error::QuotaExceeded { peer, source }
    }

    fn malformed(&self, reason: &str) -> Error {
        Error::Malformed {
            peer: self.peer,
            reason: reason.to_owned(),
        }
    }
}
