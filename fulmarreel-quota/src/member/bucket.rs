//! The token bucket of one account at one node.

use crate::{Limit, Time, message::Grant};

/// A token bucket that is filled under a grant, and empty once the grant has expired.
#[derive(Debug, Default)]
pub(super) struct Bucket {
    grant: Option<Grant>,
    expires_at: Time,
    tokens: f64,
    filled_at: Time,
}

impl Bucket {
    /// Replaces the grant, and adds the tokens that come with it.
    pub fn apply(&mut self, grant: Grant, expires_at: Time, limit: &Limit, now: Time) {
        self.fill(limit, now);
        self.grant = Some(grant);
        self.expires_at = expires_at;
        self.tokens += f64::from(grant.tokens);
        self.fill(limit, now);
    }

    /// Adds what has come into being since the last call. A limit that was lowered after the grant
    /// scales it down, so that the shares of all nodes stay within the limit.
    pub fn fill(&mut self, limit: &Limit, now: Time) {
        let (rate, size) = self.rate_and_size(limit, now);
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + rate * elapsed).min(size);
    }

    /// Takes tokens if there are as many.
    pub fn take(&mut self, count: u32) -> bool {
        let enough = self.tokens >= f64::from(count);
        if enough {
            self.tokens -= f64::from(count);
        }
        enough
    }

    /// Puts a token back, as far as there is room.
    pub fn put_back(&mut self, limit: &Limit, now: Time) {
        self.fill(limit, now);
        self.tokens += 1.0;
        self.fill(limit, now);
    }

    /// The whole tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens as u32
    }

    /// When the grant expires.
    pub fn expires_at(&self) -> Time {
        self.expires_at
    }

    /// The grant, unless it has expired.
    pub fn grant(&self, now: Time) -> Option<&Grant> {
        self.grant.as_ref().filter(|_| now < self.expires_at)
    }

    /// When `count` tokens will be there; `None` if not under this grant.
    pub fn time_of(&self, count: u32, limit: &Limit, now: Time) -> Option<Time> {
        let (rate, size) = self.rate_and_size(limit, now);
        let missing = f64::from(count) - self.tokens;
        if missing <= 0.0 {
            return Some(now);
        }
        if rate <= 0.0 || f64::from(count) > size {
            return None;
        }
        let time = now + Time::try_from_secs_f64(missing / rate).unwrap_or(Time::MAX / 4);
        Some(time).filter(|time| *time < self.expires_at)
    }

    fn rate_and_size(&self, limit: &Limit, now: Time) -> (f64, f64) {
        let Some(grant) = self.grant(now) else {
            return (0.0, 0.0);
        };
        let scale = |own: f64, of: f64| if own < of { own / of } else { 1.0 };
        let rate_scale = scale(limit.rate_milli as f64, grant.of_rate_milli as f64);
        let size_scale = scale(f64::from(limit.capacity), f64::from(grant.of_capacity));
        (
            grant.rate_milli as f64 / 1e3 * rate_scale,
            f64::from(grant.bucket) * size_scale,
        )
    }
}
