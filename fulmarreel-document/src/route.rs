//! Routes: classes of a service's calls by path prefix.

use crate::Service;
use std::time::Duration;

/// Timeout of a route that declares none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How calls under one path prefix are handled.
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

    /// The service that these calls go to, if it is not the document's own.
    pub fn destination(&self) -> Option<&Service> {
        self.destination.as_ref()
    }

    /// Whether a call may run more than once without harm.
    pub fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// Time limit of a call whose caller sets no deadline.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Whether the route's path is a prefix of the request path that ends at a segment boundary.
    pub fn matches(&self, path: &str) -> bool {
        let Some(remainder) = path.strip_prefix(self.path.as_str()) else {
            return false;
        };
        remainder.is_empty() || self.path.ends_with('/') || remainder.starts_with(['/', '?'])
    }
}
