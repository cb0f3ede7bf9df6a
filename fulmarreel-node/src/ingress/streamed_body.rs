//! The body of a streamed response as a reader for the HTTP library.

use super::exchange::PendingCall;
use crate::{peer::Event, transport::Watcher};
use fulmarreel_wire::call::Frame;
use futures_lite::{AsyncRead, Stream as _};
use smol::channel::Receiver;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// The body of a streamed response.
///
/// It ends without an error only if all bytes arrived in order and match the announced length.
/// Otherwise reading fails, and the HTTP library closes the caller's connection.
#[derive(Debug)]
pub(super) struct StreamedBody {
    pending: PendingCall,
    events: Pin<Box<Receiver<Event>>>,
    length: Option<u64>,
    received: u64,
    chunk: Vec<u8>,
    consumed: usize,
    last: bool,
    /// Bytes that were read since the last credit.
    uncredited: u32,
    /// Bytes to be read before the next credit is sent.
    credit_threshold: u32,
    /// The caller's connection, if the caller takes a close for the end of the body.
    ended_by_close: Option<Watcher>,
}

impl StreamedBody {
    /// Creates the body that follows a head; `window` is the sender's initial credit in bytes.
    pub fn new(
        pending: PendingCall,
        events: Receiver<Event>,
        length: Option<u64>,
        window: u32,
    ) -> Self {
        Self {
            pending,
            events: Box::pin(events),
            length,
            received: 0,
            chunk: Vec::new(),
            consumed: 0,
            last: false,
            uncredited: 0,
            credit_threshold: window / 2,
            ended_by_close: None,
        }
    }

    /// Has the caller's connection reset unless the body is delivered whole, for a caller that takes a
    /// close for the end of the body; it is reset also where this process is killed.
    pub fn end_by_close(&mut self, caller: Watcher) {
        caller.set_reset_on_close(true);
        self.ended_by_close = Some(caller);
    }

    fn accept(&mut self, event: Option<Event>) -> io::Result<()> {
        let Some(Event::Chunk(chunk)) = event else {
            let lost = matches!(event, Some(Event::Lost { .. } | Event::Failed(_)) | None);
            self.pending.ended |= lost;
            return if lost { Err(truncated()) } else { Ok(()) };
        };
        if chunk.offset != self.received {
            return Err(truncated());
        }
        self.received += chunk.bytes.len() as u64;
        self.last = chunk.last;
        self.chunk = chunk.bytes;
        self.consumed = 0;
        if self.last {
            self.pending.ended = true;
            if self.length.is_some_and(|length| length != self.received) {
                return Err(truncated());
            }
        }
        Ok(())
    }

    fn send_credit(&mut self, bytes: usize) {
        self.uncredited += bytes as u32;
        if self.uncredited < self.credit_threshold || self.last {
            return;
        }
        let frame = Frame::Credit {
            sequence: self.pending.sequence,
            bytes: std::mem::take(&mut self.uncredited),
        };
        let connection = Arc::clone(&self.pending.connection);
        crate::runtime::spawn(async move {
            connection.send(frame).await;
        });
    }
}

impl AsyncRead for StreamedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.consumed == self.chunk.len() {
            if self.last {
                if let Some(caller) = self.ended_by_close.take() {
                    caller.set_reset_on_close(false);
                }
                return Poll::Ready(Ok(0));
            }
            let event = ready!(self.events.as_mut().poll_next(context));
            self.accept(event)?;
        }
        let bytes = buffer.len().min(self.chunk.len() - self.consumed);
        let end = self.consumed + bytes;
        buffer[..bytes].copy_from_slice(&self.chunk[self.consumed..end]);
        self.consumed = end;
        self.send_credit(bytes);
        Poll::Ready(Ok(bytes))
    }
}

fn truncated() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the answer was truncated")
}
