//! Large bodies that cross this machine's narrow link on their way between its callers and targets of
//! other machines.

use super::{Request, RequestHandler};
use crate::mesh::{
    links::{Direction, Expected},
    view::{Target, View},
};
use fulmarreel_balance::link::Body;
use std::time::{Duration, Instant};

/// The reason of a refusal because the link cannot carry the request's bodies in time.
pub(super) const LINK_FULL: &str = "this machine's link has too much to carry";

impl RequestHandler {
    /// Expects the bodies of a request to another machine on this machine's link, if that is narrow.
    ///
    /// # Errors
    ///
    /// They could not cross in time; the request may come back after the returned time.
    pub(super) fn expect_crossing(
        &self,
        view: &View,
        request: &Request<'_>,
        target: &Target,
    ) -> Result<Option<Expected>, Duration> {
        let is_own = target.address == self.context.settings().peer_address;
        let links = &self.server.links;
        if is_own || !request.route.is_bulk || !links.are_narrow() {
            return Ok(None);
        }
        let now = Instant::now();
        let body = |bytes: f64, ready_at| Body {
            bytes,
            ready_at,
            objective: request.started + request.route.objective,
            deadline: request.deadline,
        };
        let work = self.expected_work(view, request, target);
        let response = body(links.response_bytes(request.route), now + work);
        let response = links.expect(Direction::Incoming, &response)?;
        let upload = body(request.body.len() as f64, now);
        drop(links.expect(Direction::Outgoing, &upload)?);
        links.send(request.body.len());
        Ok(Some(response))
    }

    /// Records the size of a response that crossed this machine's link, or would have.
    pub(super) fn record_crossing(&self, request: &Request<'_>, bytes: usize) {
        if self.server.links.are_narrow() {
            self.server.links.record_response(request.route, bytes);
        }
    }
}
