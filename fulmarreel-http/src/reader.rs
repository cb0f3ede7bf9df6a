//! Reads the answers to one request.

use crate::{
    body::{self, Chunks, Length},
    connection::Error,
    message::{Header, Response},
    quota::{Quota, Reservation},
};
use smol::{future, io::AsyncReadExt, net::TcpStream};
use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

/// The most headers of an answer.
const MAX_HEADERS: usize = 64;

/// The most bytes of an answer's head and of the interim heads before it.
const MAX_HEAD_BYTES: usize = 65_536;

/// Answers to other requests that are passed over.
const MAX_PASSED_OVER: usize = 16;

/// Bytes that are read at once.
const READ_BYTES: usize = 16_384;

/// Bytes after which other tasks get their turn, also where more have arrived.
const BYTES_PER_TURN: usize = 65_536;

/// Reads the answers to one request.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    pub tcp: &'a mut TcpStream,
    pub peer: SocketAddr,
    /// What was read and not taken apart.
    pub buffer: &'a mut Vec<u8>,
    reservation: Reservation<'a>,
    /// Bytes received so far.
    received: &'a AtomicU64,
    /// Bytes that were read since other tasks last got their turn.
    turn: usize,
}

/// The head of an answer.
struct Head {
    status: u16,
    headers: Vec<Header>,
    http_11: bool,
}

impl<'a> Reader<'a> {
    pub fn new(
        tcp: &'a mut TcpStream,
        peer: SocketAddr,
        buffer: &'a mut Vec<u8>,
        quota: &'a Quota,
        received: &'a AtomicU64,
    ) -> Self {
        Self {
            tcp,
            peer,
            buffer,
            reservation: quota.reserve(),
            received,
            turn: 0,
        }
    }

    /// Reads answers up to the one that `is_answer` takes; whether the connection can be used after
    /// it.
    pub async fn own_answer(
        &mut self,
        method: &str,
        is_answer: impl Fn(u16, &[Header]) -> bool,
    ) -> Result<(Response, bool), Error> {
        for _ in 0..=MAX_PASSED_OVER {
            let (response, keep) = self.answer(method).await?;
            if is_answer(response.status, &response.headers) {
                return Ok((response, keep));
            }
            if !keep {
                break;
            }
        }
        Err(self.malformed("an answer to another request"))
    }

    /// Reads one answer; whether the connection can be used after it.
    async fn answer(&mut self, method: &str) -> Result<(Response, bool), Error> {
        let head = self.final_head().await?;
        let length = Length::of(method, head.status, &head.headers)
            .map_err(|error| self.malformed(&error.to_string()))?;
        let body = match length {
            Length::Known(bytes) => self.known(bytes).await?,
            Length::Chunked => self.chunked().await?,
            Length::UntilClose => self.until_close().await?,
        };
        let closes = head.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("connection")
                && header.value.trim_ascii().eq_ignore_ascii_case(b"close")
        });
        let keep = head.http_11 && !closes && length != Length::UntilClose;
        let response = Response {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((response, keep))
    }

    /// Reads the head of a final answer; interim ones are followed by it.
    async fn final_head(&mut self) -> Result<Head, Error> {
        let mut left = MAX_HEAD_BYTES;
        loop {
            let (head, bytes) = self.head(left).await?;
            if head.status >= 200 {
                return Ok(head);
            }
            left = left.saturating_sub(bytes);
        }
    }

    /// Reads a head of at most about `limit` bytes, and how many it has.
    async fn head(&mut self, limit: usize) -> Result<(Head, usize), Error> {
        loop {
            if !self.buffer.is_empty() {
                let mut parsed = [httparse::EMPTY_HEADER; MAX_HEADERS];
                let mut head = httparse::Response::new(&mut parsed);
                match head.parse(self.buffer) {
                    Ok(httparse::Status::Complete(bytes)) if bytes <= limit => {
                        let headers = head.headers.iter().map(|header| Header {
                            name: header.name.to_owned(),
                            value: header.value.to_vec(),
                        });
                        let head = Head {
                            status: head.code.unwrap_or(0),
                            headers: headers.collect(),
                            http_11: head.version == Some(1),
                        };
                        self.buffer.drain(..bytes);
                        return Ok((head, bytes));
                    }
                    Ok(httparse::Status::Partial) if self.buffer.len() <= limit => {}
                    Ok(_) => return Err(self.malformed("a long head")),
                    Err(error) => return Err(self.malformed(&error.to_string())),
                }
            }
            self.read_more().await?;
        }
    }

    async fn known(&mut self, bytes: usize) -> Result<Vec<u8>, Error> {
        let checked = self.reservation.check(bytes);
        checked.map_err(|source| self.no_room(source))?;
        while self.buffer.len() < bytes {
            self.read_more().await?;
        }
        let rest = self.buffer.split_off(bytes);
        Ok(std::mem::replace(self.buffer, rest))
    }

    async fn chunked(&mut self) -> Result<Vec<u8>, Error> {
        let mut chunks = Chunks::default();
        let mut body = Vec::new();
        loop {
            let ended = chunks
                .take(self.buffer, &mut body)
                .map_err(|error: body::Error| self.malformed(&error.to_string()))?;
            if ended {
                return Ok(body);
            }
            self.read_more().await?;
        }
    }

    async fn until_close(&mut self) -> Result<Vec<u8>, Error> {
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

    async fn read(&mut self) -> Result<usize, Error> {
        if self.turn >= BYTES_PER_TURN {
            self.turn = 0;
            future::yield_now().await;
        }
        let start = self.buffer.len();
        self.buffer.resize(start + READ_BYTES, 0);
        let read = self.tcp.read(&mut self.buffer[start..]).await;
        let count = *read.as_ref().unwrap_or(&0);
        self.buffer.truncate(start + count);
        self.turn += count;
        self.received.fetch_add(count as u64, Ordering::Relaxed);
        let extended = self.reservation.extend(count);
        extended.map_err(|source| self.no_room(source))?;
        read.map_err(|source| self.lost(source))
    }

    fn lost(&self, source: io::Error) -> Error {
        let peer = self.peer;
        Error::Lost { peer, source }
    }

    fn no_room(&self, source: crate::quota::Error) -> Error {
        let peer = self.peer;
        Error::NoRoom { peer, source }
    }

    fn malformed(&self, reason: &str) -> Error {
        Error::Malformed {
            peer: self.peer,
            reason: reason.to_owned(),
        }
    }
}
