//! Whether a node that has just started knows enough to serve.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};
use thiserror::Error;

/// Ready peers that a new node compares itself with before it serves.
const PEERS: usize = 2;

/// How long a single ready peer is not enough.
const PATIENCE: Duration = Duration::from_secs(3);

/// Why a node does not serve yet.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Unready {
    /// Neither the store nor any ready peer was heard.
    #[error("documents: heard neither from the store nor from a ready peer")]
    Unheard,
    /// Too few ready peers were heard.
    #[error("documents: heard from {peers} ready peer, waiting for the store or {PEERS} peers")]
    FewPeers {
        /// How many.
        peers: usize,
    },
}

/// What a node has heard since its start.
#[derive(Debug)]
pub struct Readiness {
    store: bool,
    peers: BTreeSet<SocketAddr>,
    patient_until: Instant,
}

impl Readiness {
    /// Nothing heard yet.
    pub fn new(now: Instant) -> Self {
        Self {
            store: false,
            peers: BTreeSet::new(),
            patient_until: now + PATIENCE,
        }
    }

    /// The store's whole listing was read.
    pub fn store_heard(&mut self) {
        self.store = true;
    }

    /// A peer that is itself ready has told all that it knows.
    pub fn peer_heard(&mut self, peer: SocketAddr) {
        self.peers.insert(peer);
    }

    /// Whether a further ready peer would count.
    pub fn wants_peers(&self) -> bool {
        !self.store && self.peers.len() < PEERS
    }

    /// Whether this peer has been heard.
    pub fn has_heard(&self, peer: SocketAddr) -> bool {
        self.peers.contains(&peer)
    }

    /// Whether the node knows enough to serve.
    ///
    /// # Errors
    ///
    /// What it still waits for.
    pub fn check(&self, now: Instant) -> Result<(), Unready> {
        let peers = self.peers.len();
        if self.store || peers >= PEERS || (peers > 0 && now >= self.patient_until) {
            return Ok(());
        }
        if peers > 0 {
            return Err(Unready::FewPeers { peers });
        }
        Err(Unready::Unheard)
    }
}
