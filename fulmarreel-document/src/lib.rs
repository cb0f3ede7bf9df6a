//! Service documents: what a team declares about one service, and how it is checked.
//!
//! A document is raw text (JSON with comments) until [`parse()`] has turned it into a
//! [`Document`]; a value of that type has been checked as a whole.
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
pub mod route;
pub mod shift;
pub mod source;

pub use name::{Error as NameError, Service, Version};
pub use parse::parse;
pub use route::Route;
pub use shift::Shift;

/// The largest document in bytes; the platform's store holds no larger value.
pub const MAX_BYTES: usize = 1_048_576;

/// One service's declaration, checked as a whole.
///
/// Rules kept by the aggregate: at least one route, route paths unique, and a shift leads to a
/// version other than the current one.
#[derive(Debug, Clone, PartialEq)]
pub struct Document {
    service: Service,
    version: Version,
    routes: Vec<Route>,
    shift: Option<Shift>,
}
