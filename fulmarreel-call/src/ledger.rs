//! The calls of one origin at the node in front of their target.
//!
//! Memory is bounded: admission limits the calls that are queued or running, [`MAX_KEPT_BYTES`]
//! limits the kept responses, and entries of ended calls are removed after [`RETENTION`]. Of the
//! removed entries only the highest sequence is remembered: a query for an absent call at or below
//! it yields [`CallStatus::Unknown`], since that call may have run.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// How long a call can be queried after its end.
pub const RETENTION: Duration = Duration::from_secs(5);

/// Limit of the response bytes that are kept for one origin.
pub const MAX_KEPT_BYTES: usize = 262_144;

/// Reason for which a call was not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It arrived on a connection that its origin has replaced.
    #[error("connection generation {received} was replaced by {newest}")]
    StaleGeneration {
        /// Generation of the connection that it arrived on.
        received: u64,
        /// Generation of the origin's newest connection.
        newest: u64,
    },
    /// A call with this sequence is already known.
    #[error("sequence {sequence} is already known")]
    Duplicate {
        /// The call's sequence.
        sequence: u64,
    },
}

/// The state of a queried call, as far as its origin may rely on it.
#[derive(Debug, PartialEq, Eq)]
pub enum CallStatus<'a, A> {
    /// Not handed over to the target, and never will be.
    NotRun,
    /// Queued or running; its outcome will be sent.
    Running,
    /// Answered; the complete response.
    Answered(&'a A),
    /// The call may have run, and its response is not available.
    Unknown,
}

/// The result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// The call was not handed over to the target, and never will be.
    NotRun,
    /// The call may have been handed over to the target.
    TooLate,
}

#[derive(Debug)]
enum Call<A> {
    Queued,
    HandedOver,
    Answered {
        response: A,
        bytes: usize,
    },
    /// The target may have run it, and its response is lost or was evicted.
    Lost,
    /// Refused, cancelled, not sent to the target after its hand-over, or queried before it
    /// arrived; the entry stays as a tombstone so that a late copy of the call is not run.
    NotRun,
}

/// The calls of one origin; `A` is a complete response.
#[derive(Debug)]
pub struct Ledger<A> {
    /// Generation of the origin's newest connection; 0 before the first one.
    generation: u64,
    /// The known calls by sequence.
    calls: HashMap<u64, Call<A>>,
    /// When calls ended, and their sequences.
    ended: VecDeque<(Instant, u64)>,
    /// Sequences of the calls whose responses are kept, the oldest first.
    kept: VecDeque<u64>,
    kept_bytes: usize,
    /// The highest sequence of a call whose entry was removed.
    highest_removed: u64,
}

impl<A> Default for Ledger<A> {
    fn default() -> Self {
        Self {
            generation: 0,
            calls: HashMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            highest_removed: 0,
        }
    }
}

impl<A> Ledger<A> {
    /// Records a new connection of the origin. Connections of lower generations no longer open
    /// calls. Returns false if a connection of this or a higher generation is known.
    ///
    /// `resumed` tells that the origin opened calls here before. If this ledger has seen no
    /// connection yet, the earlier ledger was dropped, and no absent call is reported as not run.
    pub fn connect(&mut self, generation: u64, resumed: bool) -> bool {
        if generation <= self.generation {
            return false;
        }
        if resumed && self.generation == 0 {
            self.highest_removed = u64::MAX;
        }
        self.generation = generation;
        true
    }

    /// Queues a call that has arrived completely; sequences start at 1.
    ///
    /// # Errors
    ///
    /// The connection was replaced, or the call is already known.
    pub fn open(&mut self, generation: u64, sequence: u64) -> Result<(), Error> {
        if generation < self.generation {
            return Err(Error::StaleGeneration {
                received: generation,
                newest: self.generation,
            });
        }
        if self.calls.contains_key(&sequence) {
            return Err(Error::Duplicate { sequence });
        }
        self.calls.insert(sequence, Call::Queued);
        Ok(())
    }

    /// Marks a queued call as handed over to the target. Returns false if it is no longer queued,
    /// such as after a cancellation, and must not be handed over.
    pub fn hand_over(&mut self, sequence: u64) -> bool {
        match self.calls.get_mut(&sequence) {
            Some(call @ Call::Queued) => {
                *call = Call::HandedOver;
                true
            }
            _ => false,
        }
    }

    /// Refuses a queued call. Returns false if the call is not queued.
    pub fn refuse(&mut self, sequence: u64, now: Instant) -> bool {
        let queued = matches!(self.calls.get(&sequence), Some(Call::Queued));
        if queued {
            self.end(sequence, Call::NotRun, now);
        }
        queued
    }

    /// Marks a call that was handed over as not run, since no byte of it reached the target.
    /// Returns false if the call was not handed over.
    pub fn mark_not_run(&mut self, sequence: u64, now: Instant) -> bool {
        let handed_over = matches!(self.calls.get(&sequence), Some(Call::HandedOver));
        if handed_over {
            self.end(sequence, Call::NotRun, now);
        }
        handed_over
    }

    /// Cancels a call that was not handed over, even if it has not arrived yet.
    pub fn cancel(&mut self, sequence: u64, now: Instant) -> Cancellation {
        match self.calls.get(&sequence) {
            Some(Call::Queued) => {
                self.end(sequence, Call::NotRun, now);
                Cancellation::NotRun
            }
            Some(Call::NotRun) => Cancellation::NotRun,
            None if sequence > self.highest_removed => {
                self.end(sequence, Call::NotRun, now);
                Cancellation::NotRun
            }
            _ => Cancellation::TooLate,
        }
    }

    /// Stores the response of a call that was handed over; `bytes` is its size. The oldest
    /// responses are evicted beyond [`MAX_KEPT_BYTES`].
    pub fn store_response(&mut self, sequence: u64, response: A, bytes: usize, now: Instant) {
        self.end(sequence, Call::Answered { response, bytes }, now);
        self.kept.push_back(sequence);
        self.kept_bytes += bytes;
        self.evict_responses();
    }

    /// Records that a call was handed over but its response is lost or is not kept. A response that
    /// is already kept stays.
    pub fn mark_lost(&mut self, sequence: u64, now: Instant) {
        if matches!(self.calls.get(&sequence), Some(Call::HandedOver)) {
            self.end(sequence, Call::Lost, now);
        }
    }

    /// Returns the status of a call. A call that has not arrived yet will not be run when it does.
    pub fn query(&mut self, sequence: u64, now: Instant) -> CallStatus<'_, A> {
        if !self.calls.contains_key(&sequence) {
            if sequence <= self.highest_removed {
                return CallStatus::Unknown;
            }
            self.end(sequence, Call::NotRun, now);
        }
        match self.calls.get(&sequence) {
            Some(Call::Queued | Call::HandedOver) => CallStatus::Running,
            Some(Call::Answered { response, .. }) => CallStatus::Answered(response),
            Some(Call::Lost) => CallStatus::Unknown,
            Some(Call::NotRun) | None => CallStatus::NotRun,
        }
    }

    /// Removes the entries of calls that ended [`RETENTION`] ago or earlier.
    pub fn expire(&mut self, now: Instant) {
        while let Some((ended_at, sequence)) = self.ended.front().copied() {
            if now.saturating_duration_since(ended_at) < RETENTION {
                return;
            }
            self.ended.pop_front();
            if let Some(Call::Answered { bytes, .. }) = self.calls.remove(&sequence) {
                self.kept_bytes -= bytes;
                // `kept` has the same order as `ended`.
                self.kept.pop_front();
            }
            self.highest_removed = self.highest_removed.max(sequence);
        }
    }

    /// Number of calls that are queued, running, or ended within [`RETENTION`].
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether the ledger has no entries.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn end(&mut self, sequence: u64, outcome: Call<A>, now: Instant) {
        self.calls.insert(sequence, outcome);
        self.ended.push_back((now, sequence));
    }

    /// Drops the oldest responses while they exceed [`MAX_KEPT_BYTES`].
    fn evict_responses(&mut self) {
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some(sequence) = self.kept.pop_front() else {
                return;
            };
            if let Some(call) = self.calls.get_mut(&sequence)
                && let Call::Answered { bytes, .. } = call
            {
                self.kept_bytes -= *bytes;
                *call = Call::Lost;
            }
        }
    }
}
