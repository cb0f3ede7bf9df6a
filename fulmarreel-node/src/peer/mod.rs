//! Connections to other nodes, on which calls are multiplexed.

mod connection;
pub mod stream;

pub use connection::{Connection, Event};

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

/// Open connections by the peer's address.
#[derive(Debug, Default)]
pub struct Pool {
    connections: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

impl Pool {
    /// An open connection to the peer, or a new one.
    ///
    /// # Errors
    ///
    /// The connection could not be opened.
    pub async fn get(
        &self,
        peer: SocketAddr,
        own: SocketAddr,
        boot: u64,
    ) -> io::Result<Arc<Connection>> {
        if let Some(open) = self.open(peer) {
            return Ok(open);
        }
        let connection = Connection::connect(peer, own, boot).await?;
        let mut connections = self.connections.lock().expect("connections lock");
        connections.insert(peer, Arc::clone(&connection));
        Ok(connection)
    }

    fn open(&self, peer: SocketAddr) -> Option<Arc<Connection>> {
        let connections = self.connections.lock().expect("connections lock");
        connections
            .get(&peer)
            .filter(|connection| connection.is_open())
            .map(Arc::clone)
    }
}
