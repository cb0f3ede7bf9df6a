//! A connection to a peer, on which calls are multiplexed.

use super::{Identity, stream};
use crate::telemetry::metrics::{self, AbandonedEnd};
use fulmarreel_http::{field, message::is_final_status};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Failed, Failure, Frame, Head, Refused, State},
};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded, unbounded},
    future::or,
    io::BufReader,
    net::{Shutdown, TcpStream},
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Capacity of the queue of frames to write; senders wait while it is full.
const QUEUED_FRAMES: usize = 64;

/// How long a connection may take to open, the handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Silence on a connection with pending calls after which the peer is pinged.
const PING_AFTER: Duration = Duration::from_millis(200);

/// Silence on a connection with pending calls after which the connection is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// How long an abandoned call is remembered while the peer has not reported its end.
const ABANDONED_LIFETIME: Duration = Duration::from_secs(10);

/// Work that goes on for at least this long after its caller disconnected is logged.
const LATE_END_THRESHOLD: Duration = Duration::from_millis(250);

/// What happened to a call on a connection.
#[derive(Debug)]
pub enum Event {
    /// Status and headers arrived.
    Head(Head),
    /// Part of the body arrived.
    Chunk(Chunk),
    /// The call was not run.
    Refused(Refused),
    /// The call may have run, and its response is not available.
    Failed(Failed),
    /// The reply to a query or to a cancellation.
    State(State),
    /// The serving node accepts this many bytes of the request's body; with 0 it has to wait.
    Credit(u32),
    /// The connection ended.
    Lost {
        /// Whether any byte of the call may have been written.
        written: bool,
    },
}

impl Event {
    /// How the work on an abandoned call ended, if the event reports its end.
    fn abandoned_end(&self) -> Option<AbandonedEnd> {
        match self {
            Self::Refused(_) => Some(AbandonedEnd::NotRun),
            Self::Failed(_) => Some(AbandonedEnd::Failed),
            Self::Head(_) => Some(AbandonedEnd::Answered),
            Self::Chunk(_) | Self::State(_) | Self::Credit(_) | Self::Lost { .. } => None,
        }
    }
}

/// One multiplexed connection to a peer.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    peer_started_at_ms: u64,
    tcp: TcpStream,
    outgoing: Sender<Frame>,
    calls: Mutex<Calls>,
    last_received: Mutex<Instant>,
    open: AtomicBool,
    leaving: AtomicBool,
    /// Whether calls take turns in writing, as they do over a narrow link.
    in_turns: Arc<AtomicBool>,
}

#[derive(Debug)]
struct Calls {
    /// Calls that wait for events, by sequence number.
    pending: HashMap<u64, PendingCall>,
    /// Since when at least one call has been pending.
    pending_since: Instant,
    /// Calls whose caller disconnected and whose end the peer has not reported yet, by sequence
    /// number, with the time at which they were abandoned.
    abandoned: HashMap<u64, Instant>,
    closed: bool,
}

#[derive(Debug)]
struct PendingCall {
    events: Sender<Event>,
    /// Whether any byte of the call may have been written.
    written: bool,
}

impl Connection {
    /// Opens a connection and starts its reader and writer; `last_started_at_ms` is the start
    /// time of the process to which the previous connection to this address led. Calls take turns in
    /// writing while `in_turns` is set.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached in time or speaks another protocol.
    pub async fn connect(
        peer: SocketAddr,
        own: Identity,
        generation: u64,
        last_started_at_ms: Option<u64>,
        in_turns: Arc<AtomicBool>,
    ) -> io::Result<Arc<Self>> {
        or(
            Self::handshake(peer, own, generation, last_started_at_ms, in_turns),
            async {
                Timer::after(CONNECT_TIMEOUT).await;
                Err(io::ErrorKind::TimedOut.into())
            },
        )
        .await
    }

    async fn handshake(
        peer: SocketAddr,
        own: Identity,
        generation: u64,
        last_started_at_ms: Option<u64>,
        in_turns: Arc<AtomicBool>,
    ) -> io::Result<Arc<Self>> {
        let mut tcp = TcpStream::connect(peer).await?;
        tcp.set_nodelay(true)?;
        let hello = Hello {
            protocol: PROTOCOL,
            address: own.address,
            boot: own.started_at_ms,
            purpose: Purpose::Calls,
        };
        stream::write(&mut tcp, &hello).await?;
        let greeting: Hello = stream::read(&mut tcp).await?;
        if greeting.protocol != PROTOCOL {
            return Err(io::ErrorKind::Unsupported.into());
        }
        let begin = Frame::Begin {
            generation,
            resumed: last_started_at_ms == Some(greeting.boot),
        };
        stream::write(&mut tcp, &begin).await?;
        let (outgoing, frames) = bounded(QUEUED_FRAMES);
        let now = Instant::now();
        let connection = Arc::new(Self {
            peer,
            peer_started_at_ms: greeting.boot,
            tcp: tcp.clone(),
            outgoing,
            calls: Mutex::new(Calls {
                pending: HashMap::new(),
                pending_since: now,
                abandoned: HashMap::new(),
                closed: false,
            }),
            last_received: Mutex::new(now),
            open: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
            in_turns,
        });
        let writing = Arc::clone(&connection);
        crate::runtime::spawn(async move { writing.write_frames(&frames).await });
        let reading = Arc::clone(&connection);
        crate::runtime::spawn(async move { reading.read_frames(tcp).await });
        Ok(connection)
    }

    /// When the peer's process started, in milliseconds since the Unix epoch; distinguishes it from
    /// a later process at the same address.
    pub fn peer_started_at_ms(&self) -> u64 {
        self.peer_started_at_ms
    }

    /// Whether the connection is open as far as this node knows: its loss may not be detected yet.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Whether the peer announced that its target accepts no new calls.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Registers a call and returns its events, which arrive until the call is forgotten or the
    /// connection ends.
    pub fn register(&self, sequence: u64) -> Receiver<Event> {
        let (events, receiver) = unbounded();
        let mut calls = self.calls.lock().expect("calls lock");
        if calls.closed {
            let _ = events.try_send(Event::Lost { written: false });
            return receiver;
        }
        if calls.pending.is_empty() {
            calls.pending_since = Instant::now();
        }
        let written = false;
        calls
            .pending
            .insert(sequence, PendingCall { events, written });
        receiver
    }

    /// Removes a call; frames that still arrive for it are dropped.
    pub fn forget(&self, sequence: u64) {
        let mut calls = self.calls.lock().expect("calls lock");
        calls.pending.remove(&sequence);
    }

    /// Queues a frame to be written; false if the connection is closed.
    pub async fn send(&self, frame: Frame) -> bool {
        self.outgoing.send(frame).await.is_ok()
    }

    /// Tells the peer that nobody waits for a call's response any more.
    pub fn cancel(self: &Arc<Self>, sequence: u64) {
        let connection = Arc::clone(self);
        crate::runtime::spawn(async move {
            connection.send(Frame::Cancel { sequence }).await;
        });
    }

    /// Removes a call whose caller disconnected, and cancels it at the peer.
    pub fn abandon(self: &Arc<Self>, sequence: u64) {
        let now = Instant::now();
        {
            let mut calls = self.calls.lock().expect("calls lock");
            calls.pending.remove(&sequence);
            // An end that crosses the cancellation may go unseen, so old entries are removed.
            calls
                .abandoned
                .retain(|_, at| now.saturating_duration_since(*at) < ABANDONED_LIFETIME);
            if !calls.closed {
                calls.abandoned.insert(sequence, now);
            }
        }
        self.cancel(sequence);
    }

    /// Pings the peer if it has been silent for `PING_AFTER` while calls are pending, and closes
    /// the connection after `SILENCE_LIMIT`.
    pub fn check_liveness(&self, now: Instant) {
        let pending_since = {
            let calls = self.calls.lock().expect("calls lock");
            if calls.pending.is_empty() {
                return;
            }
            calls.pending_since
        };
        let last_received = *self.last_received.lock().expect("receive time lock");
        let silence = now.saturating_duration_since(last_received.max(pending_since));
        if silence >= SILENCE_LIMIT {
            log::info!(peer:% = self.peer; "connection silent, closed");
            self.close();
        } else if silence >= PING_AFTER {
            let _ = self.outgoing.try_send(Frame::Ping { token: 0 });
        }
    }

    fn close(&self) {
        let _ = self.tcp.shutdown(Shutdown::Both);
        self.open.store(false, Ordering::Release);
        self.outgoing.close();
        let mut calls = self.calls.lock().expect("calls lock");
        calls.closed = true;
        for (_, call) in calls.pending.drain() {
            let written = call.written;
            let _ = call.events.try_send(Event::Lost { written });
        }
        let unreported = calls.abandoned.drain();
        unreported.for_each(|(call, at)| self.record_end(call, AbandonedEnd::Unreported, at));
    }

    /// Records how the work on an abandoned call ended.
    fn record_end(&self, call: u64, end: AbandonedEnd, abandoned_at: Instant) {
        let after = abandoned_at.elapsed();
        metrics::abandoned_call_ended(end, after);
        if after >= LATE_END_THRESHOLD {
            let after_ms = after.as_millis() as u64;
            let (peer, end) = (self.peer, end.name());
            log::info!(call, peer:%, end, after_ms; "work went on after its caller left");
        }
    }

    async fn read_frames(&self, tcp: TcpStream) {
        let mut tcp = BufReader::new(tcp);
        loop {
            match stream::read::<Frame, _>(&mut tcp).await {
                Ok(frame) => {
                    *self.last_received.lock().expect("receive time lock") = Instant::now();
                    self.dispatch(frame);
                }
                Err(error) => {
                    log::debug!("connection to {}: {error}", self.peer);
                    break;
                }
            }
        }
        self.close();
    }

    fn dispatch(&self, frame: Frame) {
        let (sequence, event) = match frame {
            Frame::Head(head) if is_valid(&head) => (head.sequence, Event::Head(head)),
            Frame::Head(head) => {
                let (sequence, status) = (head.sequence, head.status);
                log::warn!(call = sequence, peer:% = self.peer, status; "malformed response");
                let reason = Failure::TargetLost;
                (sequence, Event::Failed(Failed { sequence, reason }))
            }
            Frame::Chunk(chunk) => (chunk.sequence, Event::Chunk(chunk)),
            Frame::Refused(refused) => (refused.sequence, Event::Refused(refused)),
            Frame::Failed(failed) => (failed.sequence, Event::Failed(failed)),
            Frame::State { sequence, state } => (sequence, Event::State(state)),
            Frame::Credit { sequence, bytes } => (sequence, Event::Credit(bytes)),
            Frame::Leaving => return self.leaving.store(true, Ordering::Release),
            Frame::Accepting => return self.leaving.store(false, Ordering::Release),
            Frame::Pong { .. } => return,
            other => {
                log::debug!("connection to {}: unexpected frame {other:?}", self.peer);
                return;
            }
        };
        let mut calls = self.calls.lock().expect("calls lock");
        if let Some(call) = calls.pending.get(&sequence) {
            // The receiver is gone if the caller disconnected.
            let _ = call.events.try_send(event);
        } else if let Some(end) = event.abandoned_end()
            && let Some(abandoned_at) = calls.abandoned.remove(&sequence)
        {
            self.record_end(sequence, end, abandoned_at);
        }
    }

    async fn write_frames(&self, frames: &Receiver<Frame>) {
        let mut tcp = self.tcp.clone();
        let result = stream::write_all_frames(&mut tcp, frames, &self.in_turns, |frame| {
            self.mark_written(frame);
            self.is_wanted(frame)
        })
        .await;
        if let Err(error) = result {
            log::debug!("connection to {}: {error}", self.peer);
        }
        self.close();
    }

    /// Whether the peer still needs a frame: not the rest of the body of a call that has ended, for example
    /// by a refusal. A call that ends otherwise before its body is written is cancelled, so that the
    /// peer does not wait for the rest.
    fn is_wanted(&self, frame: &Frame) -> bool {
        let Frame::Chunk(chunk) = frame else {
            return true;
        };
        let calls = self.calls.lock().expect("calls lock");
        calls.pending.contains_key(&chunk.sequence)
    }

    fn mark_written(&self, frame: &Frame) {
        if let Frame::Open(open) = frame {
            let mut calls = self.calls.lock().expect("calls lock");
            if let Some(call) = calls.pending.get_mut(&open.sequence) {
                call.written = true;
            }
        }
    }
}

/// Whether a head can be passed on: a peer of an earlier build may not have checked what its target sent.
fn is_valid(head: &Head) -> bool {
    let mut headers = head.headers.iter();
    is_final_status(head.status)
        && headers.all(|header| field::is_field(header.name.as_bytes(), &header.value))
}
