//! One connection of a peer that opens calls.

use super::{
    Server, call,
    opener::{Kept, Session},
};
use crate::{
    peer::{Identity, stream},
    rollout::report,
    sync,
};
use fulmarreel_call::{Fate, Opener, ledger::Cancellation};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Frame, Open, Refusal, Refused, State},
};
use smol::{
    channel::{Sender, bounded},
    io::BufReader,
    net::TcpStream,
};
use std::{collections::HashMap, io, sync::Arc, time::Instant};

/// Frames that may wait to be written before their senders wait.
const QUEUED_FRAMES: usize = 64;

/// One connection of a peer that opens calls.
struct Connection {
    server: Arc<Server>,
    session: Arc<Session>,
    outgoing: Sender<Frame>,
    generation: u64,
    /// Calls of which part has arrived.
    arriving: HashMap<u64, (Open, Vec<u8>)>,
}

impl Server {
    /// Serves one connection until it ends.
    pub(super) async fn connection(self: &Arc<Self>, mut tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let hello: Hello = stream::read(&mut tcp).await?;
        if hello.protocol != PROTOCOL {
            log::warn!(peer:% = hello.address; "refused {hello:?}");
            return Ok(());
        }
        match hello.purpose {
            Purpose::Sync => return sync::accept(&self.state, tcp, &hello).await,
            Purpose::Evidence => return report::accept(&self.moves, tcp).await,
            Purpose::Snapshot => return Ok(()),
            Purpose::Calls => {}
        }
        let own = Identity {
            address: self.state.settings.advertise,
            boot: self.state.boot,
        };
        let (generation, resumed) = stream::greet(&mut tcp, own).await?;
        let opener = Opener {
            address: hello.address,
            boot: hello.boot,
        };
        let (outgoing, frames) = bounded::<Frame>(QUEUED_FRAMES);
        let session = self.session(opener);
        if !session.connect(generation, resumed, outgoing.clone()) {
            return Ok(());
        }
        if self.is_leaving() {
            let _ = outgoing.send(Frame::Leaving).await;
        }
        crate::runtime::spawn(stream::pump_calls(tcp.clone(), frames));
        let connection = Connection {
            server: Arc::clone(self),
            session,
            outgoing: outgoing.clone(),
            generation,
            arriving: HashMap::new(),
        };
        let ended = connection.read_frames(tcp).await;
        outgoing.close();
        ended
    }
}

impl Connection {
    async fn read_frames(mut self, tcp: TcpStream) -> io::Result<()> {
        let limit = self.server.state.settings.limits.request_bytes;
        let mut tcp = BufReader::new(tcp);
        loop {
            match stream::read(&mut tcp).await? {
                Frame::Open(open) if open.length > limit => {
                    self.refuse_arriving(open.sequence, Refusal::Incomplete)
                        .await;
                }
                Frame::Open(open) => _ = self.arriving.insert(open.sequence, (open, Vec::new())),
                Frame::Chunk(chunk) => self.append(&chunk).await,
                Frame::Cancel { sequence } => self.cancel(sequence).await,
                Frame::Query { sequence } => self.query(sequence).await,
                Frame::Credit { sequence, bytes } => self.credit(sequence, bytes),
                Frame::Ping { token } => _ = self.outgoing.send(Frame::Pong { token }).await,
                other => log::debug!("unexpected frame {other:?}"),
            }
        }
    }

    async fn append(&mut self, chunk: &Chunk) {
        let Some((open, body)) = self.arriving.get_mut(&chunk.sequence) else {
            return;
        };
        let length = body.len() as u64 + chunk.bytes.len() as u64;
        if chunk.offset != body.len() as u64 || length > open.length {
            self.arriving.remove(&chunk.sequence);
            self.refuse_arriving(chunk.sequence, Refusal::Incomplete)
                .await;
            return;
        }
        body.extend_from_slice(&chunk.bytes);
        if !chunk.last {
            return;
        }
        let Some((open, body)) = self.arriving.remove(&chunk.sequence) else {
            return;
        };
        if length != open.length {
            self.refuse_arriving(chunk.sequence, Refusal::Incomplete)
                .await;
            return;
        }
        self.start(open, body);
    }

    fn start(&self, open: Open, body: Vec<u8>) {
        let opened = {
            let mut ledger = self.session.ledger.lock().expect("ledger lock");
            ledger.expire(Instant::now());
            ledger.open(self.generation, open.sequence)
        };
        if let Err(error) = opened {
            log::info!(call = open.sequence, service = open.service.as_str(); "not opened: {error}");
            return;
        }
        let call = call::Call {
            server: Arc::clone(&self.server),
            session: Arc::clone(&self.session),
            outgoing: self.outgoing.clone(),
            sequence: open.sequence,
        };
        crate::runtime::spawn(call.run(open, body));
    }

    async fn refuse_arriving(&self, sequence: u64, reason: Refusal) {
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
        self.session
            .credits
            .lock()
            .expect("credits lock")
            .remove(&sequence);
        let cancelled = {
            let mut ledger = self.session.ledger.lock().expect("ledger lock");
            ledger.cancel(sequence, Instant::now())
        };
        let reply = match cancelled {
            Cancellation::NotRun => Frame::Refused(Refused::new(sequence, Refusal::Cancelled)),
            Cancellation::TooLate => Frame::State {
                sequence,
                state: State::Running,
            },
        };
        let _ = self.outgoing.send(reply).await;
    }

    async fn query(&self, sequence: u64) {
        let (state, kept) = self.fate(sequence);
        let _ = self.outgoing.send(Frame::State { sequence, state }).await;
        if let Some(kept) = kept {
            self.session.send(&kept).await;
        }
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

    fn credit(&self, sequence: u64, bytes: u32) {
        let credits = self.session.credits.lock().expect("credits lock");
        if let Some(credit) = credits.get(&sequence) {
            let _ = credit.try_send(bytes);
        }
    }
}
