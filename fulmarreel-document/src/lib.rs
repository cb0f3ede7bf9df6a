//! Service documents: a team's declaration of one service's routes and rollout.
//!
//! [`parse()`] reads a document from text (JSON with comments) and validates it as a whole. A
//! [`Document`] is always valid.
//!
//! ```
//! let text = r#"{ "service": "parcelas", "version": "v1", "routes": [{ "path": "/" }] }"#;
//! let document = fulmarreel_document::parse(text)?;
//! assert_eq!(document.service().as_str(), "parcelas");
//! # Ok::<(), fulmarreel_document::parse::Error>(())
//! ```
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod access;
pub mod check;
mod name;
pub mod parse;
mod raw;
pub mod rollout;
pub mod route;
pub mod source;

pub use name::{Error as NameError, Service, Version};
pub use parse::parse;
pub use rollout::Rollout;
pub use route::Route;

/// Limit of a document in bytes, which is the largest value that the platform's store accepts.
pub const MAX_BYTES: usize = 1_048_576;

/// The valid declaration of one service.
///
/// Invariants: there is at least one route, route paths are unique, and a [`Rollout`] leads to a
/// version other than the current one.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    service: Service,
    version: Version,
    routes: Vec<Route>,
    rollout: Option<Rollout>,
}
