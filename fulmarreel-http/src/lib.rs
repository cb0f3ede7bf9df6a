//! The client side of HTTP/1.1, without connection pooling: one exchange at a time on a connection
//! that the caller owns.
//!
//! A pooling client hides what callers need to know here: whether a request can have reached the
//! server, whether received bytes belong to it, and whether a response is complete. [`Connection`]
//! reports all three. Heads are parsed by `httparse`, [`body`] decodes body framing, and a
//! [`Quota`] limits the memory that endless responses can take up. [`Connection::exchange`] reads a
//! response whole, [`Connection::stream`] leaves its body to be read piece by piece.
//!
//! A response that RFC 9112 calls invalid or incomplete is an error, never a response: callers may pass
//! on whatever they get.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
pub mod connection;
pub mod field;
pub mod message;
pub mod quota;
mod reader;
mod socket;
pub mod stream;

pub use connection::{Connection, Error};
pub use message::{Header, Request, Response};
pub use quota::Quota;
pub use stream::{Body, StreamedResponse};
