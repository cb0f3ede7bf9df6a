//! The state of single calls: admission, hand-over, answer and fences, without I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
