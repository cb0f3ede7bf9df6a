//! Messages that the system's own processes exchange, and their framing.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
