//! One attempt of a request at one target.
//!
//! A request for another node's target is sent over a pooled connection. If the connection is lost, the
//! outcome of a non-idempotent request is queried over a new one. A request for the own target goes to
//! [`Server`].

use super::{
    context::Context,
    credential::{Credential, MAY_BE_REVOKED, may_be_revoked},
    serve::{Admitted, Rejection, Server, request_id},
    targets::TargetStats,
    view::Target,
};
use crate::{
    peer::{Connection, Event, Pool},
    serve::session::WholeResponse,
};
use fulmarreel_wire::call::{
    self, Chunk, Failure, Frame, Head, MAX_CHUNK_BYTES, Open, Refusal, chunks,
};
use smol::{Timer, channel::Receiver, future::or};
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

/// How long a connection to another node may take to open before the attempt ends as not run.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long past its deadline a request waits for the target's node to tell its outcome.
const DEADLINE_SLACK: Duration = Duration::from_millis(60);

/// How long a body waits for the first reply to its announcement. Over the longest path, with the node's
/// tasks delayed, the reply takes a fraction of this.
const CREDIT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long to wait for the reply to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// How long the outcome of a request whose connection was lost is queried over a new one.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time between two attempts to open that connection.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// The outcome of one attempt of a request.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered(WholeResponse),
    /// It was not run, and never will be.
    NotRun {
        /// The cause.
        reason: &'static str,
        /// How long to wait before another attempt.
        retry_after: Duration,
        /// Whether the target's node could be reached.
        reached: bool,
    },
    /// It may have run.
    Unknown {
        /// Why there is no response.
        reason: &'static str,
        /// Whether the target failed the request, rather than the connection to its node.
        at_target: bool,
    },
}

/// What an attempt of a request needs.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// Tells when this process ends.
    pub context: &'a Context,
    /// Serves requests for this node's own target.
    pub server: &'a Arc<Server>,
    /// Connections to other nodes.
    pub pool: &'a Pool,
    /// Where the loads that targets report are recorded.
    pub targets: &'a TargetStats,
    /// The target of the attempt.
    pub target: &'a Target,
    /// This node's address.
    pub own: SocketAddr,
    /// The API key by which the request was authenticated, if it needed one.
    pub credential: Option<&'a Credential>,
    /// Whether the request's route has large bodies.
    pub is_bulk: bool,
    /// When the caller stops waiting for the request.
    pub deadline: Instant,
}

/// A request that awaits its outcome on a connection; if dropped before, it is abandoned there.
struct PendingRequest {
    connection: Arc<Connection>,
    sequence: u64,
    has_ended: bool,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.has_ended {
            self.connection.forget(self.sequence);
        } else {
            self.connection.abandon(self.sequence);
        }
    }
}

/// When the wait for a request's outcome ended; not set while the wait goes on.
#[derive(Debug, Default)]
struct WaitEnd(OnceLock<Instant>);

/// Held during the wait for a request's outcome; records the end of the wait when dropped.
#[derive(Debug, Default)]
struct WaitGuard(Arc<WaitEnd>);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let _ = self.0.0.set(Instant::now());
    }
}

impl WaitEnd {
    /// Logs `message` if the request is no longer waited for.
    fn log(&self, open: &Open, message: &str) {
        if let Some(since) = self.0.get() {
            let after_ms = since.elapsed().as_millis() as u64;
            log::info!(id = request_id(open), after_ms; "{message}");
        }
    }
}

/// The result of waiting for a request's outcome on one connection.
enum WaitResult {
    Ended(AttemptOutcome),
    /// The connection was lost after the request was written to it.
    ConnectionLost,
}

impl Exchange<'_> {
    /// Sends a request and waits for its outcome.
    pub async fn run(&self, open: &Open, body: &[u8]) -> AttemptOutcome {
        if self.target.address == self.own {
            return self.run_locally(open, body).await;
        }
        let connected = or(
            async { self.pool.get(self.target.address).await.ok() },
            async {
                let timeout = Instant::now() + CONNECT_TIMEOUT;
                Timer::at(timeout.min(self.deadline)).await;
                None
            },
        );
        let Some(connection) = connected.await else {
            return AttemptOutcome::NotRun {
                reason: "the target's node cannot be reached",
                retry_after: Duration::ZERO,
                reached: false,
            };
        };
        let peer_started_at_ms = connection.peer_started_at_ms();
        let first = self.send(connection, open, body).await;
        match first {
            WaitResult::Ended(outcome) => outcome,
            // An idempotent request is sent to another target at once.
            WaitResult::ConnectionLost if open.idempotent => connection_lost(),
            WaitResult::ConnectionLost => {
                self.query_outcome(open.sequence, peer_started_at_ms).await
            }
        }
    }

    /// Runs the request at this node's own target. While it waits for a slot it is withdrawn if its
    /// caller leaves, or this process ends.
    async fn run_locally(&self, open: &Open, body: &[u8]) -> AttemptOutcome {
        let withdrawn = Rejection::Refused {
            reason: Refusal::Leaving,
            retry_after: Duration::ZERO,
        };
        let admitted = self.until_nearly_ended(self.server.admit(open), withdrawn);
        let result = match admitted.await {
            Ok(_) if may_be_revoked(self.credential, self.context) => {
                return AttemptOutcome::NotRun {
                    reason: MAY_BE_REVOKED,
                    // The target itself takes other requests at once.
                    retry_after: Duration::from_millis(1),
                    reached: true,
                };
            }
            Ok(admitted) => {
                let run = async {
                    if open.idempotent {
                        self.server.execute(admitted, open, body).await
                    } else {
                        self.run_to_completion(admitted, open, body).await
                    }
                };
                self.until_nearly_ended(run, Rejection::Failed(Failure::Deadline))
                    .await
            }
            Err(rejection) => Err(rejection),
        };
        match result {
            Ok(response) => AttemptOutcome::Answered(response),
            Err(Rejection::Refused {
                reason,
                retry_after,
            }) => refused(reason, retry_after),
            Err(Rejection::Failed(reason)) => failed(reason),
        }
    }

    /// Awaits `work` until shortly before this process ends; `rejection` is the result then.
    async fn until_nearly_ended<T>(
        &self,
        work: impl Future<Output = Result<T, Rejection>>,
        rejection: Rejection,
    ) -> Result<T, Rejection> {
        or(work, async {
            self.context.wait_until_nearly_ended().await;
            Err(rejection)
        })
        .await
    }

    /// Runs a non-idempotent request to its end, in a task of its own, even if its caller leaves.
    async fn run_to_completion(
        &self,
        admitted: Admitted,
        open: &Open,
        body: &[u8],
    ) -> Result<WholeResponse, Rejection> {
        let (server, open, body) = (Arc::clone(self.server), open.clone(), body.to_vec());
        let (sender, receiver) = smol::channel::bounded(1);
        let guard = WaitGuard::default();
        let wait_end = Arc::clone(&guard.0);
        crate::runtime::spawn(async move {
            let result = server.execute(admitted, &open, &body).await;
            wait_end.log(&open, "ended after its caller left");
            // The receiver is gone if the caller has left.
            let _ = sender.try_send(result);
        });
        let result = receiver.recv().await;
        drop(guard);
        result.unwrap_or(Err(Rejection::Failed(Failure::Forgotten)))
    }

    async fn send(&self, connection: Arc<Connection>, open: &Open, body: &[u8]) -> WaitResult {
        let sequence = open.sequence;
        let events = connection.register(sequence);
        let mut pending = PendingRequest {
            connection: Arc::clone(&connection),
            sequence,
            has_ended: false,
        };
        connection.send(Frame::Open(open.clone())).await;
        if self.awaits_credit(body)
            && let Some(outcome) = self.await_credit(&mut pending, &events).await
        {
            return WaitResult::Ended(outcome);
        }
        for chunk in chunks(sequence, body) {
            connection.send(Frame::Chunk(chunk)).await;
        }
        self.await_outcome(pending, &events, false).await
    }

    /// Whether a body is sent only with credit of the target's node: on a bulk route, if the body is longer
    /// than one chunk.
    fn awaits_credit(&self, body: &[u8]) -> bool {
        self.is_bulk && body.len() > MAX_CHUNK_BYTES
    }

    /// Waits until the target's node grants credit for the body; returns the outcome if it does not. Nothing
    /// runs without its whole body, so a request whose body was not sent is not run. A node that does not
    /// reply may have another configuration, and gets the body unasked; one that replied with a credit of 0
    /// is waited for until the deadline.
    async fn await_credit(
        &self,
        pending: &mut PendingRequest,
        events: &Receiver<Event>,
    ) -> Option<AttemptOutcome> {
        let mut until = (Instant::now() + CREDIT_TIMEOUT).min(self.deadline);
        loop {
            let timeout = async {
                Timer::at(until).await;
                None
            };
            match or(async { events.recv().await.ok() }, timeout).await {
                Some(Event::Credit(0)) => until = self.deadline,
                Some(Event::Refused(frame)) => {
                    pending.has_ended = true;
                    let retry_after = Duration::from_millis(u64::from(frame.retry_after_ms));
                    return Some(refused(frame.reason, retry_after));
                }
                Some(Event::Lost { .. }) => {
                    pending.has_ended = true;
                    return Some(refused(Refusal::Unreachable, Duration::ZERO));
                }
                Some(_) => return None,
                None if Instant::now() >= self.deadline => {
                    return Some(refused(Refusal::Deadline, Duration::ZERO));
                }
                None => return None,
            }
        }
    }

    /// Queries the outcome of a request over a new connection to the same process.
    async fn query_outcome(&self, sequence: u64, peer_started_at_ms: u64) -> AttemptOutcome {
        let until = (Instant::now() + QUERY_TIMEOUT).min(self.deadline);
        while Instant::now() < until {
            let Ok(connection) = self.pool.get(self.target.address).await else {
                Timer::after(RECONNECT_INTERVAL).await;
                continue;
            };
            if connection.peer_started_at_ms() != peer_started_at_ms {
                return connection_lost();
            }
            let events = connection.register(sequence);
            let pending = PendingRequest {
                connection: Arc::clone(&connection),
                sequence,
                has_ended: false,
            };
            connection.send(Frame::Query { sequence }).await;
            if let WaitResult::Ended(outcome) = self.await_outcome(pending, &events, true).await {
                return outcome;
            }
        }
        connection_lost()
    }

    /// Waits for the outcome of a request; `resumed` if it was sent on an earlier connection.
    async fn await_outcome(
        &self,
        mut pending: PendingRequest,
        events: &Receiver<Event>,
        resumed: bool,
    ) -> WaitResult {
        let mut wait_until = self.deadline + DEADLINE_SLACK;
        let mut cancelled = false;
        let mut ending = std::pin::pin!(self.context.wait_until_nearly_ended());
        let mut partial: Option<(Head, Vec<u8>)> = None;
        let end = |pending: &mut PendingRequest, outcome| {
            pending.has_ended = true;
            WaitResult::Ended(outcome)
        };
        loop {
            let timeout = async {
                Timer::at(wait_until).await;
                None
            };
            let ended = async {
                if cancelled {
                    std::future::pending::<()>().await;
                }
                ending.as_mut().await;
                None
            };
            let next = or(async { events.recv().await.ok() }, or(timeout, ended));
            let Some(event) = next.await else {
                if cancelled {
                    return end(&mut pending, failed(Failure::Deadline));
                }
                // If the request still waits for a slot, the reply confirms that it was not run.
                cancelled = true;
                wait_until = Instant::now() + CANCEL_TIMEOUT;
                pending.connection.cancel(pending.sequence);
                continue;
            };
            match event {
                Event::State(call::State::NotRun) => {
                    let outcome = refused(Refusal::Cancelled, Duration::ZERO);
                    return end(&mut pending, outcome);
                }
                Event::State(call::State::Unknown) => return end(&mut pending, connection_lost()),
                Event::State(_) if cancelled => {
                    return end(&mut pending, failed(Failure::Deadline));
                }
                Event::State(_) | Event::Credit(_) => {}
                Event::Refused(frame) => {
                    let retry_after = Duration::from_millis(u64::from(frame.retry_after_ms));
                    return end(&mut pending, refused(frame.reason, retry_after));
                }
                Event::Failed(frame) => return end(&mut pending, failed(frame.reason)),
                Event::Lost { written } => {
                    pending.has_ended = true;
                    return if written || resumed {
                        WaitResult::ConnectionLost
                    } else {
                        WaitResult::Ended(refused(Refusal::Unreachable, Duration::ZERO))
                    };
                }
                Event::Head(head) => {
                    self.targets
                        .record_load(self.target.address, u32::from(head.in_flight));
                    // The stored response may be sent more than once; all copies are equal.
                    partial.get_or_insert((head, Vec::new()));
                }
                Event::Chunk(chunk) => {
                    let is_whole = partial
                        .as_mut()
                        .is_some_and(|(head, body)| append(head, body, &chunk));
                    if is_whole && let Some((head, body)) = partial.take() {
                        let response = WholeResponse { head, body };
                        return end(&mut pending, AttemptOutcome::Answered(response));
                    }
                }
            }
        }
    }
}

/// Appends the next chunk of a body, and ignores any other; returns whether the body is whole.
fn append(head: &Head, body: &mut Vec<u8>, chunk: &Chunk) -> bool {
    if chunk.offset == body.len() as u64 {
        body.extend_from_slice(&chunk.bytes);
    }
    head.length == Some(body.len() as u64)
}

fn refused(reason: Refusal, retry_after: Duration) -> AttemptOutcome {
    let reached = reason != Refusal::Unreachable;
    let reason = match reason {
        Refusal::Overloaded => "the target has too much to do",
        Refusal::Leaving => "the target is leaving",
        Refusal::NoTarget => "no target of that version is there",
        Refusal::Cancelled | Refusal::Deadline => "the deadline passed before a slot was free",
        Refusal::Unreachable => "the target cannot be reached",
        Refusal::Incomplete => "the request did not arrive whole",
    };
    AttemptOutcome::NotRun {
        reason,
        retry_after,
        reached,
    }
}

fn failed(reason: Failure) -> AttemptOutcome {
    let reason = match reason {
        Failure::TargetLost => "the target's answer was lost",
        Failure::Deadline => "the deadline passed while the target ran the request",
        Failure::Forgotten => "the answer is no longer kept",
    };
    let at_target = true;
    AttemptOutcome::Unknown { reason, at_target }
}

fn connection_lost() -> AttemptOutcome {
    AttemptOutcome::Unknown {
        reason: "the connection to the target's node was lost",
        at_target: false,
    }
}
