//! The target of a request, and what is learned of it.

use super::{
    Caller, FIRST_SERVER_ERROR, MIN_RETRY_AFTER, Request,
    answer::{Tried, is_not_run},
};
use crate::mesh::{
    exchange::Attempt,
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

/// How long a target is passed over that was full.
const MAX_AVOID: Duration = Duration::from_millis(300);

/// How long a target is passed over that takes no requests, such as one that leaves.
const GONE_PAUSE: Duration = Duration::from_millis(1_000);

/// Size of an answer that is expected where none was seen, in kilobytes.
const USUAL_KILOBYTES: f64 = 2.0;

/// Weight of the newest answer in a route's mean size.
const SIZE_WEIGHT: f64 = 0.1;

impl Caller {
    pub(super) fn choose(
        &self,
        view: &View,
        request: &Request<'_>,
        tried: &Tried,
    ) -> Option<(Arc<Target>, VersionChoice)> {
        let version_choice = self
            .moves
            .choose(request.service, view, tried.addresses.is_empty());
        let targets = view.targets(request.service);
        let untried = || {
            targets
                .iter()
                .filter(|target| !tried.addresses.contains(&target.address))
        };
        let allowed = |target: &&Arc<Target>| version_choice.allows(&target.version);
        let mut usable: Vec<&Arc<Target>> = untried().filter(allowed).collect();
        usable.retain(|target| !self.pool.is_leaving(target.address));
        if usable.is_empty() {
            usable = untried().filter(allowed).collect();
        }
        // Nobody waits for a node that could not be reached: it is probed apart from requests.
        usable.retain(|target| !self.targets.is_unreachable(target.address));
        let weigh = |target: &&Arc<Target>| self.candidate(target, request);
        let mut candidates: Vec<Candidate> = usable.iter().map(weigh).collect();
        if !tried.addresses.is_empty() {
            // Over the paid link nothing is tried that refused a moment ago.
            let worth =
                |candidate: &Candidate| !(candidate.avoided && candidate.tier == Tier::Remote);
            usable = usable
                .iter()
                .zip(&candidates)
                .filter(|(_, candidate)| worth(candidate))
                .map(|(target, _)| *target)
                .collect();
            candidates.retain(worth);
        }
        let now = Instant::now();
        let objective = request.started + request.route.objective;
        let wanted = placement::Request {
            objective: objective.saturating_duration_since(now),
            limit: request.limit.saturating_duration_since(now),
            kilobytes: self.kilobytes(request),
        };
        let chosen = placement::choose(&candidates, &wanted)?;
        Some((Arc::clone(usable[chosen]), version_choice))
    }

    fn candidate(&self, target: &Target, request: &Request<'_>) -> Candidate {
        let mut candidate = self.targets.candidate(target, request.route);
        if candidate.tier == Tier::Zone && target.address == self.context.settings().peers {
            candidate.load = u32::from(self.server.load().0);
        }
        candidate
    }

    fn kilobytes(&self, request: &Request<'_>) -> f64 {
        let sizes = self.sizes.lock().expect("sizes lock");
        let answer = sizes.get(&request.route.name).copied();
        answer.unwrap_or(USUAL_KILOBYTES) + request.body.len() as f64 / 1024.0
    }

    /// Starts to count a request for the service's move, if it has one.
    pub(super) fn track_call<'a>(
        &'a self,
        request: &'a Request<'_>,
        target: &Target,
        version_choice: &VersionChoice,
    ) -> Option<CallTracker<'a>> {
        let route = request.route.name.as_str();
        let call = OutgoingCall {
            route,
            typical_latency: self.targets.usual(route),
            target_age: self.targets.age(target.address),
        };
        self.moves
            .track_call(request.service, version_choice, &call)
    }

    /// Takes in what an attempt says of its target and of the version that it runs.
    pub(super) fn observe(
        &self,
        request: &Request<'_>,
        target: &Target,
        tracker: Option<CallTracker<'_>>,
        attempt: &Attempt,
    ) {
        let route = request.route.name.as_str();
        let address = target.address;
        match attempt {
            Attempt::Answered(kept) => {
                self.targets.reach(address, true);
                self.targets.report(address, u32::from(kept.head.in_flight));
                if is_not_run(kept) {
                    finish(tracker, TargetOutcome::NotRun);
                    return self.targets.fail(address);
                }
                let failed = kept.head.status >= FIRST_SERVER_ERROR;
                let took = Duration::from_micros(u64::from(kept.head.target_micros));
                finish(
                    tracker,
                    if failed {
                        TargetOutcome::Failed
                    } else {
                        TargetOutcome::Answered(took)
                    },
                );
                self.targets.end(address, route, took, failed);
                if !failed {
                    let size = kept.body.len() as f64 / 1024.0;
                    let mut sizes = self.sizes.lock().expect("sizes lock");
                    let mean = sizes.entry(route.to_owned()).or_insert(size);
                    *mean += (size - *mean) * SIZE_WEIGHT;
                }
            }
            Attempt::NotRun {
                reached,
                retry_after,
                ..
            } => {
                finish(tracker, TargetOutcome::NotRun);
                self.targets.reach(address, *reached);
                let pause = if retry_after.is_zero() {
                    GONE_PAUSE
                } else {
                    (*retry_after).clamp(MIN_RETRY_AFTER, MAX_AVOID)
                };
                self.targets.avoid(address, Instant::now() + pause);
            }
            Attempt::Unknown { at_target, .. } => {
                self.targets.fail(address);
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
