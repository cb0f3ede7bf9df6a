//! The operators' command line: documents in, outcomes out, over the platform's store alone.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod apply;
