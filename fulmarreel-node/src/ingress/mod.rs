//! Calls from callers, over HTTP.

mod answer;
mod claim;
mod exchange;
mod listen;
mod load;
mod request;
mod respond;
mod route;

pub use listen::listen;
pub use request::{ATTEMPT_HEADER, DEADLINE_HEADER, DEPTH_HEADER, IDEMPOTENCY_HEADER};
pub use respond::OUTCOME_HEADER;

use crate::{
    peer::{Identity, Pool},
    rollout::{self, Moves},
    state::State,
    telemetry::{
        Decision,
        decision::Kind,
        metrics::{self, Outcome},
    },
    transport::Watcher,
};
use claim::{Claims, Refusal};
use exchange::{Answer, Exchange};
use fulmarreel_balance::{
    Budget,
    budget::{Cause, Options},
};
use fulmarreel_call::retry::{self, End, Next};
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

/// Names the service that a call is for; the host's first label where it is missing.
pub const SERVICE_HEADER: &str = "x-fulmarreel-service";

/// Pause before a call that was never sent goes to a target that was tried before.
const SAME_TARGET_PAUSE: Duration = Duration::from_millis(50);

/// The lowest HTTP status that says the target failed.
const FIRST_SERVER_ERROR: u16 = 500;

/// What the handler of callers' requests works with.
#[derive(Debug)]
pub struct Ingress {
    state: Arc<State>,
    moves: Arc<Moves>,
    pool: Arc<Pool>,
    loads: Arc<Loads>,
    claims: Arc<Claims>,
    budgets: Mutex<HashMap<String, Budget>>,
    next_sequence: AtomicU64,
    http: Arc<HttpContext>,
    /// Closed when callers are no longer accepted.
    accepting: (Sender<()>, Receiver<()>),
    in_flight: AtomicUsize,
}

/// A call that is counted as in flight until dropped.
struct Counted<'a>(&'a AtomicUsize);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Ingress {
    /// A handler for calls that are routed by `state`.
    pub fn new(state: Arc<State>, moves: Arc<Moves>) -> Self {
        let own = Identity {
            address: state.settings.advertise,
            boot: state.boot,
        };
        let pool = Arc::new(Pool::new(own));
        let watched = Arc::clone(&pool);
        crate::runtime::spawn(async move { watched.watch().await });
        Self {
            claims: Arc::new(Claims::new(&state.settings, state.boot)),
            state,
            moves,
            pool,
            loads: Arc::default(),
            budgets: Mutex::default(),
            next_sequence: AtomicU64::new(1),
            http: Arc::default(),
            accepting: bounded(1),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Calls whose answer's head has not been sent.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Accepts no further callers, and lets those that are connected go after their next answer.
    pub fn close(&self) {
        self.accepting.0.close();
    }

    /// Closes the connections on which no call runs.
    pub fn close_idle(&self) {
        self.http.swansong().shut_down();
    }

    async fn closing(&self) {
        let _ = self.accepting.1.recv().await;
    }

    /// Serves one request.
    pub async fn handle(&self, conn: Conn, watcher: &Watcher) -> Conn {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let _counted = Counted(&self.in_flight);
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
        let Some(mut destination) = route::resolve(&view, &self.moves, &request) else {
            let reason = "no active document has this route";
            return respond::refuse(conn, Status::NotFound, reason);
        };
        let request = request.with_timeout(destination.route.timeout());
        if let Some(key) = &request.idempotency_key
            && !destination.route.idempotent()
        {
            if watcher.while_there(future::ready(())).await.is_none() {
                return conn.halt();
            }
            let answer = self.answer_once(&mut destination, &request, key).await;
            self.log_end(&destination, &request, &answer);
            return respond::respond(conn, answer);
        }
        let answer = self.answer(&mut destination, &request);
        match watcher.while_there(answer).await {
            Some(answer) => {
                self.log_end(&destination, &request, &answer);
                respond::respond(conn, answer)
            }
            None => conn
                .with_response_header(KnownHeaderName::Connection, "close")
                .halt(),
        }
    }

    /// Sends a call whose key was not claimed before. It goes on if its caller hangs up, since the
    /// claim has to be released where the call is not run.
    async fn answer_once(
        &self,
        destination: &mut Destination<'_>,
        request: &Request,
        key: &str,
    ) -> Answer {
        let service = destination.service.document.service().as_str();
        let claim = match self.claims.take(service, key).await {
            Ok(claim) => claim,
            Err(Refusal::Repeated) => return Answer::Repeated,
            Err(Refusal::Unavailable) => {
                return Answer::not_run("the store cannot say whether the key was used before");
            }
        };
        let answer = self.answer(destination, request).await;
        if matches!(answer, Answer::NotRun { .. }) {
            self.claims.release_now(claim).await;
        }
        answer
    }

    /// Sends a call to one target after the other, as the rules of [`retry`] allow; only the first
    /// may be of a version that traffic moves to.
    async fn answer(&self, destination: &mut Destination<'_>, request: &Request) -> Answer {
        let mut tried = Vec::new();
        let mut last = Answer::not_run("no target is known");
        self.budget(destination, |budget| budget.earn(Instant::now()));
        loop {
            let Some(target) = self.choose_again(destination, &tried).await else {
                return last;
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
            let answer = exchange.run().await;
            tried.push(target);
            let (end, lost) = match answer {
                Ok(answer @ (Answer::Whole { .. } | Answer::Streamed { .. })) => {
                    Self::observe(destination, request, &answer);
                    return answer;
                }
                Ok(Answer::NotRun { end, reason }) => {
                    last = Answer::NotRun { end, reason };
                    (end, None)
                }
                Ok(answer @ (Answer::Unknown { .. } | Answer::Repeated)) => {
                    last = answer;
                    (End::Unknown, None)
                }
                Err(lost) => (End::Unknown, Some(lost)),
            };
            let again = !request.is_late() && self.may_retry(destination, request, &tried, end);
            match lost {
                Some(lost) if !again => match exchange.settle(lost).await {
                    Answer::NotRun { end, reason } => {
                        last = Answer::NotRun { end, reason };
                        if !self.may_retry(destination, request, &tried, end) {
                            return last;
                        }
                    }
                    settled => {
                        Self::observe(destination, request, &settled);
                        return settled;
                    }
                },
                Some(_) => last = Answer::unknown("the connection to the target's node was lost"),
                None => {
                    Self::observe(destination, request, &last);
                    if !again {
                        return last;
                    }
                }
            }
            destination.prefer_old();
        }
    }

    fn choose(&self, destination: &Destination<'_>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let candidates = destination.candidates();
        let usable = candidates.filter(|candidate| {
            !tried.contains(&candidate.address) && !self.pool.is_leaving(candidate.address)
        });
        self.loads.choose(usable, &self.state.settings)
    }

    /// Chooses an untried target, else after a pause one that was tried.
    async fn choose_again(
        &self,
        destination: &Destination<'_>,
        tried: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let untried = self.choose(destination, tried);
        if untried.is_some() || tried.is_empty() {
            return untried;
        }
        Timer::after(SAME_TARGET_PAUSE).await;
        self.choose(destination, &[])
    }

    fn may_retry(
        &self,
        destination: &Destination<'_>,
        request: &Request,
        tried: &[SocketAddr],
        end: End,
    ) -> bool {
        let call = retry::Call {
            idempotent: destination.route.idempotent(),
            retried_above: request.attempt > 0,
            attempts: tried.len() as u8,
        };
        let cause = match end {
            End::Unknown => Cause::Run,
            _ => Cause::Rejected,
        };
        match retry::decide(call, end) {
            Next::Stop => false,
            Next::Retry => true,
            _ if self.choose(destination, tried).is_none() => false,
            Next::RetryOnBudget => {
                self.budget(destination, |budget| budget.spend(Instant::now(), cause))
            }
        }
    }

    fn budget<T>(&self, destination: &Destination<'_>, change: impl Fn(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        let service = destination.service.document.service().as_str();
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        let budget = Budget::new(Options::default());
        change(budgets.entry(service.to_owned()).or_insert(budget))
    }

    /// Hands an end to whoever compares versions.
    fn observe(destination: &Destination<'_>, request: &Request, answer: &Answer) {
        let end = match answer {
            Answer::Whole { head, .. } | Answer::Streamed { head, .. } => rollout::End {
                failed: head.status >= FIRST_SERVER_ERROR,
                target_micros: head.target_micros.into(),
            },
            Answer::Unknown {
                at_target: true, ..
            } => rollout::End {
                failed: true,
                target_micros: request.elapsed().as_micros() as u64,
            },
            Answer::Unknown { .. } | Answer::NotRun { .. } | Answer::Repeated => return,
        };
        destination.finish(end);
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

    fn log_end(&self, destination: &Destination<'_>, request: &Request, answer: &Answer) {
        let service = destination.service.document.service().as_str();
        let (outcome, kind) = match answer {
            Answer::Whole { .. } | Answer::Streamed { .. } => (Outcome::Answered, None),
            Answer::NotRun { .. } | Answer::Repeated => (Outcome::NotRun, Some(Kind::Refuse)),
            Answer::Unknown { .. } => (Outcome::Unknown, Some(Kind::GiveUp)),
        };
        metrics::call_ended(
            service,
            destination.version.as_str(),
            outcome,
            request.elapsed(),
        );
        if let (Some(kind), Some(reason)) = (kind, answer.reason()) {
            Decision {
                version: Some(destination.version.as_str()),
                revision: Some(destination.service.revision),
                ..Decision::new(kind, service, reason)
            }
            .log();
        }
    }
}
