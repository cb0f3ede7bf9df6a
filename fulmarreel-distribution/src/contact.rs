//! Whether the store answers a node that reads it, and when the node announces that.
//!
//! Only what the node itself receives counts: a reader that relied on other nodes' contact would
//! announce itself without contact of its own, and the others would stop reading. A slow response
//! counts as contact while its bytes arrive.

use std::time::{Duration, Instant};

/// How long the store holds a watch request while nothing changes. Its response proves contact.
pub const WATCH_HOLD_TIME: Duration = Duration::from_millis(700);

/// How long after [`WATCH_HOLD_TIME`] the response to a watch request may still begin.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The contact of one node with the store.
#[derive(Debug, Default)]
pub struct StoreContact {
    /// Until when the store counts as answering without another response.
    valid_until: Option<Instant>,
}

impl StoreContact {
    /// Records that the store has answered, that bytes of a response arrive, or that a call is sent
    /// right after a response.
    pub fn record_response(&mut self, now: Instant) {
        self.valid_until = Some(now + WATCH_HOLD_TIME + RESPONSE_TIMEOUT);
    }

    /// Whether the store still counts as answering this node.
    pub fn is_in_contact(&self, now: Instant) -> bool {
        self.valid_until
            .is_some_and(|valid_until| now < valid_until)
    }
}

/// How often a reader announces that it is in contact.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// What a node last announced to its region, about whether it reads the store.
#[derive(Debug, Default)]
pub struct AnnouncementSchedule {
    reads: bool,
    revision: u64,
    /// When to repeat that announcement.
    next_at: Option<Instant>,
}

impl AnnouncementSchedule {
    /// Whether a node has to announce its state now. A reader announces each new revision, and
    /// repeats its last announcement at an interval; a node that stopped reading announces that
    /// once.
    pub fn is_due(&mut self, reads: bool, revision: u64, now: Instant) -> bool {
        let is_interval_over = self.next_at.is_none_or(|next_at| now >= next_at);
        let must_announce = revision > self.revision || is_interval_over;
        if self.reads == reads && !(reads && must_announce) {
            return false;
        }
        *self = Self {
            reads,
            revision,
            next_at: Some(now + ANNOUNCEMENT_INTERVAL),
        };
        true
    }
}
