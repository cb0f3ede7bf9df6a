//! Announcements of a target to its node, ordered by when they were made and not by their arrival.

use std::{net::SocketAddr, time::Duration};

/// Number of ended runs of targets whose late announcements are still recognised.
const MAX_ENDED_RUNS: usize = 16;

/// The state of a target as the target itself reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Usually unique to one run of the target; a later run may reuse it with a later
    /// `started_at_ms`.
    pub id: String,
    /// When the target started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Increases with each announcement of the same run.
    pub sequence: u64,
    /// The address on which the target accepts requests.
    pub endpoint: SocketAddr,
    /// Its service.
    pub service: String,
    /// The version that it runs.
    pub version: String,
    /// Its availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time, during which it answers slowly.
    pub warm_up_remaining: Duration,
}

/// The current target of one node, derived from announcements.
#[derive(Debug, Default)]
pub struct CurrentTarget {
    current: Option<Announcement>,
    /// Ended runs: an id, and the latest `started_at_ms` whose announcements are ignored.
    ended: Vec<(String, u64)>,
}

impl CurrentTarget {
    /// The current target, if any.
    pub fn get(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Applies an announcement. Returns false if a later one is known or its run has ended.
    pub fn apply(&mut self, announcement: Announcement) -> bool {
        let has_ended = self.ended.iter().any(|(id, started_at_ms)| {
            *id == announcement.id && announcement.started_at_ms <= *started_at_ms
        });
        if has_ended
            || self
                .current
                .as_ref()
                .is_some_and(|known| !is_newer(&announcement, known))
        {
            return false;
        }
        self.current = Some(announcement);
        true
    }

    /// Records that a target ended at a time, in milliseconds since the Unix epoch, and returns
    /// whether it was the current one. An unknown run is recorded as well, because its delayed
    /// announcements may still arrive.
    pub fn end(&mut self, id: &str, ended_at_ms: u64) -> bool {
        let known = self.current.as_ref().filter(|known| known.id == id);
        let is_current = known.is_some();
        // A target that was taken up from the store may have no start.
        let started_at_ms = known.map(|known| known.started_at_ms);
        let started_at_ms = started_at_ms.filter(|started_at_ms| *started_at_ms > 0);
        if self.ended.len() == MAX_ENDED_RUNS {
            self.ended.remove(0);
        }
        self.ended
            .push((id.to_owned(), started_at_ms.unwrap_or(ended_at_ms)));
        if is_current {
            self.current = None;
        }
        is_current
    }

    /// Removes the current target after it has sent no announcement for too long.
    pub fn withdraw(&mut self) {
        self.current = None;
    }
}

/// Whether an announcement was made after the known one.
fn is_newer(announcement: &Announcement, known: &Announcement) -> bool {
    if announcement.id == known.id && announcement.started_at_ms == known.started_at_ms {
        return announcement.sequence > known.sequence;
    }
    announcement.started_at_ms >= known.started_at_ms
}
