//! Short word between nodes over UDP.

use super::{sync, takeover::Moves, world::World};
use fulmarreel_wire::{
    PROTOCOL,
    notice::{Datagram, MAX_DATAGRAM_BYTES, Notice},
};
use smol::{Timer, net::UdpSocket};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// How often a node says up to which revision it knows the store.
const REVISION_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long the store itself has to bring a revision that a peer knows.
const STORE_FIRST: Duration = Duration::from_millis(500);

/// Nodes that are told.
const FAN_OUT: usize = 2;

/// The node's datagram socket.
#[derive(Debug)]
pub struct Notices {
    world: Arc<World>,
    socket: UdpSocket,
    pulling: AtomicBool,
}

impl Notices {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(world: Arc<World>) -> io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(world.settings().peers).await?;
        let pulling = AtomicBool::new(false);
        Ok(Arc::new(Self {
            world,
            socket,
            pulling,
        }))
    }

    /// Sends a notice; what is lost is said again by its sender.
    pub async fn send(&self, to: SocketAddr, notice: Notice) {
        let datagram = Datagram {
            protocol: PROTOCOL,
            from: self.world.settings().peers,
            notice,
        };
        let sent = match datagram.encode() {
            Ok(bytes) => self.socket.send_to(&bytes, to).await.map(|_| ()),
            Err(error) => Err(io::Error::other(error)),
        };
        if let Err(error) = sent {
            log::debug!(peer:% = to; "notice: {error}");
        }
    }

    /// Sends a notice to every other node.
    pub async fn send_all(&self, notice: &Notice) {
        let own = self.world.settings().peers;
        for (address, _) in &self.world.view().nodes {
            if *address != own {
                self.send(*address, notice.clone()).await;
            }
        }
    }

    /// Says up to which revision the store is known, until the process ends.
    pub async fn tell(self: Arc<Self>) {
        let own = self.world.settings().peers;
        loop {
            Timer::after(REVISION_INTERVAL).await;
            let revision = self.world.revision();
            let view = self.world.view();
            let near = view.nodes.iter().filter(|node| node.1 && node.0 != own);
            let near: Vec<SocketAddr> = near.map(|node| node.0).collect();
            if revision == 0 || near.is_empty() {
                continue;
            }
            for _ in 0..FAN_OUT {
                let to = near[fastrand::usize(..near.len())];
                self.send(to, Notice::Revision(revision)).await;
            }
        }
    }

    /// Takes in notices until the process ends.
    pub async fn receive(self: Arc<Self>, moves: Arc<Moves>) {
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, peer) = match received {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("notices: {error}");
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) if datagram.protocol == PROTOCOL => self.take(&moves, datagram),
                Ok(datagram) => log::warn!("notice from {peer}: protocol {}", datagram.protocol),
                Err(error) => log::warn!("notice from {peer}: {error}"),
            }
        }
    }

    fn take(self: &Arc<Self>, moves: &Moves, datagram: Datagram) {
        match datagram.notice {
            Notice::Revision(revision) => self.catch_up(datagram.from, revision),
            Notice::Tally(tally) => moves.hear(datagram.from, tally),
            Notice::Share(share) => moves.follow(&share),
            Notice::Bad { service, order } => moves.condemn(&service, order),
        }
    }

    /// Takes over what a peer knows, unless the store itself brings it soon.
    fn catch_up(self: &Arc<Self>, peer: SocketAddr, revision: u64) {
        if revision <= self.world.revision() || self.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let notices = Arc::clone(self);
        crate::runtime::spawn(async move {
            Timer::after(STORE_FIRST).await;
            if revision > notices.world.revision() {
                notices.world.fall_behind();
                if let Err(error) = sync::pull(&notices.world, peer).await {
                    log::info!(peer:% = peer; "pull: {error}");
                }
            }
            notices.pulling.store(false, Ordering::Release);
        });
    }
}
