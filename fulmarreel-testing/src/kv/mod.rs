//! An in-memory fake of the platform's key-value store, with faults that tests can inject.

mod copies;
mod data;
mod serve;

use base64::{Engine, engine::general_purpose::STANDARD};
use copies::Copies;
use data::Data;
use smol::{Timer, net};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// How often expired leases are removed, and a copy is made.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// The faults that are injected; none by default.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Answers every call with this status, without carrying it out.
    pub status: Option<u16>,
    /// Answers no call, and carries none out.
    pub silent: bool,
    /// Carries writes out without answering them.
    pub lost_writes: bool,
    /// The largest number of items in a range answer; 0 for no limit.
    pub page: usize,
}

/// A running fake store; it serves until the process ends.
#[derive(Debug, Clone)]
pub struct FakePlatformStore {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    data: Data,
    faults: Faults,
    /// How long each answer is held back after it was made.
    delay: Duration,
    /// Copies of the contents; `None` for a store that names no era.
    copies: Option<Copies>,
    /// Number of calls so far; each long poll of a watch counts as one.
    calls: u64,
}

impl FakePlatformStore {
    /// Starts a store on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn start() -> anyhow::Result<Self> {
        // The listener stays open: after a release, a process that starts meanwhile could take the port.
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let listener = net::TcpListener::try_from(listener)?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let serving_state = Arc::clone(&shared);
        smol::spawn(serve::run(listener, serving_state)).detach();
        let expiring_state = Arc::clone(&shared);
        smol::spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                let shared = &mut *lock(&expiring_state);
                let now = Instant::now();
                shared.data.expire(now);
                if let Some(copies) = &mut shared.copies {
                    copies.add(&shared.data, now);
                }
            }
        })
        .detach();
        Ok(Self { address, shared })
    }

    /// Starts a store as [`Self::start`] does, which names its era in each response: 1 at first.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn start_with_eras() -> anyhow::Result<Self> {
        let store = Self::start()?;
        {
            let shared = &mut *lock(&store.shared);
            shared.copies = Some(Copies::new(1, &shared.data, Instant::now()));
        }
        Ok(store)
    }

    /// Goes back to the contents as of `age` ago, leases included, and enters the next era. Watches that
    /// wait are answered as in the new era. Only for a store with eras.
    pub fn go_back(&self, age: Duration) {
        let shared = &mut *lock(&self.shared);
        let now = Instant::now();
        if let Some(copies) = &mut shared.copies {
            shared.data = copies.go_back(now.checked_sub(age).unwrap_or(now), now);
        }
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.shared).faults = faults;
    }

    /// Holds each answer back for a time after it was made.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.shared).delay = delay;
    }

    /// Writes a key, as an operator of the platform would; returns the revision.
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

    /// Drops the history of changes.
    pub fn compact(&self) {
        lock(&self.shared).data.compact();
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("no holder panics")
}
