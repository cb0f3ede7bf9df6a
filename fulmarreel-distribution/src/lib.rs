//! Distribution decisions: revisions, digests and snapshots, without I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
