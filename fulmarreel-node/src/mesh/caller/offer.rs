//! Attempts of a request at one target after another, within the limits of its route and of the
//! service's retry budget.

use super::{FIRST_SERVER_ERROR, Request, RequestHandler, STOPPING, crossing::LINK_FULL, eligible};
use crate::{
    mesh::{
        credential::{MAY_BE_REVOKED, REVOCATION_RETRY_AFTER, may_be_revoked},
        exchange::{AttemptOutcome, Exchange},
        view::{Target, View},
    },
    serve::session::WholeResponse,
    telemetry::metrics,
};
use fulmarreel_balance::{
    Budget,
    budget::{Limits, PreviousAttempt},
};
use fulmarreel_platform::request;
use fulmarreel_wire::call::Open;
use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// The most targets that one request is offered to, counting those that refuse it.
const MAX_OFFERS: usize = 4;

/// The fraction of a service's configured retry budget that is used.
const RETRY_BUDGET_FRACTION: f64 = 0.5;

/// How long before the process ends a request stops waiting for a slot, so that its refusal can still
/// be sent.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);

/// The wanted wait for a slot is at least this fraction of the route's latency objective.
const MIN_WAIT_FRACTION: f64 = 0.2;

/// The wanted wait for a slot leaves room for a response that takes longer than expected by this
/// fraction of the expected time.
const LATENCY_MARGIN: f64 = 1.0;

/// How a request ended.
#[derive(Debug)]
pub(super) enum RequestOutcome {
    Answered(WholeResponse),
    /// Not run, and never will be.
    NotRun {
        reason: &'static str,
        retry_after: Duration,
    },
    /// Not run, as its account is over its quota.
    OverQuota {
        retry_after: Duration,
    },
    /// It may have run.
    Unknown {
        reason: &'static str,
        /// Whether its deadline has passed.
        late: bool,
    },
}

/// The targets that a request was offered to, in order, and a summary of their responses.
#[derive(Debug, Default)]
pub(super) struct Offers {
    pub addresses: Vec<SocketAddr>,
    /// How many of them may have begun to run the request.
    pub reached: u32,
    /// The version of the last target.
    pub last_version: String,
    /// The shortest retry delay that a target asked for.
    retry_after: Option<Duration>,
}

impl RequestHandler {
    /// Offers a request to one target after another until one answers it or no further attempt is
    /// allowed.
    pub(super) async fn offer(
        &self,
        request: &Request<'_>,
        mut open: Open,
        offers: &mut Offers,
    ) -> RequestOutcome {
        let mut last = RequestOutcome::NotRun {
            reason: "no target is known",
            retry_after: Duration::ZERO,
        };
        let mut permit = match self.admit(request).await {
            Ok(permit) => permit,
            Err(refusal) => return refusal,
        };
        self.record_possible_call(request);
        self.with_budget(request.service, |budget| {
            budget.record_request(Instant::now());
        });
        loop {
            if !self.has_time_before_end(request) {
                return last.or_not_run(STOPPING, self.time_until_restart());
            }
            if may_be_revoked(request.credential, &self.context) {
                return last.or_not_run(MAY_BE_REVOKED, REVOCATION_RETRY_AFTER);
            }
            let view = self.context.view();
            if self.gives_up(&view, request, offers) {
                return last.or_given_up(offers);
            }
            let chosen = self.choose_target(&view, request, offers);
            let Some((target, version_choice)) = chosen else {
                let refusal = eligible::refusal(&view, request);
                let refusal = refusal.filter(|_| offers.addresses.is_empty());
                return refusal.unwrap_or(last).with_retry_after(offers);
            };
            if !offers.addresses.is_empty() {
                metrics::call_retried(request.service);
            }
            offers.addresses.push(target.address);
            open.sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
            open.version.clone_from(&target.version);
            offers.last_version.clone_from(&target.version);
            let left = request.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return last.with_retry_after(offers);
            }
            open.remaining_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            (open.wanted_ms, open.latest_ms) = self.queue_waits_ms(&view, request, &target);
            let exchange = Exchange {
                context: &self.context,
                server: &self.server,
                pool: &self.pool,
                targets: &self.targets,
                target: &target,
                own: self.context.settings().peer_address,
                credential: request.credential,
                is_bulk: request.route.is_bulk,
                deadline: request.deadline,
            };
            let crossing = match self.expect_crossing(&view, request, &target) {
                Ok(crossing) => crossing,
                Err(retry_after) => {
                    offers.record_retry_after(retry_after);
                    last = last.or_not_run(LINK_FULL, retry_after);
                    return last.with_retry_after(offers);
                }
            };
            if permit.as_mut().is_some_and(|permit| !permit.begin()) {
                return last.or_over_quota();
            }
            self.cold_targets.record_offer(&target);
            let in_flight = self.targets.start_request(target.address);
            let tracker = self.track_call(request, &target, &version_choice);
            let mut outcome = exchange.run(&open, request.body).await;
            drop((in_flight, crossing));
            self.cold_targets.record_outcome(&target, &mut outcome);
            self.record_attempt(request, &target, tracker, &outcome);
            if let Some(permit) = &mut permit
                && was_not_run(&outcome)
            {
                permit.not_run();
            }
            match outcome {
                AttemptOutcome::Answered(response) if is_not_run(&response) => {
                    offers.reached += 1;
                    last = last.or_not_run("the target did not run it", Duration::ZERO);
                    if !self.may_reach_another(request, offers, PreviousAttempt::NotRun) {
                        return last.with_retry_after(offers);
                    }
                }
                AttemptOutcome::Answered(response) => {
                    offers.reached += 1;
                    let failed = response.head.status >= FIRST_SERVER_ERROR;
                    let retry = failed
                        && request.route.idempotent
                        && self.has_time_for_another(request)
                        && self.may_reach_another(request, offers, PreviousAttempt::MayHaveRun);
                    last = RequestOutcome::Answered(response);
                    if !retry {
                        return last;
                    }
                }
                AttemptOutcome::NotRun {
                    reason,
                    retry_after,
                    ..
                } => {
                    offers.record_retry_after(retry_after);
                    last = last.or_not_run(reason, retry_after);
                    if offers.addresses.len() >= MAX_OFFERS {
                        return last.with_retry_after(offers);
                    }
                }
                AttemptOutcome::Unknown { reason, .. } => {
                    offers.reached += 1;
                    let late = Instant::now() >= request.deadline;
                    if !matches!(last, RequestOutcome::Answered(_)) {
                        last = RequestOutcome::Unknown { reason, late };
                    }
                    let retry = request.route.idempotent
                        && !late
                        && self.may_reach_another(request, offers, PreviousAttempt::MayHaveRun);
                    if !retry {
                        return last;
                    }
                }
            }
        }
    }

    /// The wanted and the longest wait for a slot of a target: with the former the response can be
    /// expected within the route's latency objective, with the latter by the request's deadline.
    fn queue_waits_ms(&self, view: &View, request: &Request<'_>, target: &Target) -> (u32, u32) {
        let now = Instant::now();
        let expected_work = self.expected_work(view, request, target);
        let objective = request.route.objective;
        let left_before_work =
            |deadline: Instant| deadline.saturating_duration_since(now + expected_work);
        // If the process ends before the deadline, a waiting request is refused while it can still be.
        let limit = self.response_limit();
        let deadline = limit.map_or(request.deadline, |limit| limit.min(request.deadline));
        let latest = left_before_work(deadline);
        let wanted =
            left_before_work((request.started + objective) - expected_work.mul_f64(LATENCY_MARGIN))
                .max(objective.mul_f64(MIN_WAIT_FRACTION))
                .min(latest);
        let ms = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        (ms(wanted), ms(latest))
    }

    /// Whether a response can be expected before this process ends.
    fn has_time_before_end(&self, request: &Request<'_>) -> bool {
        let typical = self.targets.typical_latency(&request.route.name);
        let expected = Instant::now() + typical.unwrap_or_default();
        self.response_limit().is_none_or(|limit| expected < limit)
    }

    /// Until when a response can be sent on before this process ends; `None` until it has been told
    /// to stop.
    fn response_limit(&self) -> Option<Instant> {
        self.context.end().map(|end| end - SHUTDOWN_MARGIN)
    }

    /// Whether another target can be expected to answer by the deadline.
    fn has_time_for_another(&self, request: &Request<'_>) -> bool {
        let typical = self
            .targets
            .typical_latency(&request.route.name)
            .unwrap_or_default();
        Instant::now() + typical < request.deadline
    }

    /// Whether a request that may have reached a target may go to another one.
    fn may_reach_another(
        &self,
        request: &Request<'_>,
        offers: &Offers,
        previous: PreviousAttempt,
    ) -> bool {
        offers.reached < request.route.max_attempts
            && offers.addresses.len() < MAX_OFFERS
            && self.with_budget(request.service, |budget| {
                budget.try_spend(Instant::now(), previous)
            })
    }

    fn with_budget<T>(&self, service: &str, work: impl FnOnce(&mut Budget) -> T) -> T {
        let settings = self.context.settings();
        // The slack is configured for all nodes together; each uses an equal part of it.
        let nodes = self.context.view().nodes.len().max(1) as f64;
        let limits = Limits {
            ratio: settings.retry_ratio * RETRY_BUDGET_FRACTION,
            slack: settings.retry_slack * RETRY_BUDGET_FRACTION / nodes,
            window: settings.retry_window,
        };
        let mut budgets = self.budgets.lock().expect("budgets lock");
        let budget = match budgets.get_mut(service) {
            Some(budget) => budget,
            None => budgets
                .entry(service.to_owned())
                .or_insert_with(|| Budget::new(limits)),
        };
        budget.set_limits(limits);
        work(budget)
    }
}

impl RequestOutcome {
    /// The outcome after another target did not run the request: unchanged if an earlier target may have
    /// run it.
    fn or_not_run(self, reason: &'static str, retry_after: Duration) -> Self {
        match self {
            Self::NotRun { .. } => Self::NotRun {
                reason,
                retry_after,
            },
            other => other,
        }
    }

    /// The outcome of a request that is offered to no further target, since it cannot be answered in time.
    fn or_given_up(self, offers: &Offers) -> Self {
        let reason = "it cannot be answered in time";
        self.or_not_run(reason, Duration::ZERO)
            .with_retry_after(offers)
    }

    /// Replaces the retry delay of a request that was not run by the shortest that a target asked for.
    fn with_retry_after(self, offers: &Offers) -> Self {
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => Self::NotRun {
                reason,
                retry_after: offers.retry_after.unwrap_or(retry_after),
            },
            other => other,
        }
    }
}

impl Offers {
    /// Whether a target had no room for the request.
    pub fn found_no_room(&self) -> bool {
        self.retry_after.is_some_and(|delay| !delay.is_zero())
    }

    fn record_retry_after(&mut self, retry_after: Duration) {
        let shortest = self.retry_after.unwrap_or(Duration::MAX);
        self.retry_after = Some(shortest.min(retry_after));
    }
}

/// Whether an attempt did not run the request.
fn was_not_run(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered(response) => is_not_run(response),
        AttemptOutcome::NotRun { .. } => true,
        AttemptOutcome::Unknown { .. } => false,
    }
}

/// Whether a response says that the target did not run the request.
pub(super) fn is_not_run(response: &WholeResponse) -> bool {
    let names = response
        .head
        .headers
        .iter()
        .map(|header| header.name.as_str());
    request::says_not_run(response.head.status, names)
}
