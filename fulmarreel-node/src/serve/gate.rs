//! The slots of the own target, as tasks wait for them.

use fulmarreel_balance::admission::{Admission, Arrival, Place, QueueDeadlines, Release};
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

/// The slots of the own target.
#[derive(Debug)]
pub(crate) struct Gate {
    admission: Mutex<Admission<Sender<Permit>>>,
}

/// A slot; free again when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<Gate>,
    since: Instant,
}

/// A call that waits; dropped, it gives its place up.
#[derive(Debug)]
struct Waiting<'a> {
    gate: &'a Gate,
    place: Place,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut admission = self.gate.admission.lock().expect("admission lock");
        // Where it has a slot by now, the permit in its channel frees that.
        admission.withdraw(self.place);
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            admission: Mutex::new(Admission::new(0)),
        }
    }
}

impl Gate {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The queue is full, or the deadline cannot be met or has passed.
    pub async fn enter(self: &Arc<Self>, deadline: Instant) -> Result<Permit, Refusal> {
        self.wait(|admission, now, call| admission.arrive(now, deadline, call))
            .await
    }

    /// Waits for a slot as its deadlines allows; of the calls that wait, those of the lowest rank go
    /// first.
    ///
    /// # Errors
    ///
    /// The queue is full, or no slot is free in time.
    pub async fn enter_ranked(
        self: &Arc<Self>,
        rank: u8,
        deadlines: QueueDeadlines,
    ) -> Result<Permit, Refusal> {
        let wait =
            self.wait(|admission, now, call| admission.arrive_ranked(now, rank, deadlines, call));
        or(wait, async {
            Timer::at(deadlines.latest).await;
            Err(Refusal::Overloaded)
        })
        .await
    }

    async fn wait(
        self: &Arc<Self>,
        arrive: impl FnOnce(
            &mut Admission<Sender<Permit>>,
            Instant,
            Sender<Permit>,
        ) -> Arrival<Sender<Permit>>,
    ) -> Result<Permit, Refusal> {
        let (sender, receiver) = bounded(1);
        let now = Instant::now();
        let arrival = {
            let mut admission = self.admission.lock().expect("admission lock");
            arrive(&mut admission, now, sender)
        };
        match arrival {
            Arrival::Admitted(_) => Ok(self.permit(now)),
            Arrival::Refused(_) => Err(Refusal::Overloaded),
            Arrival::Queued(place) => {
                let _waiting = Waiting { gate: self, place };
                // A sender that is dropped stands for a deadline that passed.
                receiver.recv().await.map_err(|_| Refusal::Deadline)
            }
        }
    }

    /// Time until the calls that wait now will have a slot.
    pub fn backlog(&self) -> Duration {
        self.admission.lock().expect("admission lock").backlog()
    }

    /// Takes over the number of slots.
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

    /// Calls in slots and waiting.
    pub fn in_flight(&self) -> usize {
        self.admission.lock().expect("admission lock").in_flight()
    }

    /// Calls in slots and waiting, and slots, as answers report them.
    pub fn load(&self) -> (u16, u16) {
        let admission = self.admission.lock().expect("admission lock");
        let report = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        (report(admission.in_flight()), report(admission.slots()))
    }

    fn permit(self: &Arc<Self>, since: Instant) -> Permit {
        Permit {
            gate: Arc::clone(self),
            since,
        }
    }

    fn release(self: &Arc<Self>, released: Vec<Release<Sender<Permit>>>, now: Instant) {
        for release in released {
            match release {
                // Where nobody waits any more, the permit comes back and frees its slot.
                Release::Admitted(waiting) => _ = waiting.try_send(self.permit(now)),
                Release::Expired(waiting) => drop(waiting),
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = Instant::now();
        let held = now.saturating_duration_since(self.since);
        let released = {
            let mut admission = self.gate.admission.lock().expect("admission lock");
            admission.finish(now, held)
        };
        self.gate.release(released, now);
    }
}
