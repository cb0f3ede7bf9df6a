//! Requests that are refused early under overload, where the configuration has accounts or bulk routes.

use super::{
    Request, RequestHandler,
    offer::{Offers, RequestOutcome},
};
use crate::{
    mesh::{serve::order, view::View},
    telemetry::metrics,
};
use fulmarreel_route::Table;
use std::time::{Duration, Instant};

/// A request of a client is offered to no further target after this fraction of its route's objective:
/// the caller is told early that it has to come back.
const MAX_OFFERING_FRACTION: f64 = 0.125;

/// A first offer needs this fraction of the route's typical latency until the deadline. Targets are faster
/// than that only rarely.
const MIN_LATENCY_FRACTION: f64 = 0.5;

/// The retry delay that a caller is told is at most this fraction of the time in which the request can
/// still be run after it.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.6;

impl RequestHandler {
    /// Whether requests are refused early and their retries are spread.
    pub(super) fn sheds_load(&self, view: &View) -> bool {
        view.table.as_deref().is_some_and(order::is_active)
    }

    /// Whether it is known that a request cannot be answered in time by any target, so that it is refused
    /// without another offer.
    pub(super) fn is_hopeless(&self, view: &View, request: &Request<'_>, offers: &Offers) -> bool {
        if !self.sheds_load(view) {
            return false;
        }
        let now = Instant::now();
        let typical = self.targets.typical_latency(&request.route.name);
        let typical = typical.unwrap_or_default();
        let is_first = offers.addresses.is_empty();
        let needed = if is_first {
            typical.mul_f64(MIN_LATENCY_FRACTION)
        } else {
            typical
        };
        let offering = request.route.objective.mul_f64(MAX_OFFERING_FRACTION);
        let is_too_late = now + needed > request.deadline;
        let is_tired = !is_first
            && offers.found_no_room()
            && !self.may_be_target_call(view, request)
            && now > request.started + offering;
        if is_too_late || is_tired {
            metrics::request_given_up(request.service);
        }
        is_too_late || is_tired
    }

    /// Records the outcome of a request that the own target may have sent.
    pub(super) fn record_target_call(
        &self,
        request: &Request<'_>,
        outcome: &RequestOutcome,
        offers: &Offers,
    ) {
        let is_refused = matches!(outcome, RequestOutcome::NotRun { .. });
        if is_refused
            && offers.found_no_room()
            && self.may_be_target_call(&self.context.view(), request)
        {
            self.server.record_refused_call();
        }
    }

    /// Whether a request may be a call of the own target: it bears no key, and needs none.
    fn may_be_target_call(&self, view: &View, request: &Request<'_>) -> bool {
        let has_accounts = |table: &Table| !table.accounts.is_empty();
        view.table.as_deref().is_some_and(has_accounts)
            && request.route.auth_exempt
            && request.account.is_none()
    }

    /// The longest retry delay that the caller of a request may be told, if retries are spread.
    pub(super) fn longest_spread(&self, request: &Request<'_>) -> Option<Duration> {
        if !self.sheds_load(&self.context.view()) {
            return None;
        }
        let typical = self.targets.typical_latency(&request.route.name);
        let left = request.deadline.saturating_duration_since(Instant::now());
        let usable = left.saturating_sub(typical.unwrap_or_default());
        Some(usable.mul_f64(MAX_RETRY_AFTER_FRACTION))
    }
}
