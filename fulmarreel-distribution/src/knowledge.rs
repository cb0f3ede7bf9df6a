//! How recent a node's knowledge of the store is.
//!
//! An answer that is final for a caller, such as that there is no such route, is only as good as the
//! configuration that it rests on: a node that may have missed a change must not give it.

use std::time::{Duration, Instant};

/// Age of the last contact with the store from which on a change may have been missed.
const RECENT: Duration = Duration::from_millis(1_800);

/// How long a higher revision counts that another node spoke of; it is repeated while it is true.
const HEARD_LIFETIME: Duration = Duration::from_secs(4);

/// Time between two observations from which on the process may have been stopped.
const PAUSE: Duration = Duration::from_millis(500);

/// How long messages that waited during a pause may still be read after it.
const BACKLOG: Duration = Duration::from_millis(500);

/// A time in which the process did not run, and messages waited.
#[derive(Debug)]
struct Pause {
    since: Instant,
    /// Until when messages that waited may still be read.
    backlog_until: Instant,
}

/// How recent a node's knowledge of the store is.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// The latest time as of which everything in the store is known here.
    confirmed: Option<Instant>,
    /// The highest revision that another node spoke of.
    heard: u64,
    /// Until when that counts.
    heard_until: Option<Instant>,
    /// When the process was last seen to run.
    observed: Option<Instant>,
    pause: Option<Pause>,
}

impl Knowledge {
    /// Notes that the process runs; to be called much more often than every half second.
    pub fn observe(&mut self, now: Instant) {
        let last = self.observed.replace(now).unwrap_or(now);
        let ongoing = self.pause.take().filter(|pause| last < pause.backlog_until);
        self.pause = if now >= last + PAUSE {
            Some(Pause {
                since: ongoing.map_or(last, |pause| pause.since),
                backlog_until: now + BACKLOG,
            })
        } else {
            ongoing
        };
    }

    /// The time to which a message of that age refers at the latest, where it is read now: after a pause
    /// of the process it may have waited to be read.
    pub fn date(&mut self, age: Duration, now: Instant) -> Option<Instant> {
        self.observe(now);
        let pause = self.pause.as_ref();
        let pause = pause.filter(|pause| now < pause.backlog_until);
        pause.map_or(now, |pause| pause.since).checked_sub(age)
    }

    /// Notes that the store itself has told all that it has.
    pub fn touch(&mut self, now: Instant) {
        let date = self.date(Duration::ZERO, now);
        self.confirmed = self.confirmed.max(date);
    }

    /// Notes that everything the store had at a time, as told by [`Knowledge::date`], is known.
    pub fn confirm(&mut self, date: Instant) {
        self.confirmed = self.confirmed.max(Some(date));
    }

    /// Takes in up to which revision another node knows the store.
    pub fn hear(&mut self, revision: u64, now: Instant) {
        if revision >= self.heard(now) {
            self.heard = revision;
            self.heard_until = Some(now + HEARD_LIFETIME);
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
