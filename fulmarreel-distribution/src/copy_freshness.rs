//! How recent a node's copy of the store is.
//!
//! A response that is final for a caller, for example that a route does not exist, must not come
//! from a node whose configuration may be outdated.

use std::time::{Duration, Instant};

/// Age of the last confirmation up to which the copy counts as current; an older one may lack a
/// change.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(1_800);

/// How long a revision reported by another node is taken into account. Nodes repeat their reports.
const PEER_REVISION_LIFETIME: Duration = Duration::from_secs(4);

/// Shortest time between two observations at which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);

/// How long after a pause the process may still read messages that arrived during it.
const BACKLOG_READ_TIME: Duration = Duration::from_millis(500);

/// A time in which the process did not run, so that messages queued up.
#[derive(Debug)]
struct Pause {
    since: Instant,
    /// Until when messages that queued up may still be read.
    backlog_until: Instant,
}

/// How recent a node's copy of the store is.
#[derive(Debug, Default)]
pub struct CopyFreshness {
    /// The latest time as of which the copy is known to be complete.
    confirmed: Option<Instant>,
    /// The highest revision that another node reported.
    peer_revision: u64,
    /// Until when that report is taken into account.
    peer_revision_until: Option<Instant>,
    /// When [`CopyFreshness::observe`] was last called.
    last_observed: Option<Instant>,
    pause: Option<Pause>,
}

impl CopyFreshness {
    /// Records that the process runs. Must be called much more often than every 500 ms, the
    /// threshold of a pause.
    pub fn observe(&mut self, now: Instant) {
        let last = self.last_observed.replace(now).unwrap_or(now);
        let ongoing = self.pause.take().filter(|pause| last < pause.backlog_until);
        self.pause = if now >= last + PAUSE_THRESHOLD {
            Some(Pause {
                since: ongoing.map_or(last, |pause| pause.since),
                backlog_until: now + BACKLOG_READ_TIME,
            })
        } else {
            ongoing
        };
    }

    /// The earliest time to which a message read now can refer, if its content was `age` old when
    /// it arrived. After a pause of the process it may have arrived at any time since the pause
    /// began.
    pub fn earliest_time_of(&mut self, age: Duration, now: Instant) -> Option<Instant> {
        self.observe(now);
        let pause = self.pause.as_ref();
        let pause = pause.filter(|pause| now < pause.backlog_until);
        pause.map_or(now, |pause| pause.since).checked_sub(age)
    }

    /// Records that the store itself has just confirmed that the copy is complete.
    pub fn confirm_now(&mut self, now: Instant) {
        let time = self.earliest_time_of(Duration::ZERO, now);
        self.confirmed = self.confirmed.max(time);
    }

    /// Records that the copy is complete as of a time given by [`CopyFreshness::earliest_time_of`].
    pub fn confirm_as_of(&mut self, time: Instant) {
        self.confirmed = self.confirmed.max(Some(time));
    }

    /// Records the revision up to which another node knows the store.
    pub fn record_peer_revision(&mut self, revision: u64, now: Instant) {
        if revision >= self.highest_peer_revision(now) {
            self.peer_revision = revision;
            self.peer_revision_until = Some(now + PEER_REVISION_LIFETIME);
        }
    }

    /// The highest revision that another node reported recently; 0 if none.
    pub fn highest_peer_revision(&self, now: Instant) -> u64 {
        let is_valid = self.peer_revision_until.is_some_and(|until| until > now);
        if is_valid { self.peer_revision } else { 0 }
    }

    /// Time since the copy was last known to be complete; none if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(now.saturating_duration_since(confirmed))
    }

    /// Whether a copy up to `revision` is current: it was confirmed recently, and no other node
    /// reports a higher revision.
    pub fn is_current(&self, revision: u64, now: Instant) -> bool {
        let is_recent = self.age(now).is_some_and(|age| age <= MAX_CURRENT_AGE);
        is_recent && revision >= self.highest_peer_revision(now)
    }
}
