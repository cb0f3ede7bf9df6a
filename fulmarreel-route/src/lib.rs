//! Routes requests to services by host, longest path prefix and weighted split, without I/O.
//!
//! A [`Table`] holds the routes of one version of the configuration. It is replaced as a whole, so
//! that a request is routed by a single version.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod account;
mod route;
pub mod split;
mod table;

pub use account::{Account, Accounts};
pub use route::{Limits, Route, WeightedService};
pub use split::WeightedSplit;
pub use table::{Entry, Table};
