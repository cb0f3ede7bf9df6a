//! The frames of one connection of an origin: calls that arrive in parts, and what becomes of them.

use super::{
    open::OpenCall,
    session::{Kept, Session},
};
use crate::peer::stream;
use fulmarreel_call::{Fate, ledger::Cancellation};
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

/// Frames that may wait to be written before their senders wait.
pub(crate) const QUEUED_FRAMES: usize = 64;

/// How long after its connection ended a call may be asked for on another one; below the time for which
/// work may go on for a caller that left.
const ASK_LIMIT: Duration = Duration::from_millis(250);

/// One connection of a process that opens calls.
#[derive(Debug)]
pub(crate) struct Link {
    pub session: Arc<Session>,
    pub outgoing: Sender<Frame>,
    pub generation: u64,
    /// The longest body that is taken, in bytes.
    pub limit: u64,
    /// Calls of which part has arrived.
    arriving: HashMap<u64, (Open, Vec<u8>)>,
}

/// What the node has to act on.
#[derive(Debug)]
pub(crate) enum Event {
    /// A call is here whole, and its ledger has taken it.
    Opened(OpenCall, Open, Vec<u8>),
    /// A call was cancelled, and its origin knows whether that came in time.
    Cancelled { sequence: u64 },
    /// The origin takes so many further bytes of an answer.
    Credit { sequence: u64, bytes: u32 },
}

impl Link {
    pub fn new(
        session: Arc<Session>,
        outgoing: Sender<Frame>,
        generation: u64,
        limit: u64,
    ) -> Self {
        // The earlier connections may have ended unheard.
        cancel_unasked(Arc::clone(&session), generation.saturating_sub(1));
        Self {
            session,
            outgoing,
            generation,
            limit,
            arriving: HashMap::new(),
        }
    }

    /// Reads frames up to one that the node has to act on.
    ///
    /// # Errors
    ///
    /// The connection ended.
    pub async fn next(&mut self, tcp: &mut BufReader<TcpStream>) -> io::Result<Event> {
        loop {
            match stream::read(tcp).await? {
                Frame::Open(open) if open.length > self.limit => {
                    self.refuse_incomplete(open.sequence);
                }
                Frame::Open(open) => _ = self.arriving.insert(open.sequence, (open, Vec::new())),
                Frame::Chunk(chunk) => {
                    if let Some((open, body)) = self.append(&chunk) {
                        let session = Arc::clone(&self.session);
                        let call = OpenCall::new(session, open.sequence, self.generation);
                        return Ok(Event::Opened(call, open, body));
                    }
                }
                Frame::Cancel { sequence } => {
                    self.cancel(sequence);
                    return Ok(Event::Cancelled { sequence });
                }
                Frame::Query { sequence } => self.query(sequence),
                Frame::Credit { sequence, bytes } => return Ok(Event::Credit { sequence, bytes }),
                // Where the queue is full, the frames in it are the sign of life.
                Frame::Ping { token } => _ = self.outgoing.try_send(Frame::Pong { token }),
                other => log::debug!("unexpected frame {other:?}"),
            }
        }
    }

    /// Adds a part to its call; the call once it is whole and may be worked on.
    fn append(&mut self, chunk: &Chunk) -> Option<(Open, Vec<u8>)> {
        let (open, body) = self.arriving.get_mut(&chunk.sequence)?;
        let length = body.len() as u64 + chunk.bytes.len() as u64;
        let fits = chunk.offset == body.len() as u64 && length <= open.length;
        let incomplete = !fits || (chunk.last && length != open.length);
        if incomplete {
            self.arriving.remove(&chunk.sequence);
            self.refuse_incomplete(chunk.sequence);
            return None;
        }
        body.extend_from_slice(&chunk.bytes);
        if !chunk.last {
            return None;
        }
        let (open, body) = self.arriving.remove(&chunk.sequence)?;
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

    /// Ends the connection: its calls that are not asked for on another one soon are cancelled.
    pub fn end(self) {
        self.outgoing.close();
        cancel_unasked(self.session, self.generation);
    }

    fn refuse_incomplete(&self, sequence: u64) {
        if self.session.cancel(sequence) == Cancellation::NotRun {
            let refused = Refused::new(sequence, Refusal::Incomplete);
            self.reply(Frame::Refused(refused));
        }
    }

    /// Cancels a call and says whether that came in time.
    fn cancel(&mut self, sequence: u64) {
        self.arriving.remove(&sequence);
        let reply = match self.session.cancel(sequence) {
            Cancellation::NotRun => Frame::Refused(Refused::new(sequence, Refusal::Cancelled)),
            Cancellation::TooLate => Frame::State {
                sequence,
                state: State::Running,
            },
        };
        self.reply(reply);
    }

    /// Sends a frame without holding up those that arrive, among which cancellations may be.
    fn reply(&self, frame: Frame) {
        let Err(TrySendError::Full(frame)) = self.outgoing.try_send(frame) else {
            return;
        };
        let outgoing = self.outgoing.clone();
        crate::runtime::spawn(async move {
            // The connection may end before.
            let _ = outgoing.send(frame).await;
        });
    }

    fn query(&self, sequence: u64) {
        {
            let mut open = self.session.open.lock().expect("open calls lock");
            open.ask(sequence, self.generation);
        }
        let (state, kept) = self.fate(sequence);
        let (outgoing, session) = (self.outgoing.clone(), Arc::clone(&self.session));
        crate::runtime::spawn(async move {
            // The connection may end before; then it is asked again.
            let _ = outgoing.send(Frame::State { sequence, state }).await;
            if let Some(kept) = kept {
                session.send(&kept).await;
            }
        });
    }

    fn fate(&self, sequence: u64) -> (State, Option<Arc<Kept>>) {
        let mut ledger = self.session.ledger.lock().expect("ledger lock");
        match ledger.query(sequence, Instant::now()) {
            Fate::NotRun => (State::NotRun, None),
            Fate::Running => (State::Running, None),
            Fate::Answered(kept) => (State::Answered, Some(Arc::clone(kept))),
            Fate::Unknown => (State::Unknown, None),
        }
    }
}

/// Cancels the calls of connections up to that generation that are not asked for on a later one soon.
fn cancel_unasked(session: Arc<Session>, generation: u64) {
    if session.has_open(generation) {
        crate::runtime::spawn(async move {
            Timer::after(ASK_LIMIT).await;
            let cancelled = session.cancel_of(generation);
            if cancelled > 0 {
                log::info!(generation, cancelled; "connection of a node ended, nobody waits for its calls");
            }
        });
    }
}
