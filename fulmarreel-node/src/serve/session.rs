//! What is kept for each process that opens calls here.

use fulmarreel_call::Ledger;
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
