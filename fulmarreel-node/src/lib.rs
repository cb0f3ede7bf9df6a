//! The process in each target instance's slot.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
