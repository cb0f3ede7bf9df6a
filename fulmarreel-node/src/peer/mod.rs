//! Connections to other nodes, on which calls are multiplexed.

mod connection;
pub mod stream;

pub use connection::{Connection, Event};

use smol::Timer;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// How often connections on which calls wait are checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// This node, as it names itself to peers.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// Where it accepts peers.
    pub address: SocketAddr,
    /// When it started, in milliseconds since the Unix epoch.
    pub boot: u64,
}

/// One connection to each peer that calls were sent to.
#[derive(Debug)]
pub struct Pool {
    own: Identity,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

#[derive(Debug, Default)]
struct Peer {
    connection: Mutex<Option<Arc<Connection>>>,
    /// Held while a connection is opened, so that there is one at a time.
    connecting: smol::lock::Mutex<Attempts>,
}

#[derive(Debug, Default)]
struct Attempts {
    generation: u64,
    last_boot: Option<u64>,
    last_failure: Option<(Instant, io::ErrorKind)>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(own: Identity) -> Self {
        Self {
            own,
            peers: Mutex::default(),
        }
    }

    /// The open connection to the peer, or a new one.
    ///
    /// # Errors
    ///
    /// The connection could not be opened.
    pub async fn get(&self, address: SocketAddr) -> io::Result<Arc<Connection>> {
        let peer = self.peer(address);
        if let Some(open) = peer.open() {
            return Ok(open);
        }
        let asked = Instant::now();
        let mut attempts = peer.connecting.lock().await;
        if let Some(open) = peer.open() {
            return Ok(open);
        }
        if let Some((at, kind)) = attempts.last_failure
            && at >= asked
        {
            // Another call waited for the same attempt.
            return Err(kind.into());
        }
        attempts.generation += 1;
        let (generation, last_boot) = (attempts.generation, attempts.last_boot);
        match Connection::connect(address, self.own, generation, last_boot).await {
            Ok(connection) => {
                attempts.last_boot = Some(connection.peer_boot());
                *peer.connection.lock().expect("connection lock") = Some(Arc::clone(&connection));
                Ok(connection)
            }
            Err(error) => {
                attempts.last_failure = Some((Instant::now(), error.kind()));
                Err(error)
            }
        }
    }

    /// Whether the peer said on its open connection that its target takes no calls.
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        let peers = self.peers.lock().expect("peers lock");
        let open = peers.get(&address).and_then(|peer| peer.open());
        open.is_some_and(|connection| connection.is_leaving())
    }

    /// Closes connections that are silent while calls wait on them, until the process ends.
    pub async fn watch(&self) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let peers: Vec<Arc<Peer>> = {
                let peers = self.peers.lock().expect("peers lock");
                peers.values().map(Arc::clone).collect()
            };
            for connection in peers.iter().filter_map(|peer| peer.open()) {
                connection.check(Instant::now());
            }
        }
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock().expect("peers lock");
        Arc::clone(peers.entry(address).or_default())
    }
}

impl Peer {
    fn open(&self) -> Option<Arc<Connection>> {
        let connection = self.connection.lock().expect("connection lock");
        connection
            .as_ref()
            .filter(|connection| connection.is_open())
            .map(Arc::clone)
    }
}
