//! Status codes that the HTTP library does not list.
//!
//! The library writes the status codes of its own list only. A response with another one is written with
//! [`LISTED`], and the transport replaces the code in the status line. Reason phrases mean nothing, so the
//! one that takes the place of the library's is of the same length: lengths of writes stay as they are.

use std::sync::{
    Arc,
    atomic::{AtomicU16, Ordering},
};
use trillium::Status;

/// The status with which the library writes a response whose own status it does not list.
pub const LISTED: Status = Status::InternalServerError;

/// What follows the version in the library's status line.
const LISTED_LINE_END: &[u8] = b" 500 Internal Server Error\r\n";

/// The reason phrase in place of the library's.
const REASON: &str = "As the target said it";

/// Bytes of the version, `HTTP/1.1`.
const VERSION_BYTES: usize = 8;

/// The status code of the next response, if the library does not list it.
#[derive(Debug, Default, Clone)]
pub struct UnlistedStatus(Arc<AtomicU16>);

impl UnlistedStatus {
    /// Sets the status code of the next response, which is written with [`LISTED`].
    pub fn set(&self, code: u16) {
        self.0.store(code, Ordering::Release);
    }
}

/// Replaces the code in the status lines of responses with an unlisted one.
#[derive(Debug, Default)]
pub struct StatusLine {
    unlisted: UnlistedStatus,
    /// What is still to be written of the current replaced line.
    rest: Vec<u8>,
}

impl StatusLine {
    /// Where the status codes of responses are set.
    pub fn unlisted(&self) -> UnlistedStatus {
        self.unlisted.clone()
    }

    /// What is to be written in place of `bytes`, of the same length; `None` if that is `bytes`. The bytes
    /// that have been written are to be told to [`Self::advance`].
    pub fn replace(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        if self.rest.is_empty() {
            self.begin(bytes)?;
        }
        let count = self.rest.len().min(bytes.len());
        let mut replaced = bytes.to_vec();
        replaced[..count].copy_from_slice(&self.rest[..count]);
        Some(replaced)
    }

    /// Records that a number of bytes was written.
    pub fn advance(&mut self, written: usize) {
        self.rest.drain(..written.min(self.rest.len()));
    }

    /// Begins a line if `bytes` are the head of a response whose status is set.
    fn begin(&mut self, bytes: &[u8]) -> Option<()> {
        let code = self.unlisted.0.load(Ordering::Acquire);
        let line_end = bytes.get(VERSION_BYTES..)?;
        if code == 0 || !line_end.starts_with(LISTED_LINE_END) {
            return None;
        }
        self.unlisted.set(0);
        self.rest = bytes[..VERSION_BYTES].to_vec();
        let replacement = format!(" {code:03} {REASON}\r\n");
        self.rest.extend_from_slice(replacement.as_bytes());
        Some(())
    }
}
