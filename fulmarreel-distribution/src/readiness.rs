//! Whether a node that has just started knows enough to serve.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};
use thiserror::Error;

/// Number of ready peers that a new node compares its contents with before it serves.
const REQUIRED_PEERS: usize = 2;

/// Time after the start from which a single ready peer is enough.
const SINGLE_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a node does not serve yet.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Unready {
    /// Neither the store nor a ready peer has sent its contents.
    #[error("documents: heard neither from the store nor from a ready peer")]
    NoSource,
    /// Too few ready peers have sent their contents.
    #[error(
        "documents: heard from {peers} ready peer, waiting for the store or {REQUIRED_PEERS} peers"
    )]
    FewPeers {
        /// Number of ready peers that have sent their contents.
        peers: usize,
    },
}

/// The sources from which a node has received complete contents since its start.
#[derive(Debug)]
pub struct Readiness {
    has_read_store: bool,
    peers: BTreeSet<SocketAddr>,
    single_peer_suffices_at: Instant,
}

impl Readiness {
    /// A node that has received nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            has_read_store: false,
            peers: BTreeSet::new(),
            single_peer_suffices_at: now + SINGLE_PEER_TIMEOUT,
        }
    }

    /// Records that the complete listing of the store was read.
    pub fn record_store_read(&mut self) {
        self.has_read_store = true;
    }

    /// Records that a peer that is itself ready has sent all that it knows.
    pub fn record_peer_synced(&mut self, peer: SocketAddr) {
        self.peers.insert(peer);
    }

    /// Whether the contents of another ready peer are still needed.
    pub fn wants_peers(&self) -> bool {
        !self.has_read_store && self.peers.len() < REQUIRED_PEERS
    }

    /// Whether this peer has sent all that it knows.
    pub fn is_peer_synced(&self, peer: SocketAddr) -> bool {
        self.peers.contains(&peer)
    }

    /// Whether the node knows enough to serve.
    ///
    /// # Errors
    ///
    /// What it still waits for.
    pub fn check(&self, now: Instant) -> Result<(), Unready> {
        let peers = self.peers.len();
        if self.has_read_store
            || peers >= REQUIRED_PEERS
            || (peers > 0 && now >= self.single_peer_suffices_at)
        {
            return Ok(());
        }
        if peers > 0 {
            return Err(Unready::FewPeers { peers });
        }
        Err(Unready::NoSource)
    }
}
