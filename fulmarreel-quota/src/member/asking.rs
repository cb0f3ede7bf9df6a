//! Whom a node asks for the tokens that its waiting requests of an account need.

use crate::Time;
use std::time::Duration;

/// How long an answer may take before another node is asked.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// The time for which nobody is asked after the coordinator had too few tokens.
pub(super) const DENIED_TIME: Duration = Duration::from_millis(200);

/// The shortest time between two questions.
const MIN_INTERVAL: Duration = Duration::from_millis(2);

/// Whom a node asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// The account's deputy with this index.
    Deputy(usize),
    Coordinator,
}

/// The questions about one account.
#[derive(Debug)]
pub(super) struct Asking {
    source: Source,
    /// Waiting requests for which tokens were asked for and no answer came yet.
    asked: usize,
    asked_at: Time,
    /// Whether a deputy had too few tokens, so that the coordinator is asked next.
    is_escalated: bool,
    denied_until: Time,
}

impl Source {
    /// Whom to ask if this one does not answer.
    fn next(self) -> Self {
        match self {
            Self::Deputy(0) => Self::Deputy(1),
            Self::Deputy(_) => Self::Coordinator,
            Self::Coordinator => Self::Deputy(0),
        }
    }
}

impl Asking {
    pub fn new() -> Self {
        Self {
            source: Source::Coordinator,
            asked: 0,
            asked_at: Time::ZERO,
            is_escalated: false,
            denied_until: Time::ZERO,
        }
    }

    /// When the next question is due with this many requests waiting.
    pub fn due_at(&self, waiting: usize) -> Time {
        let is_new = waiting > self.asked;
        let after = if is_new { MIN_INTERVAL } else { ANSWER_TIME };
        (self.asked_at + after).max(self.denied_until)
    }

    /// Chooses whom to ask. A node with much demand of its own asks the coordinator first, others a
    /// deputy. `has_deputy` tells whether there is a deputy with an index.
    pub fn choose(
        &mut self,
        has_high_demand: bool,
        has_deputy: impl Fn(usize) -> bool,
        now: Time,
    ) -> Source {
        if self.asked > 0 && now >= self.asked_at + ANSWER_TIME {
            self.asked = 0;
            self.source = self.source.next();
        } else if self.is_escalated || has_high_demand {
            self.source = Source::Coordinator;
        } else if self.asked == 0 {
            self.source = Source::Deputy(0);
        }
        while let Source::Deputy(index) = self.source
            && !has_deputy(index)
        {
            self.source = self.source.next();
        }
        self.source
    }

    /// Whom the last question went to.
    pub fn source(&self) -> Source {
        self.source
    }

    /// Records a question; returns for how many requests it asks.
    pub fn ask(&mut self, waiting: usize, now: Time) -> u32 {
        let wanted = waiting.saturating_sub(self.asked);
        if wanted > 0 {
            self.asked = waiting;
            self.asked_at = now;
            self.is_escalated = false;
        }
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    /// Records the answer to a question for `wanted` tokens.
    pub fn answered(&mut self, by: Source, wanted: u32, missing: u32, now: Time) {
        self.asked = self.asked.saturating_sub(wanted as usize);
        if missing > 0 {
            match by {
                Source::Coordinator => self.denied_until = now + DENIED_TIME,
                Source::Deputy(_) => self.is_escalated = true,
            }
        }
    }

    /// Limits the requests without an answer to those that still wait.
    pub fn forget_beyond(&mut self, waiting: usize) {
        self.asked = self.asked.min(waiting);
    }

    /// Whether an answer may still come.
    pub fn may_be_answered(&self, now: Time) -> bool {
        self.denied_until <= now
    }
}
