//! Routes: which calls a document speaks of, and how they are treated.

use crate::Service;
use std::time::Duration;

/// The timeout of a route that names none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Calls under one path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    pub(crate) path: String,
    pub(crate) destination: Option<Service>,
    pub(crate) idempotent: bool,
    pub(crate) timeout: Duration,
}

impl Route {
    /// The path prefix, starting with a slash.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The service that takes these calls, if it is another than the document's.
    pub fn destination(&self) -> Option<&Service> {
        self.destination.as_ref()
    }

    /// Whether a call may be run more than once without harm.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// The time that a call may take where its caller sets no deadline of its own.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Whether the request path lies under this route's prefix, at a segment boundary.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        rest.is_empty() || self.path.ends_with('/') || rest.starts_with(['/', '?'])
    }
}
