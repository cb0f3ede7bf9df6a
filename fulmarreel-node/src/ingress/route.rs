//! Resolves the destination of a call: document, route and version.

use super::request::Request;
use crate::{
    rollout::{CallResult, Rollouts, TrackedCall},
    state::{Candidate, Service, View, unix_millis},
};
use fulmarreel_document::{Route, Version, rollout::Timestamp};
use std::sync::Mutex;

/// The destination of a call.
#[derive(Debug)]
pub(super) struct Destination<'a> {
    /// The service that runs the call.
    pub service: &'a Service,
    /// The route that the call matched.
    pub route: &'a Route,
    /// The index of the route in its document.
    pub route_index: usize,
    /// The version that runs the call.
    pub version: Version,
    /// Records the call's result for the service's rollout, if it has one.
    tracked_call: Mutex<Option<TrackedCall>>,
}

impl Destination<'_> {
    /// The targets of the chosen version.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        let candidates = self.service.candidates.get(self.version.as_str());
        candidates.into_iter().flatten()
    }

    /// Sends the call's further attempts to the rollout's old version, if that has targets.
    pub fn fall_back_to_old_version(&mut self) {
        let old = self.service.document.version();
        if self.service.has_target(old.as_str()) {
            self.version = old.clone();
            *self.tracked_call.get_mut().expect("tracked call lock") = None;
        }
    }

    /// Records the call's result for the service's rollout, if it has one.
    pub fn finish(&self, result: CallResult) {
        let tracked_call = self.tracked_call.lock().expect("tracked call lock").take();
        if let Some(tracked_call) = tracked_call {
            let route = u16::try_from(self.route_index).unwrap_or(u16::MAX);
            tracked_call.finish(route, result);
        }
    }
}

/// Finds the destination of a request in the active documents; `None` if no route matches.
pub(super) fn resolve<'a>(
    view: &'a View,
    rollouts: &Rollouts,
    request: &Request,
) -> Option<Destination<'a>> {
    let requested = view.service(&request.service)?;
    let routes = requested.document.routes();
    let route_index = routes
        .iter()
        .position(|route| route.matches(&request.path))?;
    let route = &routes[route_index];
    let service = match route.destination() {
        None => requested,
        Some(destination) => view.service(destination.as_str())?,
    };
    let choice = rollouts.choose(service, request.version_hash, Timestamp(unix_millis()));
    Some(Destination {
        service,
        route,
        route_index,
        version: choice.version,
        tracked_call: Mutex::new(choice.tracked_call),
    })
}
