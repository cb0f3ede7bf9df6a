//! An in-memory fake of the etcd v3 JSON gateway, with faults that tests can inject.

mod api;
mod data;
mod fault;
mod serve;

pub use fault::Faults;

use data::Data;
use smol::{Task, Timer, channel::Sender, net::TcpListener};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// How often expired leases are revoked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// How often a watch without events reports its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// A running fake etcd; it stops soon after it is dropped.
#[derive(Debug)]
pub struct FakeEtcd {
    addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    tasks: Vec<Task<()>>,
}

/// The state that all connections share.
#[derive(Debug, Default)]
struct Shared {
    data: Data,
    faults: Faults,
    counts: BTreeMap<&'static str, u64>,
    /// The id of each open watch, and the channel that wakes it.
    watches: Vec<(u64, Sender<()>)>,
    next_watch: u64,
    /// Watches with a lower id send nothing more.
    stalled_below: u64,
}

impl Shared {
    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Makes every watch look for changes.
    fn wake(&self) {
        for (_, sender) in &self.watches {
            // A full channel already holds a wake-up.
            sender.try_send(()).ok();
        }
    }

    /// Revokes expired leases.
    fn expire(&mut self) {
        if self.data.expire(Instant::now()) {
            self.wake();
        }
    }

    fn set_faults(&mut self, faults: Faults) {
        if faults.stall_watches {
            self.stalled_below = self.next_watch;
        }
        if faults.compact {
            self.data.compact();
        }
        self.faults = faults;
        self.wake();
    }

    fn counts(&self) -> BTreeMap<&'static str, u64> {
        let mut counts = self.counts.clone();
        counts.insert("open_watches", self.watches.len() as u64);
        counts
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("no holder panics")
}

impl FakeEtcd {
    /// Listens on `addr` and serves until dropped.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let accept_task = smol::spawn(serve::accept(listener, shared.clone()));
        let expiring_state = shared.clone();
        let expire_task = smol::spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                lock(&expiring_state).expire();
            }
        });
        Ok(Self {
            addr,
            shared,
            tasks: vec![accept_task, expire_task],
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.shared).set_faults(faults);
    }

    /// The number of calls so far by kind, and the number of open watches as `open_watches`.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.shared).counts()
    }

    /// Stops serving. The listener and every connection are closed when this returns.
    pub async fn shut_down(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}
