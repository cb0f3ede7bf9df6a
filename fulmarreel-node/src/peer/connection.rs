//! One multiplexed connection.

use super::{Identity, stream};
use crate::telemetry::metrics::{self, AbandonedEnd};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Failed, Frame, Head, Refused, State},
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

/// Frames that may wait to be written before their senders wait.
const QUEUED_FRAMES: usize = 64;

/// How long a connection may take to open, the peer's greeting included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Silence, while calls wait, after which the peer is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(200);

/// Silence, while calls wait, after which the connection is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// How long the end of an abandoned call is waited for.
const ABANDONED_LIMIT: Duration = Duration::from_secs(10);

/// Time after its caller left from which on work that still went on is logged.
const LATE_END: Duration = Duration::from_millis(250);

/// What happened to a call on a connection.
#[derive(Debug)]
pub enum Event {
    /// Status and headers arrived.
    Head(Head),
    /// Part of the body arrived.
    Chunk(Chunk),
    /// The call was not run.
    Refused(Refused),
    /// The call may have run, and its answer cannot be had.
    Failed(Failed),
    /// The answer to a query or to a cancellation.
    State(State),
    /// The connection ended.
    Lost {
        /// Whether any byte of the call may have been written.
        written: bool,
    },
}

impl Event {
    /// How the work on an abandoned call ended, where this tells its end.
    fn end_of_abandoned(&self) -> Option<AbandonedEnd> {
        match self {
            Self::Refused(_) => Some(AbandonedEnd::NotRun),
            Self::Failed(_) => Some(AbandonedEnd::Failed),
            Self::Head(_) => Some(AbandonedEnd::Answered),
            Self::Chunk(_) | Self::State(_) | Self::Lost { .. } => None,
        }
    }
}

/// One multiplexed connection to a peer.
#[derive(Debug)]
pub struct Connection {
    peer: SocketAddr,
    peer_boot: u64,
    tcp: TcpStream,
    outgoing: Sender<Frame>,
    calls: Mutex<Calls>,
    heard: Mutex<Instant>,
    open: AtomicBool,
    leaving: AtomicBool,
}

#[derive(Debug)]
struct Calls {
    waiting: HashMap<u64, Waiting>,
    /// Since when at least one call waits.
    since: Instant,
    /// When calls were abandoned whose end the peer has not told yet.
    abandoned: HashMap<u64, Instant>,
    closed: bool,
}

#[derive(Debug)]
struct Waiting {
    events: Sender<Event>,
    written: bool,
}

impl Connection {
    /// Opens a connection and starts its reader and writer; `last_boot` is that of the process
    /// that the peer's address led to before.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached in time or speaks another protocol.
    pub async fn connect(
        peer: SocketAddr,
        own: Identity,
        generation: u64,
        last_boot: Option<u64>,
    ) -> io::Result<Arc<Self>> {
        or(Self::greet(peer, own, generation, last_boot), async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        })
        .await
    }

    async fn greet(
        peer: SocketAddr,
        own: Identity,
        generation: u64,
        last_boot: Option<u64>,
    ) -> io::Result<Arc<Self>> {
        let mut tcp = TcpStream::connect(peer).await?;
        tcp.set_nodelay(true)?;
        let hello = Hello {
            protocol: PROTOCOL,
            address: own.address,
            boot: own.boot,
            purpose: Purpose::Calls,
        };
        stream::write(&mut tcp, &hello).await?;
        let greeting: Hello = stream::read(&mut tcp).await?;
        if greeting.protocol != PROTOCOL {
            return Err(io::ErrorKind::Unsupported.into());
        }
        let begin = Frame::Begin {
            generation,
            resumed: last_boot == Some(greeting.boot),
        };
        stream::write(&mut tcp, &begin).await?;
        let (outgoing, frames) = bounded(QUEUED_FRAMES);
        let now = Instant::now();
        let connection = Arc::new(Self {
            peer,
            peer_boot: greeting.boot,
            tcp: tcp.clone(),
            outgoing,
            calls: Mutex::new(Calls {
                waiting: HashMap::new(),
                since: now,
                abandoned: HashMap::new(),
                closed: false,
            }),
            heard: Mutex::new(now),
            open: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
        });
        let writing = Arc::clone(&connection);
        crate::runtime::spawn(async move { writing.write_frames(&frames).await });
        let reading = Arc::clone(&connection);
        crate::runtime::spawn(async move { reading.read_frames(tcp).await });
        Ok(connection)
    }

    /// When the peer's process started; tells it from a later one at the same address.
    pub fn peer_boot(&self) -> u64 {
        self.peer_boot
    }

    /// Whether the connection was open when last looked at.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Whether the peer said that its target takes no calls.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Registers a call; its events arrive until it is forgotten or the connection ends.
    pub fn register(&self, sequence: u64) -> Receiver<Event> {
        let (events, receiver) = unbounded();
        let mut calls = self.calls.lock().expect("calls lock");
        if calls.closed {
            let _ = events.try_send(Event::Lost { written: false });
            return receiver;
        }
        if calls.waiting.is_empty() {
            calls.since = Instant::now();
        }
        let written = false;
        calls.waiting.insert(sequence, Waiting { events, written });
        receiver
    }

    /// Forgets a call; what still arrives for it is dropped.
    pub fn forget(&self, sequence: u64) {
        let mut calls = self.calls.lock().expect("calls lock");
        calls.waiting.remove(&sequence);
    }

    /// Queues a frame; false where the connection is closed.
    pub async fn send(&self, frame: Frame) -> bool {
        self.outgoing.send(frame).await.is_ok()
    }

    /// Tells the peer that a call's answer is no longer wanted.
    pub fn cancel(self: &Arc<Self>, sequence: u64) {
        let connection = Arc::clone(self);
        crate::runtime::spawn(async move {
            connection.send(Frame::Cancel { sequence }).await;
        });
    }

    /// Forgets a call whose caller left, and tells the peer so.
    pub fn abandon(self: &Arc<Self>, sequence: u64) {
        let now = Instant::now();
        {
            let mut calls = self.calls.lock().expect("calls lock");
            calls.waiting.remove(&sequence);
            // The end of some crosses the cancellation.
            calls
                .abandoned
                .retain(|_, since| now.saturating_duration_since(*since) < ABANDONED_LIMIT);
            if !calls.closed {
                calls.abandoned.insert(sequence, now);
            }
        }
        self.cancel(sequence);
    }

    /// Closes the connection where calls wait and nothing was heard for too long, and asks for a
    /// sign of life before that.
    pub fn check(&self, now: Instant) {
        let since = {
            let calls = self.calls.lock().expect("calls lock");
            if calls.waiting.is_empty() {
                return;
            }
            calls.since
        };
        let heard = *self.heard.lock().expect("heard lock");
        let silent = now.saturating_duration_since(heard.max(since));
        if silent >= SILENCE_LIMIT {
            log::info!(peer:% = self.peer; "connection silent, closed");
            self.close();
        } else if silent >= PING_AFTER {
            let _ = self.outgoing.try_send(Frame::Ping { token: 0 });
        }
    }

    fn close(&self) {
        let _ = self.tcp.shutdown(Shutdown::Both);
        self.open.store(false, Ordering::Release);
        self.outgoing.close();
        let mut calls = self.calls.lock().expect("calls lock");
        calls.closed = true;
        for (_, call) in calls.waiting.drain() {
            let written = call.written;
            let _ = call.events.try_send(Event::Lost { written });
        }
        let untold = calls.abandoned.drain();
        untold.for_each(|(call, since)| self.end_abandoned(call, AbandonedEnd::Untold, since));
    }

    /// Records the end of a call that was abandoned a while ago.
    fn end_abandoned(&self, call: u64, end: AbandonedEnd, since: Instant) {
        let after = since.elapsed();
        metrics::abandoned_call_ended(end, after);
        if after >= LATE_END {
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
                    *self.heard.lock().expect("heard lock") = Instant::now();
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
            Frame::Head(head) => (head.sequence, Event::Head(head)),
            Frame::Chunk(chunk) => (chunk.sequence, Event::Chunk(chunk)),
            Frame::Refused(refused) => (refused.sequence, Event::Refused(refused)),
            Frame::Failed(failed) => (failed.sequence, Event::Failed(failed)),
            Frame::State { sequence, state } => (sequence, Event::State(state)),
            Frame::Leaving => return self.leaving.store(true, Ordering::Release),
            Frame::Accepting => return self.leaving.store(false, Ordering::Release),
            Frame::Pong { .. } => return,
            other => {
                log::debug!("connection to {}: unexpected frame {other:?}", self.peer);
                return;
            }
        };
        let mut calls = self.calls.lock().expect("calls lock");
        if let Some(call) = calls.waiting.get(&sequence) {
            // The receiver may be gone: its caller hung up.
            let _ = call.events.try_send(event);
        } else if let Some(end) = event.end_of_abandoned()
            && let Some(since) = calls.abandoned.remove(&sequence)
        {
            self.end_abandoned(sequence, end, since);
        }
    }

    async fn write_frames(&self, frames: &Receiver<Frame>) {
        let mut tcp = self.tcp.clone();
        let written = stream::pump(&mut tcp, frames, |frame| self.mark_written(frame)).await;
        if let Err(error) = written {
            log::debug!("connection to {}: {error}", self.peer);
        }
        self.close();
    }

    fn mark_written(&self, frame: &Frame) {
        if let Frame::Open(open) = frame {
            let mut calls = self.calls.lock().expect("calls lock");
            if let Some(call) = calls.waiting.get_mut(&open.sequence) {
                call.written = true;
            }
        }
    }
}
