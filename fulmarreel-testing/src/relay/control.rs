//! Which faults a relay has at present.

use serde::{Deserialize, Serialize};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// The faults of a relay.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// Bytes and datagrams arrive that much later.
    pub delay_ms: u64,
    /// Share of datagrams that are dropped, in percent.
    pub loss_percent: f64,
    /// Open connections are closed, new ones refused, and datagrams dropped.
    pub cut: bool,
}

/// The switches of a relay.
#[derive(Debug, Default)]
pub struct Control {
    fault: Mutex<Fault>,
    swallowed_before: AtomicU64,
    next_connection: AtomicU64,
}

impl Control {
    /// Replaces the faults.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().expect("fault lock") = fault;
    }

    /// Every connection that is open now stays open and carries no byte again; new ones work.
    pub fn swallow_open_connections(&self) {
        let next = self.next_connection.load(Ordering::SeqCst);
        self.swallowed_before.store(next, Ordering::SeqCst);
    }

    pub(super) fn accept(&self) -> u64 {
        self.next_connection.fetch_add(1, Ordering::SeqCst)
    }

    pub(super) fn swallows(&self, connection: u64) -> bool {
        connection < self.swallowed_before.load(Ordering::SeqCst)
    }

    pub(super) fn is_cut(&self) -> bool {
        self.fault.lock().expect("fault lock").cut
    }

    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.fault.lock().expect("fault lock").delay_ms)
    }

    pub(super) fn drops_datagram(&self) -> bool {
        let fault = self.fault.lock().expect("fault lock");
        fault.cut || fastrand::f64() * 100.0 < fault.loss_percent
    }
}
