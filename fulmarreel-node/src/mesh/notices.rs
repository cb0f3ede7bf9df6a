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
    time::{Duration, Instant},
};

/// How often a node says up to which revision it knows the store.
const REVISION_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long the store itself has to bring a revision that a peer knows, and once more after the
/// watch was begun anew.
const STORE_FIRST: Duration = Duration::from_millis(400);

/// How often it is looked whether the revision has risen.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Nodes of the own region that are told.
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

    /// Says up to which revision the store is known, now and then and when it rises, until the process
    /// ends.
    pub async fn tell(self: Arc<Self>) {
        let mut told = (0, Instant::now());
        loop {
            Timer::after(LOOK_INTERVAL).await;
            let revision = self.world.revision();
            if revision == 0 || (revision == told.0 && told.1.elapsed() < REVISION_INTERVAL) {
                continue;
            }
            let risen = revision > told.0;
            told = (revision, Instant::now());
            self.tell_some(true, FAN_OUT, revision).await;
            if risen {
                self.tell_some(false, 1, revision).await;
            }
        }
    }

    /// Tells some random nodes of the own region, or of others.
    async fn tell_some(&self, near: bool, count: usize, revision: u64) {
        let own = self.world.settings().peers;
        let view = self.world.view();
        let nodes = view
            .nodes
            .iter()
            .filter(|node| node.1 == near && node.0 != own);
        let nodes: Vec<SocketAddr> = nodes.map(|node| node.0).collect();
        for _ in 0..count.min(nodes.len()) {
            let to = nodes[fastrand::usize(..nodes.len())];
            self.send(to, Notice::Revision(revision)).await;
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
        self.world.hear(revision);
        if revision <= self.world.revision() || self.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        let notices = Arc::clone(self);
        crate::runtime::spawn(async move {
            Timer::after(STORE_FIRST).await;
            if revision > notices.world.revision() {
                notices.world.fall_behind();
                Timer::after(STORE_FIRST).await;
            }
            if revision > notices.world.revision()
                && let Err(error) = sync::pull(&notices.world, peer).await
            {
                log::info!(peer:% = peer; "pull: {error}");
            }
            notices.pulling.store(false, Ordering::Release);
        });
    }
}
