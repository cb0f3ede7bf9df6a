//! Which service a request goes to, without I/O: hosts, the longest path prefix, weighted splits.
//!
//! A [`Table`] is one active configuration. It is built whole and swapped in at once, so a
//! request is routed by one configuration only.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod route;
pub mod split;
mod table;

pub use route::{Limits, Part, Route};
pub use split::Split;
pub use table::Table;
