//! Calls of other nodes that have not ended, and the connection that waits for each.

use super::session::Session;
use smol::channel::{Receiver, Sender, bounded};
use std::{collections::HashMap, sync::Arc};

/// The calls of one origin that have not ended, by their sequence.
#[derive(Debug, Default)]
pub(crate) struct OpenCalls(HashMap<u64, Waiter>);

/// Who waits for a call.
#[derive(Debug)]
struct Waiter {
    /// The generation of the connection that it was opened, or asked for, on last.
    generation: u64,
    cancel: Sender<()>,
}

impl OpenCalls {
    /// Notes which connection waits for a call from here on.
    pub fn ask(&mut self, sequence: u64, generation: u64) {
        if let Some(waiter) = self.0.get_mut(&sequence) {
            waiter.generation = generation;
        }
    }

    /// Tells the task of a call that nobody waits for it any more.
    pub fn cancel(&self, sequence: u64) {
        if let Some(waiter) = self.0.get(&sequence) {
            // A second cancellation adds nothing.
            let _ = waiter.cancel.try_send(());
        }
    }

    /// The calls that a connection up to that generation waits for.
    pub fn of(&self, generation: u64) -> Vec<u64> {
        let calls = self.0.iter();
        let calls = calls.filter(|(_, waiter)| waiter.generation <= generation);
        calls.map(|(sequence, _)| *sequence).collect()
    }
}

/// A call that has not ended, as its task sees it.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub session: Arc<Session>,
    pub sequence: u64,
    cancelled: Receiver<()>,
}

impl OpenCall {
    /// Notes a call that arrived on a connection of that generation.
    pub fn new(session: Arc<Session>, sequence: u64, generation: u64) -> Self {
        let (cancel, cancelled) = bounded(1);
        {
            let mut open = session.open.lock().expect("open calls lock");
            open.0.insert(sequence, Waiter { generation, cancel });
        }
        Self {
            session,
            sequence,
            cancelled,
        }
    }

    /// Marks the call as handed over; false where it was cancelled before.
    pub fn hand_over(&self) -> bool {
        let mut ledger = self.session.ledger.lock().expect("ledger lock");
        ledger.hand_over(self.sequence)
    }

    /// Works until nobody waits for the call any more.
    pub async fn while_wanted<W: Future>(&self, work: W) -> Option<W::Output> {
        let cancelled = async {
            // The other end is dropped with this one.
            let _ = self.cancelled.recv().await;
            None
        };
        smol::future::or(cancelled, async { Some(work.await) }).await
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut open = self.session.open.lock().expect("open calls lock");
        open.0.remove(&self.sequence);
    }
}
