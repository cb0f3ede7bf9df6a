//! Requests count as in flight until their responses are delivered: a stopping node waits for them.

use futures_lite::{AsyncRead, io::Cursor};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};
use trillium::Body;

/// A body of at most this size is handed to the system at once.
const MAX_UNTRACKED_BYTES: usize = 65_536;

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard(Arc<AtomicUsize>);

/// A body whose request is in flight until the HTTP library has written it.
struct TrackedBody {
    bytes: Cursor<Vec<u8>>,
    _in_flight: InFlightGuard,
}

impl InFlightGuard {
    /// Counts a request in `in_flight`.
    pub fn new(in_flight: &Arc<AtomicUsize>) -> Self {
        in_flight.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(in_flight))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.bytes).poll_read(cx, buffer)
    }
}

/// The body of a response; a long one keeps its request in flight until it is written.
pub(super) fn body(bytes: Vec<u8>, in_flight: impl FnOnce() -> InFlightGuard) -> Body {
    if bytes.len() <= MAX_UNTRACKED_BYTES {
        return bytes.into();
    }
    let length = bytes.len() as u64;
    let tracked = TrackedBody {
        bytes: Cursor::new(bytes),
        _in_flight: in_flight(),
    };
    Body::new_streaming(tracked, Some(length))
}
