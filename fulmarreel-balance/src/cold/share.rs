//! The share of a cold target's requests that one node sends.
//!
//! The nodes do not know each other's demand. Each sends more after each request that the target's node
//! accepts, and half as much after each that it refuses. The first rate lies between the whole limit,
//! which is right if only this node has requests, and an equal part of it, which is right if all nodes
//! have equally many.

use std::time::Instant;

/// The factor by which the rate grows with each request that is accepted.
const GROWTH: f64 = 1.25;

/// The factor by which the rate falls with each request that is refused.
const DECLINE: f64 = 0.5;

/// The lowest rate, as a fraction of an equal part of the limit.
const MIN_PART: f64 = 0.5;

/// How many requests a node may send at once.
const BURST: f64 = 1.0;

/// The share of a cold target's requests that one node sends.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    /// The target's limit, in requests per second.
    limit_per_s: f64,
    min_per_s: f64,
    per_s: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Share {
    /// Starts to share a limit with `nodes` nodes. `phase`, from 0 to 1, tells how soon the first request
    /// may be sent, so that not all nodes send theirs at once.
    pub fn new(limit_per_s: f64, nodes: usize, phase: f64, now: Instant) -> Self {
        let nodes = nodes.max(1) as f64;
        Self {
            limit_per_s,
            min_per_s: limit_per_s / nodes * MIN_PART,
            per_s: limit_per_s / nodes.sqrt(),
            tokens: phase * BURST,
            filled_at: now,
        }
    }

    /// Whether a request may be sent now.
    pub fn has_room(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_s).min(BURST);
        self.tokens >= BURST
    }

    /// Records that a request is sent.
    pub fn spend(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Records that the target's node accepted a request.
    pub fn accept(&mut self) {
        self.per_s = (self.per_s * GROWTH).min(self.limit_per_s);
    }

    /// Records that the target's node refused a request.
    pub fn refuse(&mut self) {
        self.per_s = (self.per_s * DECLINE).max(self.min_per_s);
    }
}
