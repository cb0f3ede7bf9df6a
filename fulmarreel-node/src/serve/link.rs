//! The frames that arrive on one connection from an origin: calls in chunks, cancellations and
//! queries.

use super::{
    open::OpenCall,
    session::{Session, WholeResponse},
};
use crate::peer::stream;
use fulmarreel_call::{CallStatus, ledger::Cancellation};
use fulmarreel_wire::call::{Chunk, Frame, Open, Refusal, Refused, State};
use smol::{
    Timer,
    channel::{Sender, TrySendError},
    io::BufReader,
    net::TcpStream,
};
use std::{
    collections::HashMap,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// Capacity of a connection's queue of frames to write; senders wait while it is full.
pub(crate) const QUEUED_FRAMES: usize = 64;

/// How long after its connection ended a call may still be queried on a new one before it is
/// cancelled; shorter than the time for which work may go on after its caller disconnected.
const QUERY_GRACE: Duration = Duration::from_millis(250);

/// One connection from an origin, a process that opens calls.
#[derive(Debug)]
pub(crate) struct IncomingConnection {
    pub session: Arc<Session>,
    pub outgoing: Sender<Frame>,
    /// Orders the connections of the origin: a newer one has a higher generation.
    pub generation: u64,
    /// The longest request body that is accepted.
    pub max_body_bytes: u64,
    /// Whether calls with a body are announced before it has arrived.
    pub announces_bodies: bool,
    /// Calls whose body has not arrived completely.
    incomplete: HashMap<u64, (Open, Vec<u8>)>,
}

/// What the owner of the connection has to act on.
#[derive(Debug)]
pub(crate) enum Event {
    /// A call arrived whose body is still to arrive; it is opened or refused later.
    Announced { sequence: u64 },
    /// A call arrived completely and was recorded in the origin's ledger.
    Opened(OpenCall, Open, Vec<u8>),
    /// A call was cancelled, and the origin was told whether that came in time.
    Cancelled { sequence: u64 },
    /// The origin grants credit for further bytes of a response.
    Credit { sequence: u64, bytes: u32 },
}

impl IncomingConnection {
    pub fn new(
        session: Arc<Session>,
        outgoing: Sender<Frame>,
        generation: u64,
        max_body_bytes: u64,
    ) -> Self {
        // Earlier connections may have ended without this node noticing.
        cancel_unqueried(Arc::clone(&session), generation.saturating_sub(1));
        Self {
            session,
            outgoing,
            generation,
            max_body_bytes,
            announces_bodies: false,
            incomplete: HashMap::new(),
        }
    }

    /// Reads frames until one of them yields an event.
    ///
    /// # Errors
    ///
    /// The connection ended.
    pub async fn next(&mut self, tcp: &mut BufReader<TcpStream>) -> io::Result<Event> {
        loop {
            match stream::read(tcp).await? {
                Frame::Open(open) if open.length > self.max_body_bytes => {
                    self.refuse_incomplete(open.sequence);
                }
                Frame::Open(open) => {
                    let (sequence, has_body) = (open.sequence, open.length > 0);
                    self.incomplete.insert(sequence, (open, Vec::new()));
                    if has_body && self.announces_bodies {
                        return Ok(Event::Announced { sequence });
                    }
                }
                Frame::Chunk(chunk) => {
                    if let Some((open, body)) = self.append_chunk(&chunk) {
                        let session = Arc::clone(&self.session);
                        let open_call = OpenCall::new(session, open.sequence, self.generation);
                        return Ok(Event::Opened(open_call, open, body));
                    }
                }
                Frame::Cancel { sequence } => {
                    self.cancel(sequence);
                    return Ok(Event::Cancelled { sequence });
                }
                Frame::Query { sequence } => self.query(sequence),
                Frame::Credit { sequence, bytes } => return Ok(Event::Credit { sequence, bytes }),
                // If the queue is full, the frames in it prove liveness as well as a pong.
                Frame::Ping { token } => _ = self.outgoing.try_send(Frame::Pong { token }),
                other => log::debug!("unexpected frame {other:?}"),
            }
        }
    }

    /// A call whose body has not arrived completely.
    pub fn announced(&self, sequence: u64) -> Option<&Open> {
        self.incomplete.get(&sequence).map(|(open, _)| open)
    }

    /// Refuses a call whose body has not arrived completely; the rest of the body is ignored.
    pub fn refuse_announced(&mut self, sequence: u64, reason: Refusal, retry_after: Duration) {
        self.incomplete.remove(&sequence);
        if self.session.cancel(sequence) == Cancellation::NotRun {
            self.queue_reply(Frame::Refused(Refused {
                sequence,
                reason,
                retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            }));
        }
    }

    /// Appends a chunk to its call; returns the call once it is complete and the ledger accepts it.
    fn append_chunk(&mut self, chunk: &Chunk) -> Option<(Open, Vec<u8>)> {
        let (open, body) = self.incomplete.get_mut(&chunk.sequence)?;
        let length = body.len() as u64 + chunk.bytes.len() as u64;
        let fits = chunk.offset == body.len() as u64 && length <= open.length;
        let incomplete = !fits || (chunk.last && length != open.length);
        if incomplete {
            self.incomplete.remove(&chunk.sequence);
            self.refuse_incomplete(chunk.sequence);
            return None;
        }
        body.extend_from_slice(&chunk.bytes);
        if !chunk.last {
            return None;
        }
        let (open, body) = self.incomplete.remove(&chunk.sequence)?;
        let opened = {
            let mut ledger = self.session.ledger.lock().expect("ledger lock");
            ledger.expire(Instant::now());
            ledger.open(self.generation, open.sequence)
        };
        if let Err(error) = opened {
            log::info!(call = open.sequence, service = open.service.as_str(); "not opened: {error}");
            return None;
        }
        Some((open, body))
    }

    /// Ends the connection. Those of its calls that are not queried on a newer connection within
    /// [`QUERY_GRACE`] are cancelled.
    pub fn end(self) {
        self.outgoing.close();
        cancel_unqueried(self.session, self.generation);
    }

    fn refuse_incomplete(&self, sequence: u64) {
        if self.session.cancel(sequence) == Cancellation::NotRun {
            let refused = Refused::new(sequence, Refusal::Incomplete);
            self.queue_reply(Frame::Refused(refused));
        }
    }

    /// Cancels a call and tells the origin whether that came in time.
    fn cancel(&mut self, sequence: u64) {
        self.incomplete.remove(&sequence);
        let reply = match self.session.cancel(sequence) {
            Cancellation::NotRun => Frame::Refused(Refused::new(sequence, Refusal::Cancelled)),
            Cancellation::TooLate => Frame::State {
                sequence,
                state: State::Running,
            },
        };
        self.queue_reply(reply);
    }

    /// Queues a frame without blocking the reader, since cancellations may be among the next frames
    /// to read.
    fn queue_reply(&self, frame: Frame) {
        let Err(TrySendError::Full(frame)) = self.outgoing.try_send(frame) else {
            return;
        };
        let outgoing = self.outgoing.clone();
        crate::runtime::spawn(async move {
            // The connection may have ended by then.
            let _ = outgoing.send(frame).await;
        });
    }

    fn query(&self, sequence: u64) {
        {
            let mut open_calls = self.session.open_calls.lock().expect("open calls lock");
            open_calls.reassign(sequence, self.generation);
        }
        let (state, response) = self.look_up(sequence);
        let (outgoing, session) = (self.outgoing.clone(), Arc::clone(&self.session));
        crate::runtime::spawn(async move {
            // The connection may have ended by then; the origin then queries again.
            let _ = outgoing.send(Frame::State { sequence, state }).await;
            if let Some(response) = response {
                session.send(&response).await;
            }
        });
    }

    fn look_up(&self, sequence: u64) -> (State, Option<Arc<WholeResponse>>) {
        let mut ledger = self.session.ledger.lock().expect("ledger lock");
        match ledger.query(sequence, Instant::now()) {
            CallStatus::NotRun => (State::NotRun, None),
            CallStatus::Running => (State::Running, None),
            CallStatus::Answered(response) => (State::Answered, Some(Arc::clone(response))),
            CallStatus::Unknown => (State::Unknown, None),
        }
    }
}

/// Cancels those calls of connections up to `generation` that are not queried on a newer connection
/// within [`QUERY_GRACE`].
fn cancel_unqueried(session: Arc<Session>, generation: u64) {
    if session.has_calls_up_to_generation(generation) {
        crate::runtime::spawn(async move {
            Timer::after(QUERY_GRACE).await;
            let cancelled = session.cancel_up_to_generation(generation);
            if cancelled > 0 {
                log::info!(generation, cancelled; "connection of a node ended, nobody waits for its calls");
            }
        });
    }
}
