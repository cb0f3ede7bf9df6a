//! A stand-in of the etcd v3 JSON gateway, in memory, with faults that tests switch on.

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

/// How often lapsed leases are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// How often a watch without events reports its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// A running stand-in; it stops soon after it is dropped.
#[derive(Debug)]
pub struct Stand {
    addr: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    tasks: Vec<Task<()>>,
}

/// What the connections share.
#[derive(Debug, Default)]
struct Shared {
    data: Data,
    faults: Faults,
    counts: BTreeMap<&'static str, u64>,
    watches: Vec<(u64, Sender<()>)>,
    next_watch: u64,
    /// Watches with a lower id are silent for good.
    stalled_below: u64,
}

impl Shared {
    fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    fn wake(&self) {
        for (_, sender) in &self.watches {
            // A full channel already holds a wake-up.
            sender.try_send(()).ok();
        }
    }

    /// Removes the keys of lapsed leases.
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

impl Stand {
    /// Binds `addr` and serves until dropped.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let accept = smol::spawn(serve::accept(listener, shared.clone()));
        let expiring = shared.clone();
        let expire = smol::spawn(async move {
            loop {
                Timer::after(EXPIRY_INTERVAL).await;
                lock(&expiring).expire();
            }
        });
        Ok(Self {
            addr,
            shared,
            tasks: vec![accept, expire],
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.shared).set_faults(faults);
    }

    /// The calls so far by kind, and the watches open now as `open_watches`.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.shared).counts()
    }

    /// Stops serving; when it returns, the listener and every connection are closed.
    pub async fn shut_down(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }
}
