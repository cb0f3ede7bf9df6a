//! The client side of HTTP/1.1, one exchange at a time on a connection that its owner holds.
//!
//! A library that pools connections hides what matters here: whether a request can have reached the
//! server, whether bytes that arrive belong to it, and whether an answer is whole. [`Connection`]
//! says all three. Heads are parsed by `httparse`; [`body`] frames bodies.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod body;
pub mod connection;
pub mod message;

pub use connection::{Connection, Error};
pub use message::{Header, Request, Response};
