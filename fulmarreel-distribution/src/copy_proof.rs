//! As of when a node's copy of the store is proved complete.
//!
//! A request with an API key may run only where the key cannot have been removed long ago. That must
//! hold also if the node was paused or suspended, or if responses and notices were late. A proof
//! therefore counts from the earliest time at which its content can have been made, never from when it
//! was read. All times are of a clock that counts suspensions.

use std::time::{Duration, Instant};

/// The fraction of the limit for revocations that the age of the proof may take up. The rest is for
/// messages that are under way, which no receiver can date.
const MAX_AGE_FRACTION: f64 = 0.6;

/// A call by which a node reads the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreCall {
    /// When the call was about to be sent.
    pub sent_at: Instant,
    /// How long the store may hold the call while nothing changes.
    pub hold_time: Duration,
}

impl StoreCall {
    /// The earliest time at which the store can have made the response that was read at `now`.
    /// `has_events` tells whether the response brings changes: then the store may have made it at once.
    pub fn answered_as_of(&self, has_events: bool, now: Instant) -> Instant {
        let held_until = self.sent_at + self.hold_time;
        // A response without events that is here earlier was not held to the end.
        if has_events || now < held_until {
            self.sent_at
        } else {
            held_until
        }
    }
}

/// As of when a node's copy of the store is proved complete.
#[derive(Debug, Default)]
pub struct CopyProof {
    complete_as_of: Option<Instant>,
    /// A time after which every notice that is still unread has arrived.
    queue_empty_at: Option<Instant>,
}

impl CopyProof {
    /// Records that the copy holds all that the store had at a time.
    pub fn record(&mut self, as_of: Instant) {
        self.complete_as_of = self.complete_as_of.max(Some(as_of));
    }

    /// Records that no notice was unread in the node's socket at some time not before `checked_at`.
    pub fn record_empty_queue(&mut self, checked_at: Instant) {
        self.queue_empty_at = self.queue_empty_at.max(Some(checked_at));
    }

    /// The earliest time to which a notice read now can refer if its content was `age` old when it was
    /// sent: it may have waited unread since the queue was last seen empty.
    pub fn earliest_time_of_notice(&self, age: Duration) -> Option<Instant> {
        self.queue_empty_at?.checked_sub(age)
    }

    /// The latest time as of which the copy is proved complete; `None` if it never was.
    pub fn complete_as_of(&self) -> Option<Instant> {
        self.complete_as_of
    }

    /// Time since then.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.complete_as_of?;
        Some(now.saturating_duration_since(as_of))
    }

    /// Whether requests with API keys of the copy may run, if a key that was removed longer than
    /// `revocation_limit` ago must not be accepted.
    pub fn allows_keys(&self, revocation_limit: Duration, now: Instant) -> bool {
        let max_age = revocation_limit.mul_f64(MAX_AGE_FRACTION);
        self.age(now).is_some_and(|age| age <= max_age)
    }
}
