//! Whether the store answers a node that reads it, and when the node says so.
//!
//! Only what the node itself receives counts: a reader that went by what others say would announce
//! itself on their contact and push them out. An answer that comes slowly is contact.

use std::time::{Duration, Instant};

/// How long the store holds a watch where nothing changes; its answer is the sign of contact.
pub const WATCH_WAIT: Duration = Duration::from_millis(700);

/// How much later than that an answer begins to arrive.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// One node's contact with the store.
#[derive(Debug, Default)]
pub struct Contact {
    /// Until when the store counts as answering without a further sign.
    until: Option<Instant>,
}

impl Contact {
    /// Notes that the store has answered, or that a call follows at once on an answer, or that bytes
    /// of an answer arrive.
    pub fn mark(&mut self, now: Instant) {
        self.until = Some(now + WATCH_WAIT + ANSWER_LIMIT);
    }

    /// Whether the store answers, as far as this node can tell.
    pub fn holds(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// How often a reader announces that it is in contact.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// What a node has announced last to its region.
#[derive(Debug, Default)]
pub struct Announcement {
    reads: bool,
    revision: u64,
    /// When that is announced again.
    again: Option<Instant>,
}

impl Announcement {
    /// Whether a node announces now that it reads the store or, once, that it does not any more:
    /// where it knows more than it has announced, and now and then.
    pub fn is_due(&mut self, reads: bool, revision: u64, now: Instant) -> bool {
        let is_old = self.again.is_none_or(|again| now >= again);
        let has_news = revision > self.revision || is_old;
        if self.reads == reads && !(reads && has_news) {
            return false;
        }
        *self = Self {
            reads,
            revision,
            again: Some(now + ANNOUNCEMENT_INTERVAL),
        };
        true
    }
}
