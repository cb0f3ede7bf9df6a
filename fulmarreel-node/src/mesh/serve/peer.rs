//! Connections of other nodes that send requests here.

use super::{Rejection, Server, request_id};
use crate::{
    mesh::sync,
    peer::{Identity, stream},
    serve::opener::{Kept, Session},
};
use fulmarreel_call::{Fate, Opener, ledger::Cancellation};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Failed, Failure, Frame, Open, Refusal, Refused, State},
};
use smol::{
    channel::{Receiver, Sender, bounded},
    future::or,
    io::BufReader,
    net::TcpStream,
};
use std::{collections::HashMap, io, sync::Arc, time::Instant};

/// Frames that may wait to be written before their senders wait.
const QUEUED_FRAMES: usize = 64;

/// One connection of a peer that opens requests.
struct Peer {
    server: Arc<Server>,
    opener: Opener,
    session: Arc<Session>,
    outgoing: Sender<Frame>,
    generation: u64,
    /// Requests of which part has arrived.
    arriving: HashMap<u64, (Open, Vec<u8>)>,
}

impl Server {
    pub(super) async fn connection(self: &Arc<Self>, mut tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let hello: Hello = stream::read(&mut tcp).await?;
        if hello.protocol != PROTOCOL {
            log::warn!(peer:% = hello.address; "refused {hello:?}");
            return Ok(());
        }
        match hello.purpose {
            Purpose::Snapshot => return sync::send_snapshot(&self.world, tcp).await,
            Purpose::Calls => {}
            Purpose::Sync | Purpose::Evidence => return Ok(()),
        }
        let own = Identity {
            address: self.world.settings().peers,
            boot: self.world.boot,
        };
        let (generation, resumed) = stream::greet(&mut tcp, own).await?;
        let opener = Opener {
            address: hello.address,
            boot: hello.boot,
        };
        let (outgoing, frames) = bounded::<Frame>(QUEUED_FRAMES);
        let session = {
            let mut sessions = self.sessions.lock().expect("sessions lock");
            Arc::clone(sessions.entry(opener).or_default())
        };
        if !session.connect(generation, resumed, outgoing.clone()) {
            return Ok(());
        }
        if !self.takes_requests() {
            let _ = outgoing.send(Frame::Leaving).await;
        }
        crate::runtime::spawn(stream::pump_calls(tcp.clone(), frames));
        let peer = Peer {
            server: Arc::clone(self),
            opener,
            session,
            outgoing: outgoing.clone(),
            generation,
            arriving: HashMap::new(),
        };
        let ended = peer.read_frames(tcp).await;
        outgoing.close();
        ended
    }

    /// Serves one request of a peer to its end.
    async fn serve(
        self: Arc<Self>,
        opener: Opener,
        session: Arc<Session>,
        open: Open,
        body: Vec<u8>,
    ) {
        let sequence = open.sequence;
        let key = (opener, sequence);
        let (cancel, cancelled) = bounded(1);
        let hand_over = || {
            let mut ledger = session.ledger.lock().expect("ledger lock");
            let handed_over = ledger.hand_over(sequence);
            if handed_over && open.idempotent {
                let mut running = self.running.lock().expect("running lock");
                running.insert(key, cancel);
            }
            handed_over
        };
        let handled = or(
            async { Some(self.handle(&open, &body, hand_over).await) },
            wait_for(&cancelled),
        )
        .await;
        self.running.lock().expect("running lock").remove(&key);
        match handled {
            None => {
                log::info!(id = request_id(&open); "broken off, its caller left");
                lose(&session, sequence, Failure::Deadline).await;
            }
            Some(Ok(kept)) => {
                let kept = Arc::new(kept);
                let bytes = kept.body.len() + size_of::<Kept>();
                {
                    let mut ledger = session.ledger.lock().expect("ledger lock");
                    ledger.answer(sequence, Arc::clone(&kept), bytes, Instant::now());
                }
                session.send(&kept).await;
            }
            Some(Err(Rejection::Withdrawn)) => {}
            Some(Err(Rejection::Failed(reason))) => lose(&session, sequence, reason).await,
            Some(Err(Rejection::Refused {
                reason,
                retry_after,
            })) => {
                let withdrawn = {
                    let mut ledger = session.ledger.lock().expect("ledger lock");
                    ledger.withdraw(sequence, Instant::now())
                };
                if withdrawn {
                    let refused = Refused::new(sequence, reason);
                    session.reply(Frame::Refused(refused)).await;
                } else {
                    session.refuse_until(sequence, reason, retry_after).await;
                }
            }
        }
    }
}

/// Waits for a cancellation; a sender that is dropped cancels nothing.
async fn wait_for<T>(cancelled: &Receiver<()>) -> Option<T> {
    if cancelled.recv().await.is_err() {
        std::future::pending::<()>().await;
    }
    None
}

async fn lose(session: &Session, sequence: u64, reason: Failure) {
    {
        let mut ledger = session.ledger.lock().expect("ledger lock");
        ledger.lose(sequence, Instant::now());
    }
    let failed = Failed { sequence, reason };
    session.reply(Frame::Failed(failed)).await;
}

impl Peer {
    async fn read_frames(mut self, tcp: TcpStream) -> io::Result<()> {
        let mut tcp = BufReader::new(tcp);
        loop {
            match stream::read(&mut tcp).await? {
                Frame::Open(open) => _ = self.arriving.insert(open.sequence, (open, Vec::new())),
                Frame::Chunk(chunk) => self.append(&chunk).await,
                Frame::Cancel { sequence } => self.cancel(sequence).await,
                Frame::Query { sequence } => self.query(sequence).await,
                Frame::Ping { token } => _ = self.outgoing.send(Frame::Pong { token }).await,
                other => log::debug!("unexpected frame {other:?}"),
            }
        }
    }

    async fn append(&mut self, chunk: &Chunk) {
        let Some((open, body)) = self.arriving.get_mut(&chunk.sequence) else {
            return;
        };
        body.extend_from_slice(&chunk.bytes);
        if !chunk.last {
            return;
        }
        let complete = open.length == body.len() as u64;
        let Some((open, body)) = self.arriving.remove(&chunk.sequence) else {
            return;
        };
        if !complete {
            return self.refuse(chunk.sequence, Refusal::Incomplete).await;
        }
        let opened = {
            let mut ledger = self.session.ledger.lock().expect("ledger lock");
            ledger.expire(Instant::now());
            ledger.open(self.generation, open.sequence)
        };
        if let Err(error) = opened {
            log::info!(sequence = open.sequence; "not opened: {error}");
            return;
        }
        let (server, session) = (Arc::clone(&self.server), Arc::clone(&self.session));
        crate::runtime::spawn(server.serve(self.opener, session, open, body));
    }

    async fn refuse(&self, sequence: u64, reason: Refusal) {
        let cancelled = {
            let mut ledger = self.session.ledger.lock().expect("ledger lock");
            ledger.cancel(sequence, Instant::now())
        };
        if cancelled == Cancellation::NotRun {
            let refused = Frame::Refused(Refused::new(sequence, reason));
            let _ = self.outgoing.send(refused).await;
        }
    }

    async fn cancel(&mut self, sequence: u64) {
        self.arriving.remove(&sequence);
        let cancelled = {
            let mut ledger = self.session.ledger.lock().expect("ledger lock");
            ledger.cancel(sequence, Instant::now())
        };
        let reply = match cancelled {
            Cancellation::NotRun => Frame::Refused(Refused::new(sequence, Refusal::Cancelled)),
            Cancellation::TooLate => {
                let key = (self.opener, sequence);
                let running = self
                    .server
                    .running
                    .lock()
                    .expect("running lock")
                    .remove(&key);
                if let Some(running) = running {
                    // The request may have ended this moment.
                    let _ = running.try_send(());
                }
                let state = State::Running;
                Frame::State { sequence, state }
            }
        };
        let _ = self.outgoing.send(reply).await;
    }

    async fn query(&self, sequence: u64) {
        let (state, kept) = {
            let mut ledger = self.session.ledger.lock().expect("ledger lock");
            match ledger.query(sequence, Instant::now()) {
                Fate::NotRun => (State::NotRun, None),
                Fate::Running => (State::Running, None),
                Fate::Answered(kept) => (State::Answered, Some(Arc::clone(kept))),
                Fate::Unknown => (State::Unknown, None),
            }
        };
        let _ = self.outgoing.send(Frame::State { sequence, state }).await;
        if let Some(kept) = kept {
            self.session.send(&kept).await;
        }
    }
}
