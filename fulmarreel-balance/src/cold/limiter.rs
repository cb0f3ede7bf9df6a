//! Bounds the requests that a target gets in any second.
//!
//! The node knows when it began to hand a request over and when the answer came; the target gets the
//! request at some time in between. Connections that open slowly, and pauses of the node or of the
//! target, can therefore bunch requests that were handed over far apart. Two rules keep the load of a
//! target within its limits nevertheless:
//!
//! - A token bucket paces hand-overs at the limit.
//! - A hand-over is allowed only if the bound holds even if the target gets, in the last second, all
//!   requests that it may have got in it: those without an answer, and those answered in that second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The window over which a target's requests are bounded.
const WINDOW: Duration = Duration::from_secs(1);

/// The bucket's size as a fraction of what the limits allow in a second beyond the rate.
const BURST_FRACTION: f64 = 0.25;

/// How far below zero requests that are not delayed may take the bucket.
const MAX_DEBT: f64 = 1.0;

/// How long a request without an answer counts after its connection was closed. A target that is paused
/// may read the request up to a [`WINDOW`] before this time ends, without exceeding the bound.
const UNANSWERED_LIFETIME: Duration = Duration::from_secs(10);

/// Delay until the next attempt while requests without an answer take up the whole bound.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The longest wait that is returned.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The requests that a target may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Requests per second.
    pub per_s: f64,
    /// The factor by which the requests of one second may exceed that.
    pub excess: f64,
    /// Requests in any second in addition.
    pub slack: f64,
}

/// How a hand-over ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Answered,
    /// The target did not get the request, or its answer says that the request does not count.
    NotCounted,
    /// There is no answer, and the target may get the request even now.
    Unanswered,
}

/// Bounds the requests that one target gets in any second.
#[derive(Debug)]
pub struct Limiter {
    tokens: f64,
    filled_at: Instant,
    /// The number of hand-overs that have not ended.
    open: usize,
    /// When those ended that the target may have got in the last second, the earliest first.
    ended: VecDeque<Instant>,
    /// When those ended that the target may get even now, the earliest first.
    unanswered: VecDeque<Instant>,
}

impl Limits {
    /// The most requests in any second.
    pub fn bound(&self) -> f64 {
        self.per_s * self.excess + self.slack
    }

    fn burst(&self) -> f64 {
        ((self.bound() - self.per_s) * BURST_FRACTION).max(1.0)
    }
}

impl Limiter {
    /// Creates a limiter for a target that may have got all that it was allowed to until now.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
            open: 0,
            ended: VecDeque::new(),
            unanswered: VecDeque::new(),
        }
    }

    /// Allows one hand-over, which is open from now on.
    ///
    /// # Errors
    ///
    /// It is not allowed yet; the time after which it may be, if no other is allowed before.
    pub fn try_begin(&mut self, limits: &Limits, now: Instant) -> Result<(), Duration> {
        let wait = self.wait(limits, 0, now);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.tokens -= 1.0;
        self.open += 1;
        Ok(())
    }

    /// Records a hand-over that is not to be delayed, which is open from now on.
    pub fn begin(&mut self, limits: &Limits, now: Instant) {
        self.fill(limits, now);
        self.tokens = (self.tokens - 1.0).max(-MAX_DEBT);
        self.open += 1;
    }

    /// Records the end of a hand-over that began at `began`.
    pub fn end(&mut self, limits: &Limits, end: End, began: Instant, now: Instant) {
        self.open = self.open.saturating_sub(1);
        match end {
            End::NotCounted => self.tokens = (self.tokens + 1.0).min(limits.burst()),
            End::Unanswered => self.unanswered.push_back(now),
            End::Answered => {
                // A target that has read this request has also read what was sent before.
                let read = self.unanswered.partition_point(|end| *end <= began);
                let read = self.unanswered.drain(..read).map(|_| now);
                self.ended.extend(read);
                self.ended.push_back(now);
            }
        }
    }

    /// The time until a hand-over may be allowed that `ahead` others go before.
    pub fn wait(&mut self, limits: &Limits, ahead: usize, now: Instant) -> Duration {
        self.fill(limits, now);
        self.forget(now);
        let missing = (1 + ahead) as f64 - self.tokens;
        let for_token = if missing > 0.0 {
            let wait = Duration::try_from_secs_f64(missing / limits.per_s).unwrap_or(MAX_WAIT);
            // Rounded down, the wait could end before the token is there.
            wait.clamp(Duration::from_micros(1), MAX_WAIT)
        } else {
            Duration::ZERO
        };
        for_token.max(self.wait_for_room(limits, now))
    }

    /// The time until one more hand-over may fit the bound.
    fn wait_for_room(&self, limits: &Limits, now: Instant) -> Duration {
        let possible = self.open + self.unanswered.len() + self.ended.len();
        if (possible + 1) as f64 <= limits.bound() {
            return Duration::ZERO;
        }
        let until = |end: &Instant| (*end + WINDOW).saturating_duration_since(now);
        let wait = self.ended.front().map_or(RETRY_INTERVAL, until);
        wait.max(Duration::from_micros(1))
    }

    fn fill(&mut self, limits: &Limits, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let tokens = self.tokens + elapsed.as_secs_f64() * limits.per_s;
        self.tokens = tokens.min(limits.burst());
    }

    /// Forgets the hand-overs that the target cannot have got in the last second.
    fn forget(&mut self, now: Instant) {
        let is_past = |end: &Instant, age| now.saturating_duration_since(*end) > age;
        while self.ended.front().is_some_and(|end| is_past(end, WINDOW)) {
            self.ended.pop_front();
        }
        let lifetime = UNANSWERED_LIFETIME;
        while (self.unanswered.front()).is_some_and(|end| is_past(end, lifetime)) {
            self.unanswered.pop_front();
        }
    }
}
