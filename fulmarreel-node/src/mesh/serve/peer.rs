//! Connections of other nodes that send requests here.

use super::{Rejection, Server, request_id};
use crate::{
    mesh::sync,
    peer::{Identity, stream},
    serve::{
        link::{Event, Link, QUEUED_FRAMES},
        session::{Kept, Session},
    },
};
use fulmarreel_call::Origin;
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Failed, Failure, Frame, Open, Refused},
};
use smol::{
    channel::{Receiver, bounded},
    future::or,
    io::BufReader,
    net::TcpStream,
};
use std::{io, sync::Arc, time::Instant};

impl Server {
    pub(super) async fn connection(self: &Arc<Self>, mut tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let hello: Hello = stream::read(&mut tcp).await?;
        if hello.protocol != PROTOCOL {
            log::warn!(peer:% = hello.address; "refused {hello:?}");
            return Ok(());
        }
        match hello.purpose {
            Purpose::Mirror => return sync::serve(&self.context, tcp).await,
            Purpose::Calls => {}
            Purpose::Sync | Purpose::Evidence => return Ok(()),
        }
        let own = Identity {
            address: self.context.settings().peers,
            boot: self.context.boot,
        };
        let (generation, resumed) = stream::greet(&mut tcp, own).await?;
        let origin = Origin {
            address: hello.address,
            boot: hello.boot,
        };
        let (outgoing, frames) = bounded::<Frame>(QUEUED_FRAMES);
        let session = {
            let mut sessions = self.sessions.lock().expect("sessions lock");
            Arc::clone(sessions.entry(origin).or_default())
        };
        if !session.connect(generation, resumed, outgoing.clone()) {
            return Ok(());
        }
        if !self.takes_requests() {
            let _ = outgoing.send(Frame::Leaving).await;
        }
        crate::runtime::spawn(stream::pump_calls(tcp.clone(), frames));
        // The callers' node keeps the configured limit of bodies.
        let link = Link::new(session, outgoing.clone(), generation, u64::MAX);
        let ended = self.follow(origin, link, tcp).await;
        outgoing.close();
        let running = {
            let running = self.running.lock().expect("running lock");
            running.keys().filter(|key| key.0 == origin).count()
        };
        if running > 0 {
            log::info!(peer:% = origin.address, generation, running; "connection of a node ended");
        }
        ended
    }

    async fn follow(
        self: &Arc<Self>,
        origin: Origin,
        mut link: Link,
        tcp: TcpStream,
    ) -> io::Result<()> {
        let mut tcp = BufReader::new(tcp);
        loop {
            match link.next(&mut tcp).await? {
                Event::Opened(open, body) => {
                    let (server, session) = (Arc::clone(self), Arc::clone(&link.session));
                    crate::runtime::spawn(server.serve(origin, session, open, body));
                }
                Event::Cancelled { sequence, late } if late => self.break_off((origin, sequence)),
                Event::Cancelled { .. } | Event::Credit { .. } => {}
            }
        }
    }

    /// Has a request that may be repeated broken off at its target.
    fn break_off(&self, key: (Origin, u64)) {
        let running = self.running.lock().expect("running lock").remove(&key);
        if let Some(running) = running {
            // The request may have ended this moment.
            let _ = running.try_send(());
        }
    }

    /// Serves one request of a peer to its end.
    async fn serve(
        self: Arc<Self>,
        origin: Origin,
        session: Arc<Session>,
        open: Open,
        body: Vec<u8>,
    ) {
        let sequence = open.sequence;
        let key = (origin, sequence);
        let (cancel, cancelled) = bounded(1);
        let opened = Instant::now();
        let admitted = match self.admit(&open).await {
            Ok(admitted) => admitted,
            Err(rejection) => return reject(&session, sequence, rejection).await,
        };
        let handed_over = {
            let mut ledger = session.ledger.lock().expect("ledger lock");
            let handed_over = ledger.hand_over(sequence);
            if handed_over && open.idempotent {
                let mut running = self.running.lock().expect("running lock");
                running.insert(key, cancel);
            }
            handed_over
        };
        if !handed_over {
            let after_ms = opened.elapsed().as_millis() as u64;
            log::info!(id = request_id(&open), after_ms; "withdrawn, its caller left");
            return;
        }
        let handled = or(
            async { Some(self.execute(admitted, &open, &body).await) },
            wait_for(&cancelled),
        )
        .await;
        self.running.lock().expect("running lock").remove(&key);
        match handled {
            None => {
                let after_ms = opened.elapsed().as_millis() as u64;
                log::info!(id = request_id(&open), after_ms; "broken off, its caller left");
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
            Some(Err(rejection)) => reject(&session, sequence, rejection).await,
        }
    }
}

/// Tells why a request has no answer.
async fn reject(session: &Session, sequence: u64, rejection: Rejection) {
    let (reason, retry_after) = match rejection {
        Rejection::Failed(reason) => return lose(session, sequence, reason).await,
        Rejection::Refused {
            reason,
            retry_after,
        } => (reason, retry_after),
    };
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
