//! The coordinator's duty, while this node has it.

use crate::mesh::boot_clock;
use fulmarreel_quota::{
    Coordinator, Limit, Time,
    message::{Answer, Report},
};
use fulmarreel_store::LeaseId;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

/// The coordinator's duty; `None` inside while another node has it.
#[derive(Debug, Default)]
pub(super) struct Duty(Mutex<Option<Held>>);

/// The duty of one term.
#[derive(Debug)]
struct Held {
    coordinator: Coordinator<SocketAddr>,
    lease: Arc<Lease>,
}

/// The lease of the coordinator's key.
#[derive(Debug)]
pub(super) struct Lease {
    pub id: LeaseId,
    /// Until when it holds for certain; `None` once the store said that it has lapsed.
    valid_until: Mutex<Option<Time>>,
}

impl Lease {
    pub fn new(id: LeaseId, valid_until: Time) -> Self {
        Self {
            id,
            valid_until: Mutex::new(Some(valid_until)),
        }
    }

    /// Records a renewal, or with `None` that the lease has lapsed.
    pub fn set_valid_until(&self, valid_until: Option<Time>) {
        *self.valid_until.lock().expect("lease lock") = valid_until;
    }

    fn is_valid(&self, now: Time) -> bool {
        let valid_until = *self.valid_until.lock().expect("lease lock");
        valid_until.is_some_and(|until| now < until)
    }
}

impl Duty {
    /// Starts a term; the predecessor makes grants until `predecessor_ends` at the latest.
    pub fn begin(&self, lease: Arc<Lease>, predecessor_ends: Time) {
        let coordinator = Coordinator::new(predecessor_ends, boot_clock::since_start());
        *self.held() = Some(Held { coordinator, lease });
    }

    /// Ends the term; returns its lease if there was one.
    pub fn end(&self) -> Option<Arc<Lease>> {
        self.held().take().map(|held| held.lease)
    }

    /// Ends the term if its lease is not certain any more; returns the lease if so.
    pub fn end_if_uncertain(&self) -> Option<Arc<Lease>> {
        let mut held = self.held();
        let is_uncertain = |held: &Held| !held.lease.is_valid(boot_clock::since_start());
        if held.as_ref().is_some_and(is_uncertain) {
            return held.take().map(|held| held.lease);
        }
        None
    }

    /// Whether this node has the duty.
    pub fn is_held(&self) -> bool {
        self.held().is_some()
    }

    /// Answers a report, if this node has the duty for certain. `nodes` are all known nodes, this one
    /// included; once all have restarted, the takeover ends ([`Coordinator::end_takeover`]).
    pub fn answer(
        &self,
        from: SocketAddr,
        report: &Report,
        nodes: impl Iterator<Item = SocketAddr>,
        limits: impl Fn(u64) -> Option<Limit>,
    ) -> Option<Answer> {
        let mut held = self.held();
        let held = held.as_mut()?;
        // Read after the report arrived, so that a grant does not expire here before it does at the node.
        let now = boot_clock::since_start();
        if !held.lease.is_valid(now) {
            return None;
        }
        let answer = held.coordinator.answer(from, report, limits, now);
        held.coordinator.end_takeover(nodes, now);
        Some(answer)
    }

    fn held(&self) -> MutexGuard<'_, Option<Held>> {
        self.0.lock().expect("coordinator lock")
    }
}
