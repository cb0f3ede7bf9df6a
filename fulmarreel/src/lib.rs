//! The operators' command line. It talks to the store only, never to nodes.
//!
//! A document declares a service's version and routes, and optionally a move: a gradual shift of its
//! calls to another version by a deadline.
//!
//! Each command is a module with its own `Options`, `Outcome` and `Error` where it needs them. [`cli`]
//! parses arguments and prints outcomes as tables or JSON, with an exit code. [`mod@file`] reads
//! documents from files; [`stored`] reads documents and states of moves from the store.
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
