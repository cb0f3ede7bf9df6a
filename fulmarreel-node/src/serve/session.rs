//! The state kept for each origin, a process that opens calls here.

use super::open::OpenCalls;
use fulmarreel_call::{Ledger, Origin, ledger::Cancellation};
use fulmarreel_wire::call::{Frame, Head, Refusal, Refused, chunks};
use smol::channel::Sender;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A whole response, which can be sent again after its connection was lost.
#[derive(Debug)]
pub(crate) struct WholeResponse {
    pub head: Head,
    pub body: Vec<u8>,
}

/// The state kept for one origin across all its connections.
#[derive(Debug, Default)]
pub(crate) struct Session {
    pub ledger: Mutex<Ledger<Arc<WholeResponse>>>,
    /// The origin's calls that have not ended.
    pub open_calls: Mutex<OpenCalls>,
    /// Queue of frames to write to the origin's newest connection.
    newest_outgoing: Mutex<Option<Sender<Frame>>>,
    /// Senders of credit, in bytes, to the tasks that stream responses, by the call's sequence
    /// number.
    pub credits: Mutex<HashMap<u64, Sender<u32>>>,
}

impl Session {
    /// Records a connection as the origin's newest; false if a newer one is known.
    pub fn connect(&self, generation: u64, resumed: bool, outgoing: Sender<Frame>) -> bool {
        let mut ledger = self.ledger.lock().expect("ledger lock");
        if !ledger.connect(generation, resumed) {
            return false;
        }
        *self.newest_outgoing.lock().expect("newest connection lock") = Some(outgoing);
        true
    }

    /// Whether the newest connection is closed and no call of the origin is known any more.
    pub fn is_idle(&self) -> bool {
        let closed = {
            let outgoing = self.newest_outgoing.lock().expect("newest connection lock");
            outgoing.as_ref().is_none_or(Sender::is_closed)
        };
        let mut ledger = self.ledger.lock().expect("ledger lock");
        ledger.expire(Instant::now());
        closed && ledger.is_empty()
    }

    /// Sends a frame on the newest connection. The origin can query calls whose frames are lost
    /// with the connection.
    pub async fn reply(&self, frame: Frame) {
        let outgoing = self
            .newest_outgoing
            .lock()
            .expect("newest connection lock")
            .clone();
        if let Some(outgoing) = outgoing {
            let _ = outgoing.send(frame).await;
        }
    }

    /// Cancels a call. One that still waits for a slot is not run.
    pub fn cancel(&self, sequence: u64) -> Cancellation {
        let cancelled = {
            let mut ledger = self.ledger.lock().expect("ledger lock");
            ledger.cancel(sequence, Instant::now())
        };
        self.open_calls
            .lock()
            .expect("open calls lock")
            .cancel(sequence);
        cancelled
    }

    /// Whether a connection up to that generation waits for a call.
    pub fn has_calls_up_to_generation(&self, generation: u64) -> bool {
        let open_calls = self.open_calls.lock().expect("open calls lock");
        !open_calls.up_to_generation(generation).is_empty()
    }

    /// Cancels the calls that connections up to that generation wait for; returns how many.
    pub fn cancel_up_to_generation(&self, generation: u64) -> usize {
        let calls = self
            .open_calls
            .lock()
            .expect("open calls lock")
            .up_to_generation(generation);
        for sequence in &calls {
            self.cancel(*sequence);
        }
        calls.len()
    }

    /// Refuses a call unless it was handed over to the target or refused before.
    pub async fn refuse(&self, sequence: u64, reason: Refusal) {
        self.refuse_with_retry_after(sequence, reason, Duration::ZERO)
            .await;
    }

    /// As [`Session::refuse`], with the time after which a retry may succeed.
    pub async fn refuse_with_retry_after(
        &self,
        sequence: u64,
        reason: Refusal,
        retry_after: Duration,
    ) {
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

    /// Sends a whole response.
    pub async fn send(&self, response: &WholeResponse) {
        self.reply(Frame::Head(response.head.clone())).await;
        for chunk in chunks(response.head.sequence, &response.body) {
            self.reply(Frame::Chunk(chunk)).await;
        }
    }
}

/// The sessions of all origins.
#[derive(Debug, Default)]
pub(crate) struct Sessions(Mutex<HashMap<Origin, Arc<Session>>>);

impl Sessions {
    /// Returns the session of an origin, a new one if there is none. Cancels the calls of earlier
    /// processes at its address, since those processes have ended and nobody waits for the calls.
    pub fn get_or_insert(&self, origin: Origin) -> Arc<Session> {
        let mut sessions = self.0.lock().expect("sessions lock");
        let earlier = sessions
            .iter()
            .filter(|(known, _)| known.address == origin.address && known.boot < origin.boot);
        for (_, session) in earlier {
            session.cancel_up_to_generation(u64::MAX);
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

    /// Removes the sessions of origins that are gone.
    pub fn remove_idle(&self) {
        let mut sessions = self.0.lock().expect("sessions lock");
        sessions.retain(|_, session| !session.is_idle());
    }
}
