//! Stand-ins for the platform's store, targets and callers; test scaffolding only.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod kv;
pub mod load;
pub mod process;
pub mod relay;
pub mod store;
pub mod target;
