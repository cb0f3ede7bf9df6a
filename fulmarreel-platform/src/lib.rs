//! The platform's key-value store: trait, HTTP client, key layout.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
