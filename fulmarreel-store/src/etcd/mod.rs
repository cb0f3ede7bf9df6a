//! A client of the JSON gateway of etcd v3 (`/v3/kv`, `/v3/lease`, `/v3/watch`).
//!
//! The protocol is the published one: keys and values in base64, 64-bit integers as strings,
//! fields with default values left out, streams as one JSON object a line.

mod client;
mod json;
mod request;
mod watch;

pub use client::{Client, Options};
pub use watch::Watch;
