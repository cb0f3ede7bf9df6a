//! The operators' command line: documents in, outcomes out, over the platform's store alone.
//!
//! Each command is a module with its own `Options`, `Outcome` and `Error`; [`cli`] turns arguments
//! into them and outcomes into tables, JSON and exit codes. [`mod@file`] reads documents from files,
//! [`stored`] reads them and the states of moves from the store.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod check;
pub mod cli;
pub mod delete;
pub mod diff;
pub mod explain;
pub mod file;
pub mod get;
pub mod history;
pub mod status;
pub mod stored;
pub mod wait;

pub use file::File;
