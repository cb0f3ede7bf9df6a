//! Where a call goes: document, route and version.

use super::request::Request;
use crate::state::{Candidate, Service, State, View};
use fulmarreel_document::Route;

/// Where a call goes.
#[derive(Debug)]
pub(super) struct Destination<'a> {
    /// The service that takes it.
    pub service: &'a Service,
    /// The route that it matched.
    pub route: &'a Route,
    /// The route's place in its document.
    pub route_index: usize,
    /// The version that takes it.
    pub version: &'a str,
}

/// How a call that may have run ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct Observation {
    /// Whether the answer was a server error, or is not to be had.
    pub failed: bool,
    /// The target's own time to the answer's head in microseconds, if there was one.
    pub target_micros: Option<u32>,
}

impl Destination<'_> {
    /// The targets of the version.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        let candidates = self.service.candidates.get(self.version);
        candidates.into_iter().flatten()
    }
}

/// Finds where a request goes by the documents in force.
pub(super) fn resolve<'a>(view: &'a View, request: &Request) -> Option<Destination<'a>> {
    let asked = view.service(&request.service)?;
    let routes = asked.document.routes();
    let route_index = routes
        .iter()
        .position(|route| route.matches(&request.path))?;
    let route = &routes[route_index];
    let service = match route.destination() {
        None => asked,
        Some(destination) => view.service(destination.as_str())?,
    };
    Some(Destination {
        service,
        route,
        route_index,
        version: choose_version(service, request.hash),
    })
}

/// The version for a call; calls of one hash go to one version.
fn choose_version(service: &Service, _hash: u64) -> &str {
    service.document.version().as_str()
}

/// Notes the end of a call that may have run.
pub(super) fn observe(_state: &State, destination: &Destination<'_>, observation: Observation) {
    log::debug!(
        "observe service={} version={} route={} failed={} target_micros={:?}",
        destination.service.document.service(),
        destination.version,
        destination.route_index,
        observation.failed,
        observation.target_micros,
    );
}
