//! Membership decisions: records, probing, suspicion and expiry, without I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
