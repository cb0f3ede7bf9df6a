//! The faults that are injected into a relay.

use serde::{Deserialize, Serialize};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Faults that affect all connections and datagrams of a relay; none by default.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay that is added to bytes and datagrams, in each direction.
    pub delay_ms: u64,
    /// Percentage of datagrams that are dropped.
    pub loss_percent: f64,
    /// Closes open connections, closes new ones on arrival, and drops all datagrams.
    pub cut: bool,
}

/// Injects faults into a relay while it runs.
#[derive(Debug, Default)]
pub struct Control {
    faults: Mutex<Faults>,
    /// Connections with a lower number carry no more bytes.
    blackholed_before: AtomicU64,
    /// The number of the next connection.
    next_connection: AtomicU64,
}

impl Control {
    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().expect("fault lock") = faults;
    }

    /// Discards all further bytes of the connections that are open now, and keeps them open; later
    /// connections work.
    pub fn blackhole_open_connections(&self) {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.blackholed_before.store(next, Ordering::SeqCst);
    }

    /// Assigns a number to a new connection.
    pub(super) fn number_connection(&self) -> u64 {
        self.next_connection.fetch_add(1, Ordering::SeqCst)
    }

    pub(super) fn blackholes(&self, connection: u64) -> bool {
        connection < self.blackholed_before.load(Ordering::SeqCst)
    }

    pub(super) fn is_cut(&self) -> bool {
        self.faults.lock().expect("fault lock").cut
    }

    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.lock().expect("fault lock").delay_ms)
    }

    pub(super) fn drops_datagram(&self) -> bool {
        let faults = self.faults.lock().expect("fault lock");
        faults.cut || fastrand::f64() * 100.0 < faults.loss_percent
    }
}
