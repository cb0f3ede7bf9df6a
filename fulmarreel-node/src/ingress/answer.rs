//! The body of a streamed answer, as the HTTP library reads it.

use super::exchange::Pending;
use crate::peer::Event;
use fulmarreel_wire::call::Frame;
use futures_lite::{AsyncRead, Stream as _};
use smol::channel::Receiver;
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// The body of a streamed answer.
///
/// It ends well only where every byte arrived in order and the length is the announced one; in
/// any other case reading fails, and the library breaks the caller's connection off.
#[derive(Debug)]
pub(super) struct Stream {
    pending: Pending,
    events: Pin<Box<Receiver<Event>>>,
    length: Option<u64>,
    received: u64,
    chunk: Vec<u8>,
    taken: usize,
    last: bool,
    /// Bytes that were taken since the last credit.
    uncredited: u32,
    credit_from: u32,
}

impl Stream {
    /// The body that follows a head; `window` is the sender's first credit in bytes.
    pub fn new(
        pending: Pending,
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
            taken: 0,
            last: false,
            uncredited: 0,
            credit_from: window / 2,
        }
    }

    fn take(&mut self, event: Option<Event>) -> io::Result<()> {
        let Some(Event::Chunk(chunk)) = event else {
            let lost = matches!(event, Some(Event::Lost { .. } | Event::Failed(_)) | None);
            self.pending.ended |= lost;
            return if lost { Err(cut()) } else { Ok(()) };
        };
        if chunk.offset != self.received {
            return Err(cut());
        }
        self.received += chunk.bytes.len() as u64;
        self.last = chunk.last;
        self.chunk = chunk.bytes;
        self.taken = 0;
        if self.last {
            self.pending.ended = true;
            if self.length.is_some_and(|length| length != self.received) {
                return Err(cut());
            }
        }
        Ok(())
    }

    fn credit(&mut self, bytes: usize) {
        self.uncredited += bytes as u32;
        if self.uncredited < self.credit_from || self.last {
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

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.taken == self.chunk.len() {
            if self.last {
                return Poll::Ready(Ok(0));
            }
            let event = ready!(self.events.as_mut().poll_next(context));
            self.take(event)?;
        }
        let bytes = buffer.len().min(self.chunk.len() - self.taken);
        let end = self.taken + bytes;
        buffer[..bytes].copy_from_slice(&self.chunk[self.taken..end]);
        self.taken = end;
        self.credit(bytes);
        Poll::Ready(Ok(bytes))
    }
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the answer was cut")
}
