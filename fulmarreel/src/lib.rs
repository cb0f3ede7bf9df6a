//! The operators' command line.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
