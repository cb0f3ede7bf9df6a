//! Messages that the system's own processes exchange, and their framing.
//!
//! A TCP connection opens with one [`Hello`] that names its [`Purpose`]; what follows is a stream
//! of [`call::Frame`], [`sync::Frame`] or [`evidence::Report`]. Membership travels as
//! [`gossip::Datagram`] over UDP, short word between the nodes of the platform as [`notice::Notice`],
//! and what they know of the store as [`mirror::Update`].
//! All of it is encoded with `postcard`; [`framing`] puts frames on a byte stream.
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

/// The version of everything in this crate; peers of another version are refused.
pub const PROTOCOL: u16 = 1;
