//! The choice of a target for an attempt, and what the attempt's outcome says about the target.

use super::{
    FIRST_SERVER_ERROR, MIN_RETRY_AFTER, Request, RequestHandler, eligible,
    offer::{Offers, is_not_run},
};
use crate::mesh::{
    exchange::AttemptOutcome,
    takeover::{CallTracker, OutgoingCall, TargetOutcome, VersionChoice},
    view::{Target, View},
};
use fulmarreel_balance::{
    choice::Tier,
    placement::{self, Candidate},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// The longest time for which a target is avoided after it refused a request with a retry delay, as
/// overloaded targets do.
const MAX_OVERLOADED_PAUSE: Duration = Duration::from_millis(300);

/// How long a target is avoided after it refused a request without a retry delay, for example as it
/// leaves.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(1_000);

/// The expected size of a response on a route that has had none, in kilobytes.
const DEFAULT_RESPONSE_KILOBYTES: f64 = 2.0;

/// The weight of the newest response in the moving average of a route's response size.
const RESPONSE_SIZE_WEIGHT: f64 = 0.1;

impl RequestHandler {
    /// Chooses the target of a request's next attempt among those that it was not offered to yet.
    pub(super) fn choose_target(
        &self,
        view: &View,
        request: &Request<'_>,
        offers: &Offers,
    ) -> Option<(Arc<Target>, VersionChoice)> {
        let eligible = eligible::targets(view, request);
        let is_first_attempt = offers.addresses.is_empty();
        let version_choice =
            self.rollouts
                .choose(request.service, view, &eligible, is_first_attempt);
        let untried = || {
            let eligible = eligible.iter().copied();
            eligible.filter(|target| !offers.addresses.contains(&target.address))
        };
        let allowed = |target: &&Arc<Target>| version_choice.allows(&target.version);
        let mut usable: Vec<&Arc<Target>> = untried().filter(allowed).collect();
        usable.retain(|target| !self.pool.is_leaving(target.address));
        if usable.is_empty() {
            usable = untried().filter(allowed).collect();
        }
        // No request waits for an unreachable node: a task of its own probes it until it is back.
        usable.retain(|target| !self.targets.is_unreachable(target.address));
        self.cold_targets
            .remove_used_up(view, request.service, offers, &mut usable);
        let to_candidate = |target: &&Arc<Target>| self.candidate(target, request);
        let mut candidates: Vec<Candidate> = usable.iter().map(to_candidate).collect();
        if !offers.addresses.is_empty() {
            // Traffic to other regions costs money: a retry skips targets there that refused recently.
            let is_worth_trying =
                |candidate: &Candidate| !(candidate.avoided && candidate.tier == Tier::OtherRegion);
            usable = usable
                .iter()
                .zip(&candidates)
                .filter(|(_, candidate)| is_worth_trying(candidate))
                .map(|(target, _)| *target)
                .collect();
            candidates.retain(is_worth_trying);
        }
        let now = Instant::now();
        let objective = request.started + request.route.objective;
        let placement_request = placement::Request {
            until_objective: objective.saturating_duration_since(now),
            until_deadline: request.deadline.saturating_duration_since(now),
            kilobytes: self.expected_kilobytes(request),
        };
        let chosen = if self.is_uneven(view) {
            self.choose_uneven(
                view,
                request,
                offers,
                &usable,
                &candidates,
                &placement_request,
            )?
        } else {
            placement::choose(&candidates, &placement_request, &mut fastrand::Rng::new())?
        };
        Some((Arc::clone(usable[chosen]), version_choice))
    }

    fn candidate(&self, target: &Target, request: &Request<'_>) -> Candidate {
        let mut candidate = self.targets.candidate(target, request.route);
        if candidate.tier == Tier::SameZone
            && target.address == self.context.settings().peer_address
        {
            candidate.load = u32::from(self.server.load().0);
        }
        candidate
    }

    /// The expected size of the request's and the response's bodies.
    fn expected_kilobytes(&self, request: &Request<'_>) -> f64 {
        let kilobytes = self.response_kilobytes.lock().expect("sizes lock");
        let response = kilobytes.get(&request.route.name).copied();
        response.unwrap_or(DEFAULT_RESPONSE_KILOBYTES) + request.body.len() as f64 / 1024.0
    }

    /// Starts to count a request for the service's rollout, if it has one.
    pub(super) fn track_call<'a>(
        &'a self,
        request: &'a Request<'_>,
        target: &Target,
        version_choice: &VersionChoice,
    ) -> Option<CallTracker<'a>> {
        let route = request.route.name.as_str();
        let call = OutgoingCall {
            route,
            typical_latency: self.targets.typical_latency(route),
            target_age: self.targets.known_for(target.address),
        };
        self.rollouts
            .track_call(request.service, version_choice, &call)
    }

    /// Records what an attempt says about its target and about the version that the target runs.
    pub(super) fn record_attempt(
        &self,
        request: &Request<'_>,
        target: &Target,
        tracker: Option<CallTracker<'_>>,
        outcome: &AttemptOutcome,
    ) {
        let route = request.route.name.as_str();
        let address = target.address;
        match outcome {
            AttemptOutcome::Answered(response) => {
                self.targets.set_reachable(address, true);
                self.targets
                    .record_load(address, u32::from(response.head.in_flight));
                self.targets
                    .zones
                    .record(request.service, target, response.head.in_flight);
                let is_answered = !is_not_run(response);
                let succeeded = is_answered && response.head.status < FIRST_SERVER_ERROR;
                let latency = Duration::from_micros(u64::from(response.head.target_micros));
                let took = succeeded.then_some(latency);
                let headers = &response.head.headers;
                self.targets
                    .speeds
                    .record(target, route, request.service, headers, took);
                if !is_answered {
                    finish(tracker, TargetOutcome::NotRun);
                    return self.targets.record_failure(address);
                }
                let failed = !succeeded;
                finish(
                    tracker,
                    if failed {
                        TargetOutcome::Failed
                    } else {
                        TargetOutcome::Answered(latency)
                    },
                );
                self.targets.record_run(address, route, latency, failed);
                if !failed {
                    self.record_crossing(request, response.body.len());
                    let kilobytes = response.body.len() as f64 / 1024.0;
                    let mut means = self.response_kilobytes.lock().expect("sizes lock");
                    let mean = means.entry(route.to_owned()).or_insert(kilobytes);
                    *mean += (kilobytes - *mean) * RESPONSE_SIZE_WEIGHT;
                }
            }
            AttemptOutcome::NotRun {
                reached,
                retry_after,
                ..
            } => {
                finish(tracker, TargetOutcome::NotRun);
                self.targets.set_reachable(address, *reached);
                let pause = if retry_after.is_zero() {
                    UNAVAILABLE_PAUSE
                } else {
                    self.targets.zones.record_refusal(request.service, target);
                    (*retry_after).clamp(MIN_RETRY_AFTER, MAX_OVERLOADED_PAUSE)
                };
                self.targets.avoid_until(address, Instant::now() + pause);
            }
            AttemptOutcome::Unknown { at_target, .. } => {
                self.targets.record_failure(address);
                if *at_target {
                    finish(tracker, TargetOutcome::Failed);
                }
            }
        }
    }
}

fn finish(tracker: Option<CallTracker<'_>>, outcome: TargetOutcome) {
    if let Some(tracker) = tracker {
        tracker.finish(outcome);
    }
}
