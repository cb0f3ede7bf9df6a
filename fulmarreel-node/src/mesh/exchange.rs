//! One attempt of a request at one target.

use super::{
    serve::{Admitted, Rejection, Server, request_id},
    targets::TargetStats,
    view::Target,
};
use crate::{
    peer::{Connection, Event, Pool},
    serve::session::Kept,
};
use fulmarreel_wire::call::{self, Chunk, Failure, Frame, Head, Open, Refusal, chunks};
use smol::{Timer, channel::Receiver, future::or};
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

/// How long a connection to another node may take to open before its target is passed over.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// How long after its limit the end of a request is waited for, which its target may tell.
const LIMIT_SLACK: Duration = Duration::from_millis(60);

/// How long the answer to a cancellation is waited for.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a request whose connection was lost is asked for over a new one.
const RESUME_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between two tries to open that connection.
const RESUME_INTERVAL: Duration = Duration::from_millis(50);

/// What became of a request at one target.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered(Kept),
    /// It was not run, and never will be.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When it may be worth asking again.
        retry_after: Duration,
        /// Whether its node could be reached.
        reached: bool,
    },
    /// It may have run.
    Unknown {
        /// Why there is no answer.
        reason: &'static str,
        /// Whether the target failed it, as opposed to something on the way.
        at_target: bool,
    },
}

/// One attempt of a request at one target.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// This node in front of its own target.
    pub server: &'a Arc<Server>,
    /// Connections to other nodes.
    pub pool: &'a Pool,
    /// What is known of targets.
    pub targets: &'a TargetStats,
    /// Where it goes.
    pub target: &'a Target,
    /// This node's address.
    pub own: SocketAddr,
    /// When the request is given up.
    pub deadline: Instant,
}

/// A request that waits on a connection; cancelled when dropped before its end.
struct Pending {
    connection: Arc<Connection>,
    sequence: u64,
    ended: bool,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.ended {
            self.connection.forget(self.sequence);
        } else {
            self.connection.abandon(self.sequence);
        }
    }
}

/// When the caller of a request left, if it has.
#[derive(Debug, Default)]
struct Departure(OnceLock<Instant>);

/// A caller that waits; dropped, it has left.
#[derive(Debug, Default)]
struct Presence(Arc<Departure>);

impl Drop for Presence {
    fn drop(&mut self) {
        let _ = self.0.0.set(Instant::now());
    }
}

impl Departure {
    /// Logs what happened to a request whose caller has left.
    fn log(&self, open: &Open, what: &str) {
        if let Some(since) = self.0.get() {
            let after_ms = since.elapsed().as_millis() as u64;
            log::info!(id = request_id(open), after_ms; "{what}");
        }
    }
}

/// How waiting on one connection ended.
enum Wait {
    Over(AttemptOutcome),
    /// The connection was lost after the request was written.
    Lost,
}

impl Exchange<'_> {
    /// Sends a request and waits for its end.
    pub async fn run(&self, open: &Open, body: &[u8]) -> AttemptOutcome {
        if self.target.address == self.own {
            return self.run_here(open, body).await;
        }
        let connected = or(
            async { self.pool.get(self.target.address).await.ok() },
            async {
                let limit = Instant::now() + CONNECT_LIMIT;
                Timer::at(limit.min(self.deadline)).await;
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
        let peer_boot = connection.peer_boot();
        let first = self.send(connection, open, body).await;
        match first {
            Wait::Over(attempt) => attempt,
            // What may be repeated is better sent elsewhere at once.
            Wait::Lost if open.idempotent => lost(),
            Wait::Lost => self.resume(open.sequence, peer_boot).await,
        }
    }

    /// Hands the request to this node's own target. While it waits for a slot, it ends with its
    /// caller.
    async fn run_here(&self, open: &Open, body: &[u8]) -> AttemptOutcome {
        let handled = match self.server.admit(open).await {
            Ok(admitted) if open.idempotent => self.server.execute(admitted, open, body).await,
            Ok(admitted) => self.run_to_its_end(admitted, open, body).await,
            Err(rejection) => Err(rejection),
        };
        match handled {
            Ok(kept) => AttemptOutcome::Answered(kept),
            Err(Rejection::Refused {
                reason,
                retry_after,
            }) => refused(reason, retry_after),
            Err(Rejection::Failed(reason)) => failed(reason),
        }
    }

    /// Runs what may not be repeated to its end, also where its caller leaves.
    async fn run_to_its_end(
        &self,
        admitted: Admitted,
        open: &Open,
        body: &[u8],
    ) -> Result<Kept, Rejection> {
        let (server, open, body) = (Arc::clone(self.server), open.clone(), body.to_vec());
        let (sender, receiver) = smol::channel::bounded(1);
        let presence = Presence::default();
        let departure = Arc::clone(&presence.0);
        crate::runtime::spawn(async move {
            let handled = server.execute(admitted, &open, &body).await;
            departure.log(&open, "ended after its caller left");
            // The caller may have left.
            let _ = sender.try_send(handled);
        });
        let handled = receiver.recv().await;
        drop(presence);
        handled.unwrap_or(Err(Rejection::Failed(Failure::Forgotten)))
    }

    async fn send(&self, connection: Arc<Connection>, open: &Open, body: &[u8]) -> Wait {
        let sequence = open.sequence;
        let events = connection.register(sequence);
        let pending = Pending {
            connection: Arc::clone(&connection),
            sequence,
            ended: false,
        };
        connection.send(Frame::Open(open.clone())).await;
        for chunk in chunks(sequence, body) {
            connection.send(Frame::Chunk(chunk)).await;
        }
        self.receive(pending, &events, false).await
    }

    /// Asks the same process over a new connection what became of the request.
    async fn resume(&self, sequence: u64, peer_boot: u64) -> AttemptOutcome {
        let until = (Instant::now() + RESUME_LIMIT).min(self.deadline);
        while Instant::now() < until {
            let Ok(connection) = self.pool.get(self.target.address).await else {
                Timer::after(RESUME_INTERVAL).await;
                continue;
            };
            if connection.peer_boot() != peer_boot {
                return lost();
            }
            let events = connection.register(sequence);
            let pending = Pending {
                connection: Arc::clone(&connection),
                sequence,
                ended: false,
            };
            connection.send(Frame::Query { sequence }).await;
            if let Wait::Over(attempt) = self.receive(pending, &events, true).await {
                return attempt;
            }
        }
        lost()
    }

    /// Waits for the end of a request; `resumed` where it was sent on an earlier connection.
    async fn receive(&self, mut pending: Pending, events: &Receiver<Event>, resumed: bool) -> Wait {
        let mut deadline = self.deadline + LIMIT_SLACK;
        let mut cancelled = false;
        let mut partial: Option<(Head, Vec<u8>)> = None;
        let over = |pending: &mut Pending, attempt| {
            pending.ended = true;
            Wait::Over(attempt)
        };
        loop {
            let next = or(async { events.recv().await.ok() }, async {
                Timer::at(deadline).await;
                None
            });
            let Some(event) = next.await else {
                if cancelled {
                    return over(&mut pending, failed(Failure::Deadline));
                }
                // Where the request still waits for a slot it is not run, and that can be said.
                cancelled = true;
                deadline = Instant::now() + CANCEL_TIMEOUT;
                pending.connection.cancel(pending.sequence);
                continue;
            };
            match event {
                Event::State(call::State::NotRun) => {
                    let attempt = refused(Refusal::Cancelled, Duration::ZERO);
                    return over(&mut pending, attempt);
                }
                Event::State(call::State::Unknown) => return over(&mut pending, lost()),
                Event::State(_) if cancelled => {
                    return over(&mut pending, failed(Failure::Deadline));
                }
                Event::State(_) => {}
                Event::Refused(end) => {
                    let retry_after = Duration::from_millis(u64::from(end.retry_after_ms));
                    return over(&mut pending, refused(end.reason, retry_after));
                }
                Event::Failed(end) => return over(&mut pending, failed(end.reason)),
                Event::Lost { written } => {
                    pending.ended = true;
                    return if written || resumed {
                        Wait::Lost
                    } else {
                        Wait::Over(refused(Refusal::Unreachable, Duration::ZERO))
                    };
                }
                Event::Head(head) => {
                    self.targets
                        .record_load(self.target.address, u32::from(head.in_flight));
                    // Copies of a kept answer are equal: a second one changes nothing.
                    partial.get_or_insert((head, Vec::new()));
                }
                Event::Chunk(chunk) => {
                    let whole = partial
                        .as_mut()
                        .is_some_and(|(head, body)| append(head, body, &chunk));
                    if whole && let Some((head, body)) = partial.take() {
                        let kept = Kept { head, body };
                        return over(&mut pending, AttemptOutcome::Answered(kept));
                    }
                }
            }
        }
    }
}

/// Adds part of a body; whether it is whole.
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

fn lost() -> AttemptOutcome {
    AttemptOutcome::Unknown {
        reason: "the connection to the target's node was lost",
        at_target: false,
    }
}
