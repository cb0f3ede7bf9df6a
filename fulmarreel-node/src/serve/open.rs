//! Calls from peers that have not ended, and the connection that waits for each.

use super::session::Session;
use smol::channel::{Receiver, Sender, bounded};
use std::{collections::HashMap, sync::Arc};

/// The calls of one origin that have not ended, by sequence number.
#[derive(Debug, Default)]
pub(crate) struct OpenCalls(HashMap<u64, Waiter>);

/// What waits for the end of a call.
#[derive(Debug)]
struct Waiter {
    /// The generation of the connection on which the call was last opened or queried.
    generation: u64,
    /// Cancels the call's task.
    cancel: Sender<()>,
}

impl OpenCalls {
    /// Records that the connection of that generation now waits for a call.
    pub fn reassign(&mut self, sequence: u64, generation: u64) {
        if let Some(waiter) = self.0.get_mut(&sequence) {
            waiter.generation = generation;
        }
    }

    /// Tells the task of a call that nobody waits for it any more.
    pub fn cancel(&self, sequence: u64) {
        if let Some(waiter) = self.0.get(&sequence) {
            // The channel is full if the call was cancelled before.
            let _ = waiter.cancel.try_send(());
        }
    }

    /// Sequence numbers of the calls that connections up to that generation wait for.
    pub fn up_to_generation(&self, generation: u64) -> Vec<u64> {
        let calls = self.0.iter();
        let calls = calls.filter(|(_, waiter)| waiter.generation <= generation);
        calls.map(|(sequence, _)| *sequence).collect()
    }
}

/// A call that has not ended, held by the task that runs it; removed from the origin's open calls
/// when dropped.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub session: Arc<Session>,
    pub sequence: u64,
    cancelled: Receiver<()>,
}

impl OpenCall {
    /// Registers a call that arrived on a connection of that generation.
    pub fn new(session: Arc<Session>, sequence: u64, generation: u64) -> Self {
        let (cancel, cancelled) = bounded(1);
        {
            let mut open_calls = session.open_calls.lock().expect("open calls lock");
            open_calls.0.insert(sequence, Waiter { generation, cancel });
        }
        Self {
            session,
            sequence,
            cancelled,
        }
    }

    /// Marks the call as handed over to the target; false if it was cancelled before.
    pub fn hand_over(&self) -> bool {
        let mut ledger = self.session.ledger.lock().expect("ledger lock");
        ledger.hand_over(self.sequence)
    }

    /// Awaits `work` until the call is cancelled, which returns `None`.
    pub async fn until_cancelled<W: Future>(&self, work: W) -> Option<W::Output> {
        let cancelled = async {
            // The sender is dropped only with this value, so `recv` cannot fail.
            let _ = self.cancelled.recv().await;
            None
        };
        smol::future::or(cancelled, async { Some(work.await) }).await
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut open_calls = self.session.open_calls.lock().expect("open calls lock");
        open_calls.0.remove(&self.sequence);
    }
}
