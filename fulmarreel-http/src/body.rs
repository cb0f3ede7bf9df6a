//! How long an answer's body is, and its transfer coding.

use crate::message::{Header, find};

/// The longest line that announces a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// The longest trailer, in bytes.
const MAX_TRAILER: usize = 65_536;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Length {
    /// It has this many bytes.
    Known(usize),
    /// It comes in chunks.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// Why a body's length cannot be told.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two lengths, a length beside chunks, or no number.
    #[error("the body's length is ambiguous")]
    Ambiguous,
    /// A transfer coding other than chunks.
    #[error("unknown transfer coding")]
    Coding,
    /// What stands before a chunk is no length.
    #[error("malformed chunk")]
    Chunk,
    /// What follows the last chunk is too long.
    #[error("a long trailer")]
    Trailer,
}

impl Length {
    /// The length of the answer to a request of that method.
    ///
    /// # Errors
    ///
    /// The headers contradict one another.
    pub fn of(method: &str, status: u16, headers: &[Header]) -> Result<Self, Error> {
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
                return Err(Error::Ambiguous);
            }
            return if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                Ok(Self::Chunked)
            } else {
                Err(Error::Coding)
            };
        }
        match lengths.as_slice() {
            [] => Ok(Self::UntilClose),
            [first, rest @ ..] if rest.iter().all(|other| other == first) => {
                let text = std::str::from_utf8(first.trim_ascii()).map_err(|_| Error::Ambiguous)?;
                text.parse().map(Self::Known).map_err(|_| Error::Ambiguous)
            }
            _ => Err(Error::Ambiguous),
        }
    }
}

/// Takes a chunked body apart.
#[derive(Debug, Default)]
pub struct Chunks {
    /// Bytes that are missing of the present chunk, its line end included.
    missing: usize,
    /// Whether the last chunk was seen, and its trailer follows.
    trailing: bool,
    /// Bytes of the trailer so far.
    trailer: usize,
}

impl Chunks {
    /// Moves what has arrived from `buffer` to `body`; true once the body is whole.
    ///
    /// # Errors
    ///
    /// The bytes are no chunks.
    pub fn take(&mut self, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> Result<bool, Error> {
        let mut at = 0;
        let ended = loop {
            let rest = &buffer[at..];
            if self.missing > 2 {
                let taken = rest.len().min(self.missing - 2);
                body.extend_from_slice(&rest[..taken]);
                self.missing -= taken;
                at += taken;
                if self.missing > 2 {
                    break false;
                }
                continue;
            }
            if self.missing > 0 {
                if rest.len() < 2 {
                    break false;
                }
                if &rest[..2] != b"\r\n" {
                    return Err(Error::Chunk);
                }
                at += 2;
                self.missing = 0;
                continue;
            }
            let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
                if rest.len() > MAX_CHUNK_LINE {
                    return Err(Error::Chunk);
                }
                break false;
            };
            let line = &rest[..end];
            at += end + 2;
            if self.trailing {
                if line.is_empty() {
                    break true;
                }
                self.trailer += end + 2;
                if self.trailer > MAX_TRAILER {
                    return Err(Error::Trailer);
                }
                continue;
            }
            match size(line)? {
                0 => self.trailing = true,
                size => self.missing = size + 2,
            }
        };
        buffer.drain(..at);
        Ok(ended)
    }
}

fn size(line: &[u8]) -> Result<usize, Error> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| Error::Chunk)?;
    let size = usize::from_str_radix(text, 16).map_err(|_| Error::Chunk)?;
    size.checked_add(2).map(|_| size).ok_or(Error::Chunk)
}
