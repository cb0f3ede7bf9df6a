//! Offers a request to targets, as its kind, its route and the budget of repeats allow.

use super::{Caller, FIRST_SERVER_ERROR, Request};
use crate::{
    mesh::{
        exchange::{Attempt, Exchange},
        view::Target,
    },
    serve::session::Kept,
    telemetry::metrics,
};
use fulmarreel_balance::{
    Budget,
    budget::{Cause, Options},
};
use fulmarreel_platform::request;
use fulmarreel_wire::call::Open;
use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// Nodes that one request is offered to at most, those that refuse it included.
const MAX_OFFERS: usize = 4;

/// The part of a service's repeats that this design allows itself of those that are granted.
const RETRY_PART: f64 = 0.5;

/// Time before a process's end at which it refuses what still waits for a slot.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(600);

/// The part of its objective within which a request wants a slot at the least.
const MIN_QUEUE_PART: f64 = 0.2;

/// The part of its usual time that a request may take beyond that, in how long it waits for a slot.
const SPREAD: f64 = 1.0;

/// How a request ended.
pub(super) enum End {
    Answered(Kept),
    /// Not run, and never will be.
    NotRun {
        reason: &'static str,
        retry_after: Duration,
    },
    /// It may have run.
    Unknown {
        reason: &'static str,
        /// Whether its time is over.
        late: bool,
    },
}

/// What the targets that were tried have said.
#[derive(Default)]
pub(super) struct Tried {
    pub addresses: Vec<SocketAddr>,
    /// How many may have begun to work on it.
    pub reached: u32,
    /// The version of the last one.
    pub version: String,
    /// The shortest time after which one may take it.
    retry_after: Option<Duration>,
}

impl Caller {
    /// Offers a request to one target after the other, as its kind, its route and the budget of
    /// repeats allow.
    pub(super) async fn answer(
        &self,
        request: &Request<'_>,
        mut open: Open,
        tried: &mut Tried,
    ) -> End {
        let mut last = End::NotRun {
            reason: "no target is known",
            retry_after: Duration::ZERO,
        };
        self.budget(request.service, |budget| budget.earn(Instant::now()));
        loop {
            let view = self.context.view();
            let chosen = self.choose(&view, request, tried);
            let Some((target, version_choice)) = chosen else {
                return last.hinted(tried);
            };
            if !tried.addresses.is_empty() {
                metrics::call_retried(request.service);
            }
            tried.addresses.push(target.address);
            open.sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
            open.version.clone_from(&target.version);
            tried.version.clone_from(&target.version);
            let left = request.limit.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return last.hinted(tried);
            }
            open.remaining_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            (open.wanted_ms, open.latest_ms) = self.queue_deadlines(request, &target);
            let exchange = Exchange {
                server: &self.server,
                pool: &self.pool,
                targets: &self.targets,
                target: &target,
                own: self.context.settings().peers,
                limit: request.limit,
            };
            let flight = self.targets.begin(target.address);
            let tracker = self.track_call(request, &target, &version_choice);
            let attempt = exchange.run(&open, request.body).await;
            drop(flight);
            self.observe(request, &target, tracker, &attempt);
            match attempt {
                Attempt::Answered(kept) if is_not_run(&kept) => {
                    tried.reached += 1;
                    last = last.or_not_run("the target did not run it", Duration::ZERO);
                    if !self.may_reach_another(request, tried, Cause::Rejected) {
                        return last.hinted(tried);
                    }
                }
                Attempt::Answered(kept) => {
                    tried.reached += 1;
                    let failed = kept.head.status >= FIRST_SERVER_ERROR;
                    let again = failed
                        && request.route.idempotent
                        && self.is_worth_another(request)
                        && self.may_reach_another(request, tried, Cause::Run);
                    last = End::Answered(kept);
                    if !again {
                        return last;
                    }
                }
                Attempt::NotRun {
                    reason,
                    retry_after,
                    ..
                } => {
                    tried.hint(retry_after);
                    last = last.or_not_run(reason, retry_after);
                    if tried.addresses.len() >= MAX_OFFERS {
                        return last.hinted(tried);
                    }
                }
                Attempt::Unknown { reason, .. } => {
                    tried.reached += 1;
                    let late = Instant::now() >= request.limit;
                    if !matches!(last, End::Answered(_)) {
                        last = End::Unknown { reason, late };
                    }
                    let again = request.route.idempotent
                        && !late
                        && self.may_reach_another(request, tried, Cause::Run);
                    if !again {
                        return last;
                    }
                }
            }
        }
    }

    /// Within how many milliseconds a request wants a slot of a target, and after how many it no
    /// longer waits: by when its answer can be expected within its objective, and within its limit.
    fn queue_deadlines(&self, request: &Request<'_>, target: &Target) -> (u32, u32) {
        let now = Instant::now();
        let work = self.targets.candidate(target, request.route).work;
        let objective = request.route.objective;
        let left = |until: Instant| until.saturating_duration_since(now + work);
        // Where the process ends before, what waits is refused while that can still be said.
        let end = self.context.end().map(|end| end - SHUTDOWN_MARGIN);
        let limit = end.map_or(request.limit, |end| end.min(request.limit));
        let latest = left(limit);
        let wanted = left((request.started + objective) - work.mul_f64(SPREAD))
            .max(objective.mul_f64(MIN_QUEUE_PART))
            .min(latest);
        let ms = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        (ms(wanted), ms(latest))
    }

    /// Whether there is time for a further target to answer.
    fn is_worth_another(&self, request: &Request<'_>) -> bool {
        let usual = self.targets.usual(&request.route.name).unwrap_or_default();
        Instant::now() + usual < request.limit
    }

    /// Whether a request may go to a further target after one that it may have reached.
    fn may_reach_another(&self, request: &Request<'_>, tried: &Tried, cause: Cause) -> bool {
        tried.reached < request.route.max_attempts
            && tried.addresses.len() < MAX_OFFERS
            && self.budget(request.service, |budget| {
                budget.spend(Instant::now(), cause)
            })
    }

    fn budget<T>(&self, service: &str, work: impl FnOnce(&mut Budget) -> T) -> T {
        let settings = self.context.settings();
        // Each node takes its part of what all may spend.
        let nodes = self.context.view().nodes.len().max(1) as f64;
        let options = Options {
            ratio: settings.retry_ratio * RETRY_PART,
            slack: settings.retry_slack * RETRY_PART / nodes,
            window: settings.retry_window,
        };
        let mut budgets = self.budgets.lock().expect("budgets lock");
        let budget = match budgets.get_mut(service) {
            Some(budget) => budget,
            None => budgets
                .entry(service.to_owned())
                .or_insert_with(|| Budget::new(options)),
        };
        budget.set_options(options);
        work(budget)
    }
}

impl End {
    /// The end after a further target did not run the request; where an earlier one may have, "not
    /// run" would not be true.
    fn or_not_run(self, reason: &'static str, retry_after: Duration) -> Self {
        match self {
            Self::NotRun { .. } => Self::NotRun {
                reason,
                retry_after,
            },
            other => other,
        }
    }

    /// Tells the caller when to come back, from what the targets said.
    fn hinted(self, tried: &Tried) -> Self {
        match self {
            Self::NotRun {
                reason,
                retry_after,
            } => Self::NotRun {
                reason,
                retry_after: tried.retry_after.unwrap_or(retry_after),
            },
            other => other,
        }
    }
}

impl Tried {
    fn hint(&mut self, retry_after: Duration) {
        let known = self.retry_after.unwrap_or(Duration::MAX);
        self.retry_after = Some(known.min(retry_after));
    }
}

/// Whether an answer says that the target did not run the request.
pub(super) fn is_not_run(kept: &Kept) -> bool {
    let names = kept.head.headers.iter().map(|header| header.name.as_str());
    request::is_not_run(kept.head.status, names)
}
