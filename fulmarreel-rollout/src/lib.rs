//! Decisions of a move to a new version, without I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
