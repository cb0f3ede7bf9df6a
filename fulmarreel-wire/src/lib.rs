//! The wire protocol between nodes: message types and their framing.
//!
//! A TCP connection starts with one [`Hello`] in each direction. Its [`Purpose`] tells which
//! messages follow: [`call::Frame`], [`sync::Frame`], [`evidence::Report`], or [`mirror::Pull`] and
//! [`mirror::Part`]. Over UDP nodes exchange membership as [`gossip::Datagram`], and short messages
//! on the store and on rollouts as [`notice::Datagram`].
//!
//! All messages are encoded with `postcard`, so the order of fields and variants is part of the
//! protocol while their names are not. [`framing`] delimits messages on a byte stream.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod call;
pub mod evidence;
pub mod framing;
pub mod gossip;
mod hello;
pub mod mirror;
pub mod notice;
pub mod sync;

pub use hello::{Hello, Purpose};

/// Version of the protocol; peers with a different version are refused.
pub const PROTOCOL: u16 = 1;
