//! A client for the JSON gateway of etcd v3 (`/v3/kv`, `/v3/lease`, `/v3/watch`).
//!
//! The gateway encodes keys and values in base64 and 64-bit integers as strings, leaves out fields
//! with default values, and sends streams as one JSON object per line.

mod client;
mod json;
mod request;
mod transport;
mod watch;

pub use client::{Client, Options};
pub use watch::Watch;
