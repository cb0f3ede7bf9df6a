//! One attempt to run a call on one target.

use super::{load::Loads, request::Request, route::Destination, streamed_body::StreamedBody};
use crate::{
    peer::{Connection, Event, Pool},
    state::State,
};
use fulmarreel_call::retry::FailedAttempt;
use fulmarreel_wire::call::{
    self, Failure, Frame, Head, MAX_WHOLE_BYTES, Open, Refusal, WINDOW_BYTES, chunks,
};
use smol::{Timer, channel::Receiver, future::or};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Pause between two attempts to reconnect to a peer that neither refuses the connection nor
/// answers.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// How long to wait for the reply to a cancellation that was sent at the deadline.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// The outcome of a call.
#[derive(Debug)]
pub(super) enum CallOutcome {
    /// The target answered, and the whole response has arrived.
    Whole { head: Head, body: Vec<u8> },
    /// The target answered, and the body is still to arrive.
    Streamed { head: Head, body: Box<StreamedBody> },
    /// The call was not run, and never will be.
    NotRun {
        end: FailedAttempt,
        reason: &'static str,
    },
    /// The call may have run. `at_target` is set if the target's node reports that the target
    /// failed it; otherwise something between this node and that one failed.
    Unknown {
        reason: &'static str,
        at_target: bool,
    },
    /// A call with the same idempotency key was sent before, and this one was not run.
    Repeated,
}

/// The connection was lost after the call was written.
#[derive(Debug)]
pub(super) struct ConnectionLost {
    peer_started_at_ms: u64,
}

/// What was sent for the call on the present connection.
#[derive(Debug, Clone, Copy)]
enum Sent {
    Call,
    Query,
}

/// One attempt to run a call on one target.
#[derive(Debug)]
pub(super) struct Exchange<'a> {
    pub state: &'a State,
    pub pool: &'a Pool,
    pub loads: &'a Arc<Loads>,
    pub target: SocketAddr,
    pub sequence: u64,
    pub destination: &'a Destination<'a>,
    pub request: &'a Request,
    pub attempt: u8,
}

/// A call that is pending on a connection; cancelled if dropped before it has ended.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub connection: Arc<Connection>,
    pub sequence: u64,
    pub ended: bool,
    loads: Arc<Loads>,
    target: SocketAddr,
}

impl CallOutcome {
    pub fn not_run(reason: &'static str) -> Self {
        let end = FailedAttempt::Unsent;
        Self::NotRun { end, reason }
    }

    pub fn unknown(reason: &'static str) -> Self {
        let at_target = false;
        Self::Unknown { reason, at_target }
    }

    pub fn failed_at_target(reason: &'static str) -> Self {
        let at_target = true;
        Self::Unknown { reason, at_target }
    }

    /// Why there is no response, if there is none.
    pub fn reason(&self) -> Option<&'static str> {
        match self {
            Self::Whole { .. } | Self::Streamed { .. } => None,
            Self::NotRun { reason, .. } | Self::Unknown { reason, .. } => Some(reason),
            Self::Repeated => Some("the idempotency key was used before"),
        }
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.loads.end(self.target);
        if self.ended {
            self.connection.forget(self.sequence);
        } else {
            self.connection.abandon(self.sequence);
        }
    }
}

impl Exchange<'_> {
    /// Sends the call and waits for its outcome.
    ///
    /// # Errors
    ///
    /// The connection was lost after the call was written.
    pub async fn run(&self) -> Result<CallOutcome, ConnectionLost> {
        let connected = or(self.pool.get(self.target), async {
            Timer::at(self.request.deadline).await;
            Err(io::ErrorKind::TimedOut.into())
        });
        let connection = match connected.await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!("connect to {}: {error}", self.target);
                self.loads.avoid(self.target);
                self.state.suspect(self.target);
                return Ok(CallOutcome::not_run("the target's node cannot be reached"));
            }
        };
        let events = connection.register(self.sequence);
        let pending = self.begin(&connection);
        // If the connection ends meanwhile, the events tell whether the call was written.
        or(
            async {
                self.send_call(&connection).await;
            },
            async {
                Timer::at(self.request.deadline).await;
            },
        )
        .await;
        self.receive(pending, events, Sent::Call).await
    }

    /// Queries the outcome of a call over a new connection to the same process.
    pub async fn query_outcome(&self, lost: ConnectionLost) -> CallOutcome {
        let mut lost = lost;
        loop {
            let connection = match self.reconnect().await {
                Ok(connection) => connection,
                Err(outcome) => return outcome,
            };
            if connection.peer_started_at_ms() != lost.peer_started_at_ms {
                return CallOutcome::unknown("the target's node was restarted");
            }
            let sequence = self.sequence;
            let events = connection.register(sequence);
            let pending = self.begin(&connection);
            connection.send(Frame::Query { sequence }).await;
            match self.receive(pending, events, Sent::Query).await {
                Ok(outcome) => return outcome,
                Err(lost_again) => lost = lost_again,
            }
        }
    }

    async fn reconnect(&self) -> Result<Arc<Connection>, CallOutcome> {
        loop {
            let connected = or(async { Some(self.pool.get(self.target).await) }, async {
                Timer::at(self.request.deadline).await;
                None
            });
            match connected.await {
                None => return Err(CallOutcome::unknown("the target's node is silent")),
                Some(Ok(connection)) => return Ok(connection),
                Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return Err(CallOutcome::unknown("the target's node is gone"));
                }
                Some(Err(_)) => Timer::after(RECONNECT_INTERVAL).await,
            };
        }
    }

    fn begin(&self, connection: &Arc<Connection>) -> PendingCall {
        self.loads.begin(self.target);
        PendingCall {
            connection: Arc::clone(connection),
            sequence: self.sequence,
            ended: false,
            loads: Arc::clone(self.loads),
            target: self.target,
        }
    }

    async fn send_call(&self, connection: &Connection) -> bool {
        if !connection.send(Frame::Open(self.open_frame())).await {
            return false;
        }
        for chunk in chunks(self.sequence, &self.request.body) {
            if !connection.send(Frame::Chunk(chunk)).await {
                return false;
            }
        }
        true
    }

    fn open_frame(&self) -> Open {
        let request = self.request;
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        Open {
            rank: 0,
            sequence: self.sequence,
            remaining_ms: remaining.as_millis() as u32,
            wanted_ms: remaining.as_millis() as u32,
            latest_ms: remaining.as_millis() as u32,
            attempt: request.attempt.saturating_add(self.attempt),
            depth: request.depth,
            idempotent: self.destination.route.idempotent(),
            service: self.destination.service.document.service().to_string(),
            version: self.destination.version.to_string(),
            method: request.method.to_owned(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            length: request.body.len() as u64,
        }
    }

    async fn receive(
        &self,
        mut pending: PendingCall,
        events: Receiver<Event>,
        sent: Sent,
    ) -> Result<CallOutcome, ConnectionLost> {
        let mut deadline = self.request.deadline;
        let mut cancelled = false;
        let mut partial: Option<(Head, Vec<u8>)> = None;
        loop {
            let Some(event) = next_event(&events, deadline).await else {
                if cancelled {
                    return Ok(CallOutcome::unknown("the deadline passed"));
                }
                // A call that still waits for a slot is not run if it is cancelled, and the peer
                // confirms that.
                cancelled = true;
                deadline = Instant::now() + CANCEL_TIMEOUT;
                pending.ended = true;
                pending.connection.cancel(pending.sequence);
                continue;
            };
            match event {
                Event::State(call::State::NotRun) => {
                    pending.ended = true;
                    return Ok(CallOutcome::not_run("the call did not arrive"));
                }
                Event::State(call::State::Unknown) => {
                    pending.ended = true;
                    return Ok(CallOutcome::unknown("the answer is no longer kept"));
                }
                Event::State(call::State::Running | call::State::Answered) if cancelled => {
                    return Ok(CallOutcome::failed_at_target("the deadline passed"));
                }
                Event::State(call::State::Running | call::State::Answered) | Event::Credit(_) => {}
                Event::Refused(refused) => {
                    pending.ended = true;
                    return Ok(self.refusal_outcome(refused.reason));
                }
                Event::Failed(failed) => {
                    pending.ended = true;
                    return Ok(failure_outcome(failed.reason));
                }
                Event::Lost { written } => {
                    pending.ended = true;
                    if !written && matches!(sent, Sent::Call) {
                        return Ok(CallOutcome::not_run("the connection was lost before"));
                    }
                    self.loads.avoid(self.target);
                    self.state.suspect(self.target);
                    let peer_started_at_ms = pending.connection.peer_started_at_ms();
                    return Err(ConnectionLost { peer_started_at_ms });
                }
                Event::Head(head) if partial.is_none() => {
                    self.loads.report(self.target, &head);
                    if head.length.is_some_and(|length| length <= MAX_WHOLE_BYTES) {
                        partial = Some((head, Vec::new()));
                    } else {
                        let body = StreamedBody::new(pending, events, head.length, WINDOW_BYTES);
                        let body = Box::new(body);
                        return Ok(CallOutcome::Streamed { head, body });
                    }
                }
                // A second copy of the response, sent for a query that crossed the first.
                Event::Head(_) => {}
                Event::Chunk(chunk) => {
                    let Some((head, body)) = &mut partial else {
                        continue;
                    };
                    // Copies of a stored response are equal, so bytes that arrived before are
                    // skipped.
                    let received = body.len() as u64;
                    if chunk.offset > received {
                        return Ok(CallOutcome::unknown("the answer has a gap"));
                    }
                    if chunk.offset == received {
                        body.extend_from_slice(&chunk.bytes);
                    }
                    if head.length == Some(body.len() as u64) {
                        pending.ended = true;
                        let (head, body) = (head.clone(), std::mem::take(body));
                        return Ok(CallOutcome::Whole { head, body });
                    }
                    if chunk.last && chunk.offset >= received {
                        return Ok(CallOutcome::unknown("the answer was cut"));
                    }
                }
            }
        }
    }

    fn refusal_outcome(&self, refusal: Refusal) -> CallOutcome {
        if matches!(refusal, Refusal::Overloaded | Refusal::Unreachable) {
            self.loads.avoid(self.target);
        }
        let (end, reason) = match refusal {
            Refusal::Overloaded => (FailedAttempt::Overloaded, "the target has too much to do"),
            Refusal::Leaving => (FailedAttempt::Unsent, "the target is leaving"),
            Refusal::NoTarget => (FailedAttempt::Unsent, "no target of that version is there"),
            Refusal::Cancelled | Refusal::Deadline => {
                (FailedAttempt::Overloaded, "the deadline passed")
            }
            Refusal::Unreachable => (FailedAttempt::Unsent, "the target cannot be reached"),
            Refusal::Incomplete => (FailedAttempt::Unsent, "the request did not arrive whole"),
        };
        CallOutcome::NotRun { end, reason }
    }
}

async fn next_event(events: &Receiver<Event>, deadline: Instant) -> Option<Event> {
    if let Ok(event) = events.try_recv() {
        return Some(event);
    }
    or(async { events.recv().await.ok() }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}

fn failure_outcome(failure: Failure) -> CallOutcome {
    match failure {
        Failure::TargetLost => {
            CallOutcome::failed_at_target("the target was lost while it ran the call")
        }
        Failure::Deadline => {
            CallOutcome::failed_at_target("the deadline passed while the target ran the call")
        }
        Failure::Forgotten => CallOutcome::unknown("the answer is no longer kept"),
    }
}
