//! The slots of the local target, as a queue on which tasks wait.

use super::slots::{Grantor, Leaving, Slots};
use fulmarreel_balance::{
    admission::{Admission, AdmissionOutcome, Dequeued, QueueDeadlines, QueueKey},
    overload::{Arrival, Cause, Decision, Key, Kind, Released, Request},
};
use fulmarreel_wire::call::Refusal;
use smol::{
    Timer,
    channel::{Sender, bounded},
    future::or,
};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// The slots of the local target and the calls that wait for one.
#[derive(Debug, Default)]
pub(crate) struct SlotQueue {
    slots: Mutex<Slots>,
}

/// A slot held by a call; freed when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    slot_queue: Arc<SlotQueue>,
    grantor: Grantor,
    acquired_at: Instant,
}

/// A call in the queue; leaves the queue when dropped.
#[derive(Debug)]
struct QueuedCall<'a> {
    slot_queue: &'a SlotQueue,
    key: QueueKey,
}

/// A request in the queue by class; leaves it when dropped.
#[derive(Debug)]
struct QueuedRequest<'a> {
    slot_queue: &'a SlotQueue,
    key: Key,
}

/// Why a request that was ordered by class gets no slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassedRefusal {
    pub reason: Refusal,
    /// `None` if its deadline passed while it waited.
    pub cause: Option<Cause>,
    /// The delay before a retry.
    pub retry_after: Duration,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        // If the call was granted a slot meanwhile, dropping the permit in its channel frees the
        // slot.
        self.slot_queue.lock().withdraw_ranked(self.key);
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.slot_queue.lock().withdraw_classed(self.key);
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
        let (outcome, leaving) = {
            let mut slots = self.lock();
            slots.with_ranked(now, |ranked| admit(ranked, now, sender))
        };
        self.release(leaving, now);
        match outcome {
            AdmissionOutcome::Admitted(_) => Ok(self.permit(Grantor::Ranked, now)),
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

    /// Waits for a slot in the order of classes and accounts. Also returns the kind as which the request was
    /// treated.
    ///
    /// The result is an error if the request gets no slot in time.
    pub async fn acquire_classed(
        self: &Arc<Self>,
        request: Request,
    ) -> (Kind, Result<Permit, ClassedRefusal>) {
        let (sender, receiver) = bounded(1);
        let now = Instant::now();
        let (arrival, mut leaving) = {
            let mut slots = self.lock();
            slots.with_classed(now, |queue| queue.admit(now, request, sender))
        };
        let Arrival {
            class,
            decision,
            displaced,
        } = arrival;
        leaving.displaced = displaced;
        self.release(leaving, now);
        let key = match decision {
            Decision::Admitted(_) => {
                return (class.kind, Ok(self.permit(Grantor::Classed, now)));
            }
            Decision::Refused(_, cause) => {
                return (
                    class.kind,
                    Err(self.refusal(Refusal::Overloaded, Some(cause))),
                );
            }
            Decision::Queued(key) => key,
        };
        let queued = QueuedRequest {
            slot_queue: self,
            key,
        };
        let granted = async { receiver.recv().await.unwrap_or(Err(Refusal::Deadline)) };
        let expired = async {
            Timer::at(request.deadlines.latest).await;
            Err(Refusal::Deadline)
        };
        let result = or(granted, expired).await;
        drop(queued);
        let result = result.map_err(|reason| {
            let is_displaced = reason == Refusal::Overloaded;
            self.refusal(reason, is_displaced.then_some(Cause::Displaced))
        });
        (class.kind, result)
    }

    /// The refusal of a request now, with the delay after which it is told to come back.
    fn refusal(&self, reason: Refusal, cause: Option<Cause>) -> ClassedRefusal {
        ClassedRefusal {
            reason,
            cause,
            retry_after: self.lock().retry_delay(Instant::now()),
        }
    }

    /// Expected time until all calls that are queued now have a slot.
    pub fn backlog(&self) -> Duration {
        self.lock().backlog()
    }

    /// Mean time that a call holds a slot; zero if none has.
    pub fn mean_hold_time(&self) -> Duration {
        self.lock().mean_hold_time()
    }

    /// Changes the number of slots.
    pub fn resize(self: &Arc<Self>, slots: u16) {
        let now = Instant::now();
        let leaving = self.lock().resize(now, slots);
        self.release(leaving, now);
    }

    /// The number of calls that run or wait.
    pub fn in_flight(&self) -> usize {
        self.lock().in_flight()
    }

    /// The number of calls that run or wait, and the number of slots, as responses report them.
    pub fn load(&self) -> (u16, u16) {
        let slots = self.lock();
        let in_flight = u16::try_from(slots.in_flight()).unwrap_or(u16::MAX);
        (in_flight, slots.total())
    }

    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().expect("slots lock")
    }

    fn permit(self: &Arc<Self>, grantor: Grantor, acquired_at: Instant) -> Permit {
        Permit {
            slot_queue: Arc::clone(self),
            grantor,
            acquired_at,
        }
    }

    /// Tells requests that left the queue. If one no longer waits, its permit comes back and is dropped,
    /// which frees its slot.
    fn release(self: &Arc<Self>, leaving: Leaving, now: Instant) {
        for dequeued in leaving.ranked {
            match dequeued {
                Dequeued::Admitted(call) => _ = call.try_send(self.permit(Grantor::Ranked, now)),
                Dequeued::Expired(call) => drop(call),
            }
        }
        for released in leaving.classed {
            _ = match released {
                Released::Admitted(waiter) => {
                    waiter.try_send(Ok(self.permit(Grantor::Classed, now)))
                }
                Released::Expired(waiter) => waiter.try_send(Err(Refusal::Deadline)),
            };
        }
        for waiter in leaving.displaced {
            let _ = waiter.try_send(Err(Refusal::Overloaded));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let held = now.saturating_duration_since(self.acquired_at);
        let leaving = self.slot_queue.lock().release(now, self.grantor, held);
        self.slot_queue.release(leaving, now);
    }
}
