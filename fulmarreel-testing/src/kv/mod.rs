//! A stand-in of the users' platform's key-value store, in memory, with faults that tests switch on.

mod data;
mod serve;

use base64::{Engine, engine::general_purpose::STANDARD};
use data::Data;
use smol::{Timer, net};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// How often lapsed leases are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// What the stand-in does wrong.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Every call is answered with this status, and nothing is done.
    pub status: Option<u16>,
    /// No call is answered, and nothing is done.
    pub silent: bool,
    /// Writes are done and not answered.
    pub lost_writes: bool,
    /// Items on one page; all of them for 0.
    pub page: usize,
}

/// A running stand-in; it serves until the process ends.
#[derive(Debug, Clone)]
pub struct Stand {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    data: Data,
    faults: Faults,
    /// Calls so far; each wait of a watch is one.
    calls: u64,
}

impl Stand {
    /// Serves at a free address.
    ///
    /// # Errors
    ///
    /// No address is free.
    pub fn start() -> anyhow::Result<Self> {
        // Kept from here on: between two binds a process that is just starting may hold the port.
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let listener = net::TcpListener::try_from(listener)?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let serving = Arc::clone(&shared);
        smol::spawn(serve::run(listener, serving)).detach();
        let expiring = Arc::clone(&shared);
        smol::spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                lock(&expiring).data.expire(Instant::now());
            }
        })
        .detach();
        Ok(Self { address, shared })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.shared).faults = faults;
    }

    /// Writes a key, as the platform's operator does; returns the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut shared = lock(&self.shared);
        shared.data.put(key, STANDARD.encode(value), 0)
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        lock(&self.shared).data.remove(key);
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let shared = lock(&self.shared);
        let value = shared.data.get(key).map(|item| item.value.clone());
        value.and_then(|value| STANDARD.decode(value).ok())
    }

    /// Every key.
    pub fn keys(&self) -> Vec<String> {
        lock(&self.shared).data.keys()
    }

    /// Forgets the history.
    pub fn compact(&self) {
        lock(&self.shared).data.compact();
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("no holder panics")
}
