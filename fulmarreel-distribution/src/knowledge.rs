//! How recent a node's knowledge of the store is.
//!
//! An answer that is final for a caller, such as that there is no such route, is only as good as the
//! configuration that it rests on: a node that may have missed a change must not give it.

use std::time::{Duration, Instant};

/// Age of the last contact with the store from which on a change may have been missed.
const RECENT: Duration = Duration::from_millis(1_800);

/// How long word of a higher revision counts; it is repeated while it is true.
const WORD_LIFETIME: Duration = Duration::from_secs(4);

/// How recent a node's knowledge of the store is.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// The latest time as of which everything in the store is known here.
    confirmed: Option<Instant>,
    /// The highest revision that another node spoke of.
    heard: u64,
    /// Until when that counts.
    heard_until: Option<Instant>,
}

impl Knowledge {
    /// Notes that the store itself has told all that it has.
    pub fn touch(&mut self, now: Instant) {
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Notes that everything the store had `age` ago is known.
    pub fn confirm(&mut self, age: Duration, now: Instant) {
        self.confirmed = self.confirmed.max(now.checked_sub(age));
    }

    /// Takes in up to which revision another node knows the store.
    pub fn hear(&mut self, revision: u64, now: Instant) {
        if revision >= self.heard(now) {
            self.heard = revision;
            self.heard_until = Some(now + WORD_LIFETIME);
        }
    }

    /// The highest revision that another node spoke of lately; 0 for none.
    pub fn heard(&self, now: Instant) -> u64 {
        let counts = self.heard_until.is_some_and(|until| until > now);
        if counts { self.heard } else { 0 }
    }

    /// How long ago everything in the store was known here; none where it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Whether a node that knows the store up to `revision` knows of no change that it lacks, and was
    /// in contact recently enough to have learned of one.
    pub fn is_current(&self, revision: u64, now: Instant) -> bool {
        let recent = self.age(now).is_some_and(|age| age <= RECENT);
        recent && revision >= self.heard(now)
    }
}
