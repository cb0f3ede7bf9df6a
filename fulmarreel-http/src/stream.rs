//! Responses whose body is read piece by piece.

use crate::{
    body::{BodyLength, ChunkDecoder},
    message::Header,
    socket::Socket,
};
use smol::io::AsyncRead;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// A response whose body is still to be read.
#[derive(Debug)]
pub struct StreamedResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// The length of the body in bytes, if the server told it.
    pub length: Option<usize>,
    /// The body.
    pub body: Body,
}

/// The body of a response, with the transfer coding removed.
///
/// It ends without an error only where it is whole: with an error of the kind
/// [`io::ErrorKind::InvalidData`] where its coding is malformed, else with the connection's.
#[derive(Debug)]
pub struct Body {
    socket: Socket,
    /// Bytes received that are not yet decoded.
    buffer: Vec<u8>,
    rest: Rest,
}

/// What is still to be read of a body.
#[derive(Debug)]
enum Rest {
    /// That many bytes.
    Known(usize),
    /// Chunks, until the last one was decoded.
    Chunked {
        decoder: ChunkDecoder,
        /// Decoded bytes that were not read yet.
        decoded: Vec<u8>,
        is_whole: bool,
    },
    /// All bytes until the server closes its direction.
    UntilClose { is_closed: bool },
}

impl Body {
    /// The body that follows a head on a connection; `buffer` has the bytes that came with the head.
    pub(crate) fn new(socket: Socket, buffer: Vec<u8>, length: BodyLength) -> Self {
        let rest = match length {
            BodyLength::Known(bytes) => Rest::Known(bytes),
            BodyLength::Chunked => Rest::Chunked {
                decoder: ChunkDecoder::default(),
                decoded: Vec::new(),
                is_whole: false,
            },
            BodyLength::UntilClose => Rest::UntilClose { is_closed: false },
        };
        Self {
            socket,
            buffer,
            rest,
        }
    }

    /// Moves bytes that have arrived to `output`, and returns their number, which is 0 at the end of the
    /// body; `None` if more have to arrive first.
    fn take(&mut self, output: &mut [u8]) -> io::Result<Option<usize>> {
        let (source, limit, is_end) = match &mut self.rest {
            Rest::Known(rest) => (&mut self.buffer, *rest, *rest == 0),
            Rest::Chunked {
                decoder,
                decoded,
                is_whole,
            } => {
                if decoded.is_empty() && !*is_whole {
                    let result = decoder.decode(&mut self.buffer, decoded);
                    *is_whole = result
                        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
                }
                let is_end = *is_whole && decoded.is_empty();
                (decoded, usize::MAX, is_end)
            }
            Rest::UntilClose { is_closed } => {
                let is_end = *is_closed && self.buffer.is_empty();
                (&mut self.buffer, usize::MAX, is_end)
            }
        };
        let count = source.len().min(limit).min(output.len());
        if count == 0 {
            return Ok(is_end.then_some(0));
        }
        output[..count].copy_from_slice(&source[..count]);
        source.drain(..count);
        if let Rest::Known(rest) = &mut self.rest {
            *rest -= count;
        }
        Ok(Some(count))
    }

    /// Receives more bytes.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let received = self.socket.poll_receive(context, &mut self.buffer);
        if ready!(received)? > 0 {
            return Poll::Ready(Ok(()));
        }
        let Rest::UntilClose { is_closed } = &mut self.rest else {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        };
        *is_closed = true;
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Body {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if output.is_empty() {
            return Poll::Ready(Ok(0));
        }
        loop {
            if let Some(count) = self.take(output)? {
                return Poll::Ready(Ok(count));
            }
            ready!(self.poll_receive(context))?;
        }
    }
}
