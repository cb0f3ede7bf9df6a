//! Connections to other nodes, on which this node opens calls.

mod connection;
pub mod stream;
pub mod turns;

pub use connection::{Connection, Event};

use smol::Timer;
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::{Duration, Instant},
};

/// How often connections with pending calls are checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// This node's identity as it sends it to peers.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// The address on which it accepts peers.
    pub address: SocketAddr,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Connections to peers, one to each peer that calls were sent to.
#[derive(Debug)]
pub struct Pool {
    own: Identity,
    /// Whether calls take turns in writing, as they do over a narrow link.
    in_turns: Arc<AtomicBool>,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

#[derive(Debug, Default)]
struct Peer {
    connection: Mutex<Option<Arc<Connection>>>,
    /// Locked while a connection is opened, so that there is one attempt at a time.
    connecting: smol::lock::Mutex<ConnectState>,
}

#[derive(Debug, Default)]
struct ConnectState {
    /// Number of the last attempt, which orders the connections to this peer.
    generation: u64,
    /// Start time of the peer's process at the last successful attempt, in milliseconds since the
    /// Unix epoch.
    last_started_at_ms: Option<u64>,
    last_failure: Option<(Instant, io::ErrorKind)>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(own: Identity) -> Self {
        Self::with_turns(own, Arc::default())
    }

    /// Creates a pool without connections, on which calls take turns in writing while `in_turns` is set.
    pub fn with_turns(own: Identity, in_turns: Arc<AtomicBool>) -> Self {
        Self {
            own,
            in_turns,
            peers: Mutex::default(),
        }
    }

    /// Returns the open connection to the peer, or opens one.
    ///
    /// # Errors
    ///
    /// The connection could not be opened.
    pub async fn get(&self, address: SocketAddr) -> io::Result<Arc<Connection>> {
        let peer = self.peer(address);
        if let Some(open) = peer.open_connection() {
            return Ok(open);
        }
        let requested_at = Instant::now();
        let mut connect_state = peer.connecting.lock().await;
        if let Some(open) = peer.open_connection() {
            return Ok(open);
        }
        if let Some((failed_at, kind)) = connect_state.last_failure
            && failed_at >= requested_at
        {
            // This call waited for an attempt of another call, which failed for both.
            return Err(kind.into());
        }
        connect_state.generation += 1;
        let (generation, last_started_at_ms) =
            (connect_state.generation, connect_state.last_started_at_ms);
        let in_turns = Arc::clone(&self.in_turns);
        let connected =
            Connection::connect(address, self.own, generation, last_started_at_ms, in_turns);
        match connected.await {
            Ok(connection) => {
                connect_state.last_started_at_ms = Some(connection.peer_started_at_ms());
                *peer.connection.lock().expect("connection lock") = Some(Arc::clone(&connection));
                Ok(connection)
            }
            Err(error) => {
                connect_state.last_failure = Some((Instant::now(), error.kind()));
                Err(error)
            }
        }
    }

    /// Whether the peer announced on its open connection that its target accepts no new calls.
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        let peers = self.peers.lock().expect("peers lock");
        let open = peers.get(&address).and_then(|peer| peer.open_connection());
        open.is_some_and(|connection| connection.is_leaving())
    }

    /// Closes connections that are silent while calls are pending on them, until the process ends.
    pub async fn close_silent_connections(&self) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let peers: Vec<Arc<Peer>> = {
                let peers = self.peers.lock().expect("peers lock");
                peers.values().map(Arc::clone).collect()
            };
            for connection in peers.iter().filter_map(|peer| peer.open_connection()) {
                connection.check_liveness(Instant::now());
            }
        }
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock().expect("peers lock");
        Arc::clone(peers.entry(address).or_default())
    }
}

impl Peer {
    fn open_connection(&self) -> Option<Arc<Connection>> {
        let connection = self.connection.lock().expect("connection lock");
        connection
            .as_ref()
            .filter(|connection| connection.is_open())
            .map(Arc::clone)
    }
}
