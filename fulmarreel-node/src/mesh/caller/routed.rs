//! Requests for which a route was found.

use super::{Request, head::Head};
use crate::mesh::credential::Credential;
use fulmarreel_platform::request;
use fulmarreel_route::{Entry, Table};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// A request for which a route was found.
#[derive(Debug)]
pub(super) struct Routed {
    entry: Arc<Entry>,
    /// The index of the service that the request goes to among the route's.
    service: usize,
    credential: Option<Credential>,
    id: String,
    /// The store revision of the configuration that the request was routed by.
    revision: u64,
    started: Instant,
    deadline: Instant,
}

impl Routed {
    /// Chooses a service of the route `entry` for an authenticated request that arrived at `started`.
    pub fn new(
        table: &Table,
        entry: &Arc<Entry>,
        credential: Option<Credential>,
        head: &Head,
        started: Instant,
    ) -> Self {
        let timeout = entry.route.timeout;
        let allowed_ms = head.header(request::DEADLINE_MS);
        let timeout = allowed_ms
            .and_then(|text| text.trim().parse().ok())
            .map_or(timeout, |ms| Duration::from_millis(ms).min(timeout));
        Self {
            service: entry.split.next_service(fastrand::f64()),
            entry: Arc::clone(entry),
            credential,
            id: head.id().to_owned(),
            revision: table.revision,
            started,
            deadline: started + timeout,
        }
    }

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.entry.route.idempotent
    }

    /// The request with its whole body.
    pub fn with_body<'a>(&'a self, body: &'a [u8]) -> Request<'a> {
        let route = &self.entry.route;
        Request {
            id: &self.id,
            route,
            service: &route.services[self.service].service,
            account: self.credential.as_ref().map(Credential::account),
            credential: self.credential.as_ref(),
            revision: self.revision,
            body,
            started: self.started,
            deadline: self.deadline,
            rank: route.priority,
        }
    }
}
