//! What is kept for each process that opens calls here.

use super::open::OpenCalls;
use fulmarreel_call::{Ledger, Origin, ledger::Cancellation};
use fulmarreel_wire::call::{Frame, Head, Refusal, Refused, chunks};
use smol::channel::Sender;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A whole answer, kept in case its connection was lost.
#[derive(Debug)]
pub(crate) struct Kept {
    pub head: Head,
    pub body: Vec<u8>,
}

/// What is kept for one origin, over all its connections.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub ledger: Mutex<Ledger<Arc<Kept>>>,
    /// Its calls that have not ended.
    pub open: Mutex<OpenCalls>,
    /// The writer of its newest connection.
    newest: Mutex<Option<Sender<Frame>>>,
    /// Where the credits of streamed answers go.
    pub credits: Mutex<HashMap<u64, Sender<u32>>>,
}

impl Session {
    /// Takes a connection as the origin's newest; false where a later one is known.
    pub fn connect(&self, generation: u64, resumed: bool, outgoing: Sender<Frame>) -> bool {
        let mut ledger = self.ledger.lock().expect("ledger lock");
        if !ledger.connect(generation, resumed) {
            return false;
        }
        *self.newest.lock().expect("newest lock") = Some(outgoing);
        true
    }

    /// Whether its connections are closed and none of its calls is known.
    pub fn is_idle(&self) -> bool {
        let closed = {
            let newest = self.newest.lock().expect("newest lock");
            newest.as_ref().is_none_or(Sender::is_closed)
        };
        let mut ledger = self.ledger.lock().expect("ledger lock");
        ledger.expire(Instant::now());
        closed && ledger.is_empty()
    }

    /// Sends a frame on the newest connection. What is lost with it can be asked for.
    pub async fn reply(&self, frame: Frame) {
        let newest = self.newest.lock().expect("newest lock").clone();
        if let Some(newest) = newest {
            let _ = newest.send(frame).await;
        }
    }

    /// Cancels a call: while it waits for a slot, it is not run.
    pub fn cancel(&self, sequence: u64) -> Cancellation {
        let cancelled = {
            let mut ledger = self.ledger.lock().expect("ledger lock");
            ledger.cancel(sequence, Instant::now())
        };
        self.open.lock().expect("open calls lock").cancel(sequence);
        cancelled
    }

    /// Whether a connection up to that generation waits for a call.
    pub fn has_open(&self, generation: u64) -> bool {
        let open = self.open.lock().expect("open calls lock");
        !open.of(generation).is_empty()
    }

    /// Cancels the calls that connections up to that generation wait for.
    pub fn cancel_of(&self, generation: u64) -> usize {
        let calls = self.open.lock().expect("open calls lock").of(generation);
        for sequence in &calls {
            self.cancel(*sequence);
        }
        calls.len()
    }

    /// Refuses a call, unless it was handed over or refused before.
    pub async fn refuse(&self, sequence: u64, reason: Refusal) {
        self.refuse_until(sequence, reason, Duration::ZERO).await;
    }

    /// As [`Session::refuse`], with the time after which it may be worth asking again.
    pub async fn refuse_until(&self, sequence: u64, reason: Refusal, retry_after: Duration) {
        let refused = {
            let mut ledger = self.ledger.lock().expect("ledger lock");
            ledger.refuse(sequence, Instant::now())
        };
        if refused {
            self.reply(Frame::Refused(Refused {
                sequence,
                reason,
                retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            }))
            .await;
        }
    }

    /// Sends a whole answer.
    pub async fn send(&self, kept: &Kept) {
        self.reply(Frame::Head(kept.head.clone())).await;
        for chunk in chunks(kept.head.sequence, &kept.body) {
            self.reply(Frame::Chunk(chunk)).await;
        }
    }
}

/// What is kept for all origins.
#[derive(Debug, Default)]
pub(crate) struct Sessions(Mutex<HashMap<Origin, Arc<Session>>>);

impl Sessions {
    /// What is kept for an origin. Earlier processes at its address have ended, so nobody waits for
    /// their calls.
    pub fn get(&self, origin: Origin) -> Arc<Session> {
        let mut sessions = self.0.lock().expect("sessions lock");
        let earlier = sessions
            .iter()
            .filter(|(known, _)| known.address == origin.address && known.boot < origin.boot);
        for (_, session) in earlier {
            session.cancel_of(u64::MAX);
        }
        Arc::clone(sessions.entry(origin).or_default())
    }

    /// Sends a frame to all origins.
    pub fn broadcast(&self, frame: &Frame) {
        let sessions: Vec<Arc<Session>> = {
            let sessions = self.0.lock().expect("sessions lock");
            sessions.values().map(Arc::clone).collect()
        };
        for session in sessions {
            let frame = frame.clone();
            crate::runtime::spawn(async move { session.reply(frame).await });
        }
    }

    /// Forgets origins that are gone.
    pub fn forget_idle(&self) {
        let mut sessions = self.0.lock().expect("sessions lock");
        sessions.retain(|_, session| !session.is_idle());
    }
}
