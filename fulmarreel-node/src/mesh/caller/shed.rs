//! Requests that are refused early under overload, where the configuration has accounts or bulk routes.

use super::{
    Request, RequestHandler,
    offer::{Offers, RequestOutcome},
};
use crate::{
    mesh::{serve::order, view::View},
    telemetry::metrics,
};
use fulmarreel_balance::overload::Attempt;
use fulmarreel_route::Table;
use std::time::{Duration, Instant};

impl RequestHandler {
    /// Whether requests are refused early and their retries are spread.
    pub(super) fn sheds_load(&self, view: &View) -> bool {
        view.table.as_deref().is_some_and(order::is_active)
    }

    /// Whether a request is refused without another offer, since it cannot be answered in time.
    pub(super) fn gives_up(&self, view: &View, request: &Request<'_>, offers: &Offers) -> bool {
        if !self.sheds_load(view) {
            return false;
        }
        let attempt = Attempt {
            is_first: offers.addresses.is_empty(),
            is_refused_new_work: offers.found_no_room() && !self.may_be_target_call(view, request),
            ..self.attempt(request)
        };
        let gives_up = !attempt.is_worthwhile(Instant::now());
        if gives_up {
            metrics::request_given_up(request.service);
        }
        gives_up
    }

    fn attempt(&self, request: &Request<'_>) -> Attempt {
        let typical_latency = self.targets.typical_latency(&request.route.name);
        Attempt {
            started: request.started,
            deadline: request.deadline,
            objective: request.started + request.route.objective,
            typical_latency: typical_latency.unwrap_or_default(),
            is_first: false,
            is_refused_new_work: false,
        }
    }

    /// Records the arrival of a request that the own target may have sent.
    pub(super) fn record_possible_call(&self, request: &Request<'_>) {
        if self.may_be_target_call(&self.context.view(), request) {
            self.server.record_possible_call(request.route);
        }
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
            self.server.record_refused_call(request.route);
        }
    }

    /// The longest retry delay of a request, if retries are spread.
    pub(super) fn longest_retry_delay(&self, request: &Request<'_>) -> Option<Duration> {
        let sheds_load = self.sheds_load(&self.context.view());
        sheds_load.then(|| self.attempt(request).longest_retry_delay(Instant::now()))
    }

    /// Whether a request may be a call of the own target: it bears no key, needs none, and goes to another
    /// service.
    fn may_be_target_call(&self, view: &View, request: &Request<'_>) -> bool {
        let has_accounts = |table: &Table| !table.accounts.is_empty();
        view.table.as_deref().is_some_and(has_accounts)
            && request.route.auth_exempt
            && request.account.is_none()
            && request.service != self.context.settings().service
    }
}
