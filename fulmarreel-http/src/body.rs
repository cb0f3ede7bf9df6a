//! Body framing: length and chunked transfer coding.

use crate::message::{Header, find};

/// The longest chunk-size line, extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The longest trailer section.
const MAX_TRAILER_BYTES: usize = 65_536;

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// By its number of bytes.
    Known(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Why a body cannot be delimited.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Conflicting lengths, a length together with a transfer coding, or a length that is not a
    /// number.
    #[error("the body's length is ambiguous")]
    AmbiguousLength,
    /// A transfer coding other than `chunked`.
    #[error("unknown transfer coding")]
    UnknownCoding,
    /// An invalid chunk size, or a chunk without its line end.
    #[error("malformed chunk")]
    MalformedChunk,
    /// A trailer section over the limit.
    #[error("a long trailer")]
    TrailerTooLong,
}

impl BodyLength {
    /// Determines how the body of a response to a request with `method` is delimited.
    ///
    /// # Errors
    ///
    /// The headers are contradictory or not understood.
    pub fn from_headers(method: &str, status: u16, headers: &[Header]) -> Result<Self, Error> {
        if method == "HEAD" || matches!(status, 204 | 304) {
            return Ok(Self::Known(0));
        }
        let lengths: Vec<&[u8]> = headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("content-length"))
            .map(|header| header.value.as_slice())
            .collect();
        if let Some(coding) = find(headers, "transfer-encoding") {
            if !lengths.is_empty() {
                return Err(Error::AmbiguousLength);
            }
            return if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                Ok(Self::Chunked)
            } else {
                Err(Error::UnknownCoding)
            };
        }
        match lengths.as_slice() {
            [] => Ok(Self::UntilClose),
            [first, rest @ ..] if rest.iter().all(|other| other == first) => {
                let text =
                    std::str::from_utf8(first.trim_ascii()).map_err(|_| Error::AmbiguousLength)?;
                text.parse()
                    .map(Self::Known)
                    .map_err(|_| Error::AmbiguousLength)
            }
            _ => Err(Error::AmbiguousLength),
        }
    }
}

/// Decodes a chunked body incrementally.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    /// Bytes of the current chunk still to come, its line end included.
    remaining: usize,
    /// Whether the last chunk was seen, so that the trailer section follows.
    in_trailer: bool,
    /// Bytes of the trailer section so far.
    trailer_bytes: usize,
}

impl ChunkDecoder {
    /// Decodes the bytes in `buffer` and appends them to `body`; true once the body is complete.
    ///
    /// # Errors
    ///
    /// The bytes violate the chunked coding.
    pub fn decode(&mut self, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<bool, Error> {
        let mut consumed = 0;
        let is_complete = loop {
            let rest = &buffer[consumed..];
            if self.remaining > 2 {
                let copied = rest.len().min(self.remaining - 2);
                body.extend_from_slice(&rest[..copied]);
                self.remaining -= copied;
                consumed += copied;
                if self.remaining > 2 {
                    break false;
                }
                continue;
            }
            if self.remaining > 0 {
                if rest.len() < 2 {
                    break false;
                }
                if &rest[..2] != b"\r\n" {
                    return Err(Error::MalformedChunk);
                }
                consumed += 2;
                self.remaining = 0;
                continue;
            }
            let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
                if rest.len() > MAX_CHUNK_LINE_BYTES {
                    return Err(Error::MalformedChunk);
                }
                break false;
            };
            let line = &rest[..end];
            consumed += end + 2;
            if self.in_trailer {
                if line.is_empty() {
                    break true;
                }
                self.trailer_bytes += end + 2;
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(Error::TrailerTooLong);
                }
                continue;
            }
            match parse_chunk_size(line)? {
                0 => self.in_trailer = true,
                size => self.remaining = size + 2,
            }
        };
        buffer.drain(..consumed);
        Ok(is_complete)
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<usize, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| Error::MalformedChunk)?;
    let size = usize::from_str_radix(text, 16).map_err(|_| Error::MalformedChunk)?;
    size.checked_add(2)
        .map(|_| size)
        .ok_or(Error::MalformedChunk)
}
