//! Serves connections that peers open.

use super::{
    Server, call,
    link::{Event, IncomingConnection, QUEUED_FRAMES},
};
use crate::{
    peer::{Identity, stream},
    rollout::report,
    sync,
};
use fulmarreel_call::Origin;
use fulmarreel_wire::{Hello, PROTOCOL, Purpose, call::Frame};
use smol::{channel::bounded, io::BufReader, net::TcpStream};
use std::{io, sync::Arc};

impl Server {
    /// Serves a connection for the purpose that the peer's greeting names, until the connection
    /// ends.
    pub(super) async fn serve_connection(self: &Arc<Self>, mut tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let hello: Hello = stream::read(&mut tcp).await?;
        if hello.protocol != PROTOCOL {
            log::warn!(peer:% = hello.address; "refused {hello:?}");
            return Ok(());
        }
        match hello.purpose {
            Purpose::Sync => return sync::accept(&self.state, tcp, &hello).await,
            Purpose::Evidence => return report::accept(&self.rollouts, tcp).await,
            Purpose::Mirror => return Ok(()),
            Purpose::Calls => {}
        }
        let own = Identity {
            address: self.state.settings.advertise,
            started_at_ms: self.state.started_at_ms,
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
        if self.is_leaving() {
            let _ = outgoing.send(Frame::Leaving).await;
        }
        crate::runtime::spawn(stream::write_call_frames(
            tcp.clone(),
            frames,
            Arc::default(),
        ));
        let limit = self.state.settings.limits.request_bytes;
        let mut connection = IncomingConnection::new(session, outgoing, generation, limit);
        let result = self.serve_calls(&mut connection, tcp).await;
        connection.end();
        result
    }

    async fn serve_calls(
        self: &Arc<Self>,
        connection: &mut IncomingConnection,
        tcp: TcpStream,
    ) -> io::Result<()> {
        let mut tcp = BufReader::new(tcp);
        loop {
            match connection.next(&mut tcp).await? {
                Event::Opened(open_call, open, body) => {
                    let call = call::Call {
                        server: Arc::clone(self),
                        open_call,
                        outgoing: connection.outgoing.clone(),
                    };
                    crate::runtime::spawn(call.run(open, body));
                }
                Event::Cancelled { sequence } => {
                    let mut credits = connection.session.credits.lock().expect("credits lock");
                    credits.remove(&sequence);
                }
                Event::Announced { .. } => {}
                Event::Credit { sequence, bytes } => {
                    let credits = connection.session.credits.lock().expect("credits lock");
                    if let Some(credit) = credits.get(&sequence) {
                        let _ = credit.try_send(bytes);
                    }
                }
            }
        }
    }
}
