//! Accepts calls from callers over HTTP and sends them to targets.

mod claim;
mod exchange;
mod listen;
mod load;
mod request;
mod respond;
mod route;
mod streamed_body;

pub use listen::{close, listen};
pub use request::{ATTEMPT_HEADER, DEADLINE_HEADER, DEPTH_HEADER, IDEMPOTENCY_HEADER};
pub use respond::OUTCOME_HEADER;

use crate::{
    peer::{Identity, Pool},
    rollout::{self, Rollouts},
    state::State,
    telemetry::{
        Decision,
        decision::Kind,
        metrics::{self, Outcome},
    },
    transport::Watcher,
};
use claim::{ClaimError, Claims};
use exchange::{CallOutcome, Exchange};
use fulmarreel_balance::{
    Budget,
    budget::{Limits, PreviousAttempt},
};
use fulmarreel_call::retry::{self, FailedAttempt};
use load::Loads;
use request::Request;
use route::Destination;
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};
use std::{
    collections::HashMap,
    future,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use trillium::{Conn, KnownHeaderName, Status};
use trillium_http::HttpContext;

/// Names the service that a call is for; without it, the first label of the host names the service.
pub const SERVICE_HEADER: &str = "x-fulmarreel-service";

/// Pause before a call whose attempt ended as [`FailedAttempt::Unsent`] is sent again to a target
/// that was tried before.
const SAME_TARGET_PAUSE: Duration = Duration::from_millis(50);

/// The lowest HTTP status that counts as a failure of the target.
const FIRST_SERVER_ERROR: u16 = 500;

/// Handles callers' requests.
#[derive(Debug)]
pub struct Ingress {
    state: Arc<State>,
    rollouts: Arc<Rollouts>,
    pool: Arc<Pool>,
    loads: Arc<Loads>,
    claims: Arc<Claims>,
    budgets: Mutex<HashMap<String, Budget>>,
    next_sequence: AtomicU64,
    http: Arc<HttpContext>,
    /// Channel that carries nothing; it is closed when no further callers are accepted.
    accepting: (Sender<()>, Receiver<()>),
    in_flight: AtomicUsize,
}

/// Counts a call as in flight until dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Ingress {
    /// Creates a handler that routes calls by the documents and targets in `state`.
    pub fn new(state: Arc<State>, rollouts: Arc<Rollouts>) -> Self {
        let own = Identity {
            address: state.settings.advertise,
            started_at_ms: state.started_at_ms,
        };
        let pool = Arc::new(Pool::new(own));
        let watched_pool = Arc::clone(&pool);
        crate::runtime::spawn(async move { watched_pool.close_silent_connections().await });
        Self {
            claims: Arc::new(Claims::new(&state.settings, state.started_at_ms)),
            state,
            rollouts,
            pool,
            loads: Arc::default(),
            budgets: Mutex::default(),
            next_sequence: AtomicU64::new(1),
            http: Arc::default(),
            accepting: bounded(1),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// The number of calls for which the head of the response has not been sent.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Accepts no further callers, and closes each open connection after its next response.
    pub fn close(&self) {
        self.accepting.0.close();
    }

    /// Closes the callers' connections on which no call runs.
    pub fn close_idle(&self) {
        self.http.swansong().shut_down();
    }

    async fn closed(&self) {
        let _ = self.accepting.1.recv().await;
    }

    /// Serves one request.
    pub async fn handle(&self, conn: Conn, watcher: &Watcher) -> Conn {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _guard = InFlightGuard(&self.in_flight);
        let conn = self.serve(conn, watcher).await;
        if self.accepting.0.is_closed() {
            return conn.with_response_header(KnownHeaderName::Connection, "close");
        }
        conn
    }

    async fn serve(&self, mut conn: Conn, watcher: &Watcher) -> Conn {
        let limit = self.state.settings.limits.request_bytes;
        let request = match Request::read(&mut conn, watcher, limit).await {
            Ok(request) => request,
            Err(error) => return respond::refuse(conn, Status::BadRequest, &error.to_string()),
        };
        let view = self.state.view();
        let Some(mut destination) = route::resolve(&view, &self.rollouts, &request) else {
            let reason = "no active document has this route";
            return respond::refuse(conn, Status::NotFound, reason);
        };
        let request = request.with_timeout(destination.route.timeout());
        if let Some(key) = &request.idempotency_key
            && !destination.route.idempotent()
        {
            if watcher.while_connected(future::ready(())).await.is_none() {
                return conn.halt();
            }
            let outcome = self.send_keyed(&mut destination, &request, key).await;
            self.log_end(&destination, &request, &outcome);
            return respond::respond(conn, outcome, watcher);
        }
        let outcome = self.send_with_retries(&mut destination, &request);
        match watcher.while_connected(outcome).await {
            Some(outcome) => {
                self.log_end(&destination, &request, &outcome);
                respond::respond(conn, outcome, watcher)
            }
            None => conn
                .with_response_header(KnownHeaderName::Connection, "close")
                .halt(),
        }
    }

    /// Sends a call if its idempotency key was not claimed before. It goes on if its caller
    /// disconnects, since the claim has to be released if the call is not run.
    async fn send_keyed(
        &self,
        destination: &mut Destination<'_>,
        request: &Request,
        key: &str,
    ) -> CallOutcome {
        let service = destination.service.document.service().as_str();
        let claim = match self.claims.claim(service, key).await {
            Ok(claim) => claim,
            Err(ClaimError::Repeated) => return CallOutcome::Repeated,
            Err(ClaimError::Unavailable) => {
                return CallOutcome::not_run(
                    "the store cannot say whether the key was used before",
                );
            }
        };
        let outcome = self.send_with_retries(destination, request).await;
        if matches!(outcome, CallOutcome::NotRun { .. }) {
            self.claims.release(claim).await;
        }
        outcome
    }

    /// Sends a call to one target after the other, as the rules of [`retry`] allow. Only the first
    /// target may run a rollout's new version.
    async fn send_with_retries(
        &self,
        destination: &mut Destination<'_>,
        request: &Request,
    ) -> CallOutcome {
        let mut tried = Vec::new();
        let mut last_outcome = CallOutcome::not_run("no target is known");
        self.with_budget(destination, |budget| budget.record_request(Instant::now()));
        loop {
            let Some(target) = self.choose_next_target(destination, &tried).await else {
                return last_outcome;
            };
            let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
            self.log_route(destination, sequence, target, tried.len());
            let exchange = Exchange {
                state: &self.state,
                pool: &self.pool,
                loads: &self.loads,
                target,
                sequence,
                destination,
                request,
                attempt: tried.len() as u8,
            };
            let outcome = exchange.run().await;
            tried.push(target);
            let (end, lost) = match outcome {
                Ok(outcome @ (CallOutcome::Whole { .. } | CallOutcome::Streamed { .. })) => {
                    Self::report_to_rollout(destination, request, &outcome);
                    return outcome;
                }
                Ok(CallOutcome::NotRun { end, reason }) => {
                    last_outcome = CallOutcome::NotRun { end, reason };
                    (end, None)
                }
                Ok(outcome @ (CallOutcome::Unknown { .. } | CallOutcome::Repeated)) => {
                    last_outcome = outcome;
                    (FailedAttempt::Unknown, None)
                }
                Err(lost) => (FailedAttempt::Unknown, Some(lost)),
            };
            let may_retry =
                !request.is_past_deadline() && self.may_retry(destination, request, &tried, end);
            match lost {
                Some(lost) if !may_retry => match exchange.query_outcome(lost).await {
                    CallOutcome::NotRun { end, reason } => {
                        last_outcome = CallOutcome::NotRun { end, reason };
                        if !self.may_retry(destination, request, &tried, end) {
                            return last_outcome;
                        }
                    }
                    resolved => {
                        Self::report_to_rollout(destination, request, &resolved);
                        return resolved;
                    }
                },
                Some(_) => {
                    last_outcome =
                        CallOutcome::unknown("the connection to the target's node was lost");
                }
                None => {
                    Self::report_to_rollout(destination, request, &last_outcome);
                    if !may_retry {
                        return last_outcome;
                    }
                }
            }
            destination.fall_back_to_old_version();
        }
    }

    fn choose_target(
        &self,
        destination: &Destination<'_>,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let candidates = destination.candidates();
        let usable = candidates.filter(|candidate| {
            !tried.contains(&candidate.address) && !self.pool.is_leaving(candidate.address)
        });
        self.loads.choose(usable, &self.state.settings)
    }

    /// Chooses an untried target or, if there is none, after a pause one that was tried.
    async fn choose_next_target(
        &self,
        destination: &Destination<'_>,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let untried = self.choose_target(destination, tried);
        if untried.is_some() || tried.is_empty() {
            return untried;
        }
        Timer::after(SAME_TARGET_PAUSE).await;
        self.choose_target(destination, &[])
    }

    fn may_retry(
        &self,
        destination: &Destination<'_>,
        request: &Request,
        tried: &[SocketAddr],
        end: FailedAttempt,
    ) -> bool {
        let call = retry::Call {
            idempotent: destination.route.idempotent(),
            is_upstream_retry: request.attempt > 0,
            attempts: tried.len() as u8,
        };
        let previous = match end {
            FailedAttempt::Unknown => PreviousAttempt::MayHaveRun,
            _ => PreviousAttempt::NotRun,
        };
        match retry::decide(call, end) {
            retry::Decision::Stop => false,
            retry::Decision::Retry => true,
            _ if self.choose_target(destination, tried).is_none() => false,
            retry::Decision::RetryOnBudget => self.with_budget(destination, |budget| {
                budget.try_spend(Instant::now(), previous)
            }),
        }
    }

    fn with_budget<T>(
        &self,
        destination: &Destination<'_>,
        update: impl Fn(&mut Budget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        let service = destination.service.document.service().as_str();
        if let Some(budget) = budgets.get_mut(service) {
            return update(budget);
        }
        let budget = Budget::new(Limits::default());
        update(budgets.entry(service.to_owned()).or_insert(budget))
    }

    /// Reports a call's result to the service's rollout, if it has one and the result tells anything
    /// about the version.
    fn report_to_rollout(destination: &Destination<'_>, request: &Request, outcome: &CallOutcome) {
        let result = match outcome {
            CallOutcome::Whole { head, .. } | CallOutcome::Streamed { head, .. } => {
                rollout::CallResult {
                    failed: head.status >= FIRST_SERVER_ERROR,
                    target_micros: head.target_micros.into(),
                }
            }
            CallOutcome::Unknown {
                at_target: true, ..
            } => rollout::CallResult {
                failed: true,
                target_micros: request.elapsed().as_micros() as u64,
            },
            CallOutcome::Unknown { .. } | CallOutcome::NotRun { .. } | CallOutcome::Repeated => {
                return;
            }
        };
        destination.finish(result);
    }

    fn log_route(
        &self,
        destination: &Destination<'_>,
        sequence: u64,
        target: SocketAddr,
        attempt: usize,
    ) {
        let (kind, reason) = match attempt {
            0 => (
                Kind::Route,
                "less loaded of two in the nearest tier with room",
            ),
            _ => (Kind::Retry, "the call may be sent again"),
        };
        let service = destination.service.document.service().as_str();
        if attempt > 0 {
            metrics::call_retried(service);
        }
        Decision {
            call: Some(sequence),
            version: Some(destination.version.as_str()),
            revision: Some(destination.service.revision),
            target: Some(target),
            ..Decision::new(kind, service, reason)
        }
        .log();
    }

    fn log_end(&self, destination: &Destination<'_>, request: &Request, outcome: &CallOutcome) {
        let service = destination.service.document.service().as_str();
        let (counted_as, kind) = match outcome {
            CallOutcome::Whole { .. } | CallOutcome::Streamed { .. } => (Outcome::Answered, None),
            CallOutcome::NotRun { .. } | CallOutcome::Repeated => {
                (Outcome::NotRun, Some(Kind::Refuse))
            }
            CallOutcome::Unknown { .. } => (Outcome::Unknown, Some(Kind::GiveUp)),
        };
        metrics::call_ended(
            service,
            destination.version.as_str(),
            counted_as,
            request.elapsed(),
        );
        if let (Some(kind), Some(reason)) = (kind, outcome.reason()) {
            Decision {
                version: Some(destination.version.as_str()),
                revision: Some(destination.service.revision),
                ..Decision::new(kind, service, reason)
            }
            .log();
        }
    }
}
