//! The client side of HTTP/1.1, one exchange at a time on a connection that its owner holds.
//!
//! A library that pools connections hides what matters here: whether a request can have reached the
//! server, whether bytes that arrive belong to it, and whether an answer is whole. [`Connection`]
//! says all three. Heads are parsed by `httparse`; [`body`] frames bodies,
//! and a [`Quota`] bounds what is held of servers whose bytes do not end.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
pub mod connection;
pub mod message;
pub mod quota;
mod reader;

pub use connection::{Connection, Error};
pub use message::{Header, Request, Response};
pub use quota::Quota;
