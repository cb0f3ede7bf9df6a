//! The slots of the local target, as a queue on which tasks wait.

use fulmarreel_balance::admission::{
    Admission, AdmissionOutcome, Dequeued, QueueDeadlines, QueueKey,
};
use fulmarreel_wire::call::Refusal;
use smol::{
    Timer,
    channel::{Sender, bounded},
    future::or,
};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The slots of the local target and the calls that wait for one.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    admission: Mutex<Admission<Sender<Permit>>>,
}

/// A slot held by a call; freed when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    slot_queue: Arc<SlotQueue>,
    acquired_at: Instant,
}

/// A call in the queue; leaves the queue when dropped.
#[derive(Debug)]
struct QueuedCall<'a> {
    slot_queue: &'a SlotQueue,
    key: QueueKey,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let mut admission = self.slot_queue.admission.lock().expect("admission lock");
        // If the call was granted a slot meanwhile, dropping the permit in its channel frees the
        // slot.
        admission.withdraw(self.key);
    }
}

impl Default for SlotQueue {
    fn default() -> Self {
        Self {
            admission: Mutex::new(Admission::new(0)),
        }
    }
}

impl SlotQueue {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The queue is full, or the deadline cannot be met or has passed.
    pub async fn acquire(self: &Arc<Self>, deadline: Instant) -> Result<Permit, Refusal> {
        self.admit(|admission, now, call| admission.admit(now, deadline, call))
            .await
    }

    /// Waits for a slot until the given deadlines; queued calls of the lowest rank go first.
    ///
    /// # Errors
    ///
    /// The queue is full, or no slot becomes free in time.
    pub async fn acquire_ranked(
        self: &Arc<Self>,
        rank: u8,
        deadlines: QueueDeadlines,
    ) -> Result<Permit, Refusal> {
        let admitted =
            self.admit(|admission, now, call| admission.admit_ranked(now, rank, deadlines, call));
        or(admitted, async {
            Timer::at(deadlines.latest).await;
            Err(Refusal::Overloaded)
        })
        .await
    }

    async fn admit(
        self: &Arc<Self>,
        admit: impl FnOnce(
            &mut Admission<Sender<Permit>>,
            Instant,
            Sender<Permit>,
        ) -> AdmissionOutcome<Sender<Permit>>,
    ) -> Result<Permit, Refusal> {
        let (sender, receiver) = bounded(1);
        let now = Instant::now();
        let outcome = {
            let mut admission = self.admission.lock().expect("admission lock");
            admit(&mut admission, now, sender)
        };
        match outcome {
            AdmissionOutcome::Admitted(_) => Ok(self.permit(now)),
            AdmissionOutcome::Refused(_) => Err(Refusal::Overloaded),
            AdmissionOutcome::Queued(key) => {
                let _queued = QueuedCall {
                    slot_queue: self,
                    key,
                };
                // The sender is dropped without a permit if the deadline has passed.
                receiver.recv().await.map_err(|_| Refusal::Deadline)
            }
        }
    }

    /// Expected time until all calls that are queued now have a slot.
    pub fn backlog(&self) -> Duration {
        self.admission.lock().expect("admission lock").backlog()
    }

    /// Mean time that a call holds a slot; zero if none has.
    pub fn mean_hold_time(&self) -> Duration {
        self.admission
            .lock()
            .expect("admission lock")
            .mean_hold_time()
    }

    /// Changes the number of slots.
    pub fn resize(self: &Arc<Self>, slots: u16) {
        let now = Instant::now();
        let released = {
            let mut admission = self.admission.lock().expect("admission lock");
            if admission.slots() == usize::from(slots) {
                return;
            }
            admission.resize(now, slots)
        };
        self.release(released, now);
    }

    /// The number of calls that run or wait.
    pub fn in_flight(&self) -> usize {
        self.admission.lock().expect("admission lock").in_flight()
    }

    /// The number of calls that run or wait, and the number of slots, as responses report them.
    pub fn load(&self) -> (u16, u16) {
        let admission = self.admission.lock().expect("admission lock");
        let to_u16 = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        (to_u16(admission.in_flight()), to_u16(admission.slots()))
    }

    fn permit(self: &Arc<Self>, acquired_at: Instant) -> Permit {
        Permit {
            slot_queue: Arc::clone(self),
            acquired_at,
        }
    }

    fn release(self: &Arc<Self>, released: Vec<Dequeued<Sender<Permit>>>, now: Instant) {
        for dequeued in released {
            match dequeued {
                // If the call no longer waits, the permit comes back and is dropped, which frees
                // its slot.
                Dequeued::Admitted(call) => _ = call.try_send(self.permit(now)),
                Dequeued::Expired(call) => drop(call),
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let held = now.saturating_duration_since(self.acquired_at);
        let released = {
            let mut admission = self.slot_queue.admission.lock().expect("admission lock");
            admission.release_slot(now, held)
        };
        self.slot_queue.release(released, now);
    }
}
