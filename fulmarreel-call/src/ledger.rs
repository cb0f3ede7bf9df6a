//! The calls of one origin at the node in front of their target.
//!
//! Memory is bounded: the calls that are queued or running are bounded by admission, kept answers
//! by their bytes, and calls that ended are forgotten after [`KEEP`]. Of the forgotten ones only
//! the highest sequence is kept: a query at or below it for a call that is not known is answered
//! [`Fate::Unknown`], since that call may have run.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// How long a call that ended can still be asked for.
pub const KEEP: Duration = Duration::from_secs(5);

/// Bytes of answers that are kept for one origin.
pub const MAX_KEPT_BYTES: usize = 262_144;

/// Why a call was not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It arrived on a connection that its origin has replaced.
    #[error("generation {given}, the origin's present one is {present}")]
    Replaced {
        /// Of the connection that it arrived on.
        given: u64,
        /// Of the origin's newest connection.
        present: u64,
    },
    /// A call of that sequence was opened before.
    #[error("sequence {sequence} was opened before")]
    Repeated {
        /// The call.
        sequence: u64,
    },
}

/// What became of a call that was asked for.
#[derive(Debug, PartialEq, Eq)]
pub enum Fate<'a, A> {
    /// Not handed over, and it never will be.
    NotRun,
    /// Queued or running; its end follows.
    Running,
    /// Its whole answer.
    Answered(&'a A),
    /// Handed over, and its answer cannot be had.
    Unknown,
}

/// What a cancellation achieved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// The call was not handed over, and never will be.
    NotRun,
    /// The call was handed over.
    TooLate,
}

#[derive(Debug)]
enum Call<A> {
    Queued,
    HandedOver,
    Answered {
        answer: A,
        bytes: usize,
    },
    Lost,
    /// Refused; the entry keeps a late copy from being run.
    Fenced,
}

/// The calls of one origin; `A` is a whole answer.
#[derive(Debug)]
pub struct Ledger<A> {
    generation: u64,
    calls: HashMap<u64, Call<A>>,
    ended: VecDeque<(Instant, u64)>,
    kept: VecDeque<u64>,
    kept_bytes: usize,
    forgotten: u64,
}

impl<A> Default for Ledger<A> {
    fn default() -> Self {
        Self {
            generation: 0,
            calls: HashMap::new(),
            ended: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            forgotten: 0,
        }
    }
}

impl<A> Ledger<A> {
    /// Notes a connection of the origin; calls of lower generations are no longer opened. False
    /// where a later connection is known.
    ///
    /// `resumed` says that the origin opened calls here before. Where this ledger knows nothing of
    /// that, it was forgotten, and no call that is asked for is said to be not run.
    pub fn connect(&mut self, generation: u64, resumed: bool) -> bool {
        if generation <= self.generation {
            return false;
        }
        if resumed && self.generation == 0 {
            self.forgotten = u64::MAX;
        }
        self.generation = generation;
        true
    }

    /// Queues a call that arrived whole; sequences start at 1.
    ///
    /// # Errors
    ///
    /// The connection was replaced, or the call is known.
    pub fn open(&mut self, generation: u64, sequence: u64) -> Result<(), Error> {
        if generation < self.generation {
            return Err(Error::Replaced {
                given: generation,
                present: self.generation,
            });
        }
        if self.calls.contains_key(&sequence) {
            return Err(Error::Repeated { sequence });
        }
        self.calls.insert(sequence, Call::Queued);
        Ok(())
    }

    /// Marks a call as handed over; false where it was cancelled meanwhile and must not be.
    pub fn hand_over(&mut self, sequence: u64) -> bool {
        match self.calls.get_mut(&sequence) {
            Some(call @ Call::Queued) => {
                *call = Call::HandedOver;
                true
            }
            _ => false,
        }
    }

    /// Refuses a queued call; false where it was handed over before, or is not known.
    pub fn refuse(&mut self, sequence: u64, now: Instant) -> bool {
        let queued = matches!(self.calls.get(&sequence), Some(Call::Queued));
        if queued {
            self.end(sequence, Call::Fenced, now);
        }
        queued
    }

    /// Takes back a hand-over of which not a byte reached the target; false where there was none.
    pub fn withdraw(&mut self, sequence: u64, now: Instant) -> bool {
        let handed_over = matches!(self.calls.get(&sequence), Some(Call::HandedOver));
        if handed_over {
            self.end(sequence, Call::Fenced, now);
        }
        handed_over
    }

    /// Cancels a call if it was not handed over, also where it has not arrived yet.
    pub fn cancel(&mut self, sequence: u64, now: Instant) -> Cancellation {
        match self.calls.get(&sequence) {
            Some(Call::Queued) => {
                self.end(sequence, Call::Fenced, now);
                Cancellation::NotRun
            }
            Some(Call::Fenced) => Cancellation::NotRun,
            None if sequence > self.forgotten => {
                self.end(sequence, Call::Fenced, now);
                Cancellation::NotRun
            }
            _ => Cancellation::TooLate,
        }
    }

    /// Keeps the answer of a call that was handed over, for as long as there is room.
    pub fn answer(&mut self, sequence: u64, answer: A, bytes: usize, now: Instant) {
        self.end(sequence, Call::Answered { answer, bytes }, now);
        self.kept.push_back(sequence);
        self.kept_bytes += bytes;
        self.shrink();
    }

    /// Notes that the answer of a call that was handed over cannot be had, or is not kept; one that
    /// is kept already stays.
    pub fn lose(&mut self, sequence: u64, now: Instant) {
        if matches!(self.calls.get(&sequence), Some(Call::HandedOver)) {
            self.end(sequence, Call::Lost, now);
        }
    }

    /// What became of a call; one that has not arrived is not run when it does.
    pub fn query(&mut self, sequence: u64, now: Instant) -> Fate<'_, A> {
        if !self.calls.contains_key(&sequence) {
            if sequence <= self.forgotten {
                return Fate::Unknown;
            }
            self.end(sequence, Call::Fenced, now);
        }
        match self.calls.get(&sequence) {
            Some(Call::Queued | Call::HandedOver) => Fate::Running,
            Some(Call::Answered { answer, .. }) => Fate::Answered(answer),
            Some(Call::Lost) => Fate::Unknown,
            Some(Call::Fenced) | None => Fate::NotRun,
        }
    }

    /// Forgets calls that ended [`KEEP`] ago.
    pub fn expire(&mut self, now: Instant) {
        while let Some((ended, sequence)) = self.ended.front().copied() {
            if now.saturating_duration_since(ended) < KEEP {
                return;
            }
            self.ended.pop_front();
            if let Some(Call::Answered { bytes, .. }) = self.calls.remove(&sequence) {
                self.kept_bytes -= bytes;
                // Answers are kept in the order in which calls end.
                self.kept.pop_front();
            }
            self.forgotten = self.forgotten.max(sequence);
        }
    }

    /// Calls that are queued, running or not yet forgotten.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is known.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn end(&mut self, sequence: u64, end: Call<A>, now: Instant) {
        self.calls.insert(sequence, end);
        self.ended.push_back((now, sequence));
    }

    fn shrink(&mut self) {
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
