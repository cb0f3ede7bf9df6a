//! Connections from other nodes, over which they send requests for this node's target.

use super::{Rejection, Server, crossing::Uploads, request_id};
use crate::{
    mesh::sync,
    peer::{Identity, stream},
    serve::{
        link::{Event, IncomingConnection, QUEUED_FRAMES},
        open::OpenCall,
        session::{Session, WholeResponse},
    },
};
use fulmarreel_call::Origin;
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Failed, Failure, Frame, Open, Refused},
};
use smol::{channel::bounded, io::BufReader, net::TcpStream};
use std::{io, sync::Arc, time::Instant};

impl Server {
    pub(super) async fn serve_connection(self: &Arc<Self>, mut tcp: TcpStream) -> io::Result<()> {
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
            address: self.context.settings().peer_address,
            started_at_ms: self.context.started_at_ms,
        };
        let (generation, resumed) = stream::accept_handshake(&mut tcp, own).await?;
        let origin = Origin {
            address: hello.address,
            boot: hello.boot,
        };
        let (outgoing, frames) = bounded::<Frame>(QUEUED_FRAMES);
        let session = self.sessions.get_or_insert(origin);
        if !session.connect(generation, resumed, outgoing.clone()) {
            return Ok(());
        }
        if !self.accepts_requests() {
            let _ = outgoing.send(Frame::Leaving).await;
        }
        let in_turns = self.links.in_turns();
        crate::runtime::spawn(stream::write_call_frames(tcp.clone(), frames, in_turns));
        // The node that received the request from its caller enforces the configured body limit.
        let mut connection = IncomingConnection::new(session, outgoing, generation, u64::MAX);
        let result = self.receive_calls(&mut connection, tcp).await;
        connection.end();
        result
    }

    async fn receive_calls(
        self: &Arc<Self>,
        connection: &mut IncomingConnection,
        tcp: TcpStream,
    ) -> io::Result<()> {
        let mut tcp = BufReader::new(tcp);
        let mut uploads = Uploads::default();
        loop {
            connection.announces_bodies = self.context.view().has_bulk_routes();
            match connection.next(&mut tcp).await? {
                Event::Announced { sequence } => {
                    self.expect_upload(&mut uploads, connection, sequence);
                }
                Event::Opened(call, open, body) => {
                    uploads.remove(open.sequence);
                    crate::runtime::spawn(Arc::clone(self).serve_call(call, open, body));
                }
                Event::Cancelled { sequence } => uploads.remove(sequence),
                Event::Credit { .. } => {}
            }
        }
    }

    /// Serves one request of a peer to its end.
    async fn serve_call(self: Arc<Self>, call: OpenCall, open: Open, body: Vec<u8>) {
        let (session, sequence) = (&call.session, call.sequence);
        let opened_at = Instant::now();
        let log_withdrawn = || {
            let after_ms = opened_at.elapsed().as_millis() as u64;
            log::info!(id = request_id(&open), after_ms; "withdrawn, its caller left");
        };
        let crossing = match self.expect_response(&open) {
            Ok(crossing) => crossing,
            Err(rejection) => return reject(session, sequence, rejection).await,
        };
        let admitted = match call.until_cancelled(self.admit(&open)).await {
            Some(Ok(admitted)) => admitted,
            Some(Err(rejection)) => return reject(session, sequence, rejection).await,
            None => return log_withdrawn(),
        };
        if !call.hand_over() {
            return log_withdrawn();
        }
        let execution = self.execute(admitted, &open, &body);
        // Only an idempotent request may be cut off while the target runs it.
        let result = if open.idempotent {
            call.until_cancelled(execution).await
        } else {
            Some(execution.await)
        };
        match result {
            None => {
                let after_ms = opened_at.elapsed().as_millis() as u64;
                log::info!(id = request_id(&open), after_ms; "broken off, its caller left");
                fail(session, sequence, Failure::Deadline).await;
            }
            Some(Ok(response)) => {
                let response = Arc::new(response);
                let bytes = response.body.len() + size_of::<WholeResponse>();
                {
                    let mut ledger = session.ledger.lock().expect("ledger lock");
                    ledger.store_response(sequence, Arc::clone(&response), bytes, Instant::now());
                }
                self.send_crossing(crossing, response.body.len()).await;
                session.send(&response).await;
            }
            Some(Err(rejection)) => reject(session, sequence, rejection).await,
        }
    }
}

/// Tells the peer why a request has no response.
async fn reject(session: &Session, sequence: u64, rejection: Rejection) {
    let (reason, retry_after) = match rejection {
        Rejection::Failed(reason) => return fail(session, sequence, reason).await,
        Rejection::Refused {
            reason,
            retry_after,
        } => (reason, retry_after),
    };
    let is_withdrawn = {
        let mut ledger = session.ledger.lock().expect("ledger lock");
        ledger.mark_not_run(sequence, Instant::now())
    };
    if is_withdrawn {
        let refused = Refused::new(sequence, reason);
        session.reply(Frame::Refused(refused)).await;
    } else {
        session
            .refuse_with_retry_after(sequence, reason, retry_after)
            .await;
    }
}

/// Records that a request's outcome is lost, and tells the peer.
async fn fail(session: &Session, sequence: u64, reason: Failure) {
    {
        let mut ledger = session.ledger.lock().expect("ledger lock");
        ledger.mark_lost(sequence, Instant::now());
    }
    let failed = Failed { sequence, reason };
    session.reply(Frame::Failed(failed)).await;
}
