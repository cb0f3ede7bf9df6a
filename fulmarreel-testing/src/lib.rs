//! Fakes of the store, of targets and of callers, and processes of the real programs; for tests only.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod answers;
pub mod flood;
pub mod kv;
pub mod load;
pub mod process;
pub mod relay;
pub mod store;
pub mod target;
