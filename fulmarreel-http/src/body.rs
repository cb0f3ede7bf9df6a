//! Body framing: length and chunked transfer coding.

use crate::{field, message::Header};

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
    /// A line of the trailer section that is no field.
    #[error("malformed trailer")]
    MalformedTrailer,
    /// A trailer section over the limit.
    #[error("a long trailer")]
    TrailerTooLong,
}

impl BodyLength {
    /// Determines how the body of a response to a request with `method` is delimited (RFC 9112, section
    /// 6.3). Fields that are invalid are an error also where there is no body.
    ///
    /// # Errors
    ///
    /// The headers are contradictory or not understood.
    pub fn from_headers(
        method: &str,
        status: u16,
        is_http_11: bool,
        headers: &[Header],
    ) -> Result<Self, Error> {
        let length = content_length(headers)?;
        let is_chunked = is_chunked(headers)?;
        // HTTP/1.0 has no transfer codings: the sender may not know what it forwards.
        if is_chunked && (length.is_some() || !is_http_11) {
            return Err(Error::AmbiguousLength);
        }
        if method == "HEAD" || matches!(status, 204 | 304) {
            return Ok(Self::Known(0));
        }
        if is_chunked {
            return Ok(Self::Chunked);
        }
        Ok(length.map_or(Self::UntilClose, Self::Known))
    }
}

/// The value of `Content-Length`, if there is one; it may be repeated.
fn content_length(headers: &[Header]) -> Result<Option<usize>, Error> {
    let mut values = values(headers, "content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|other| other != first) {
        return Err(Error::AmbiguousLength);
    }
    let length = parse_number(first, 10).ok_or(Error::AmbiguousLength)?;
    Ok(Some(length))
}

/// Whether the body has the chunked coding, the only one that the client can undo.
fn is_chunked(headers: &[Header]) -> Result<bool, Error> {
    let mut values = values(headers, "transfer-encoding");
    match (values.next(), values.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Error::UnknownCoding),
    }
}

/// The values of a header, without the blanks around them.
fn values<'a>(headers: &'a [Header], name: &str) -> impl Iterator<Item = &'a [u8]> {
    headers
        .iter()
        .filter(move |header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value.trim_ascii())
}

/// Parses an unsigned number without a sign, which the standard library would accept.
fn parse_number(digits: &[u8], radix: u32) -> Option<usize> {
    let is_digit = |byte: &u8| char::from(*byte).is_digit(radix);
    if !digits.iter().all(is_digit) {
        return None;
    }
    let text = std::str::from_utf8(digits).ok()?;
    usize::from_str_radix(text, radix).ok()
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
                if self.in_trailer && self.trailer_bytes + rest.len() > MAX_TRAILER_BYTES {
                    return Err(Error::TrailerTooLong);
                }
                if !self.in_trailer && rest.len() > MAX_CHUNK_LINE_BYTES {
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
                if !field::is_line(line) {
                    return Err(Error::MalformedTrailer);
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

/// Parses the line ahead of a chunk: its size, and extensions, which are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<usize, Error> {
    let is_digit = |byte: &u8| byte.is_ascii_hexdigit();
    let end = line.iter().position(|byte| !is_digit(byte));
    let (digits, rest) = line.split_at(end.unwrap_or(line.len()));
    let is_extension = rest.trim_ascii_start().starts_with(b";") && field::is_text(rest);
    if !rest.is_empty() && !is_extension {
        return Err(Error::MalformedChunk);
    }
    let size = parse_number(digits, 16).ok_or(Error::MalformedChunk)?;
    size.checked_add(2)
        .map(|_| size)
        .ok_or(Error::MalformedChunk)
}
