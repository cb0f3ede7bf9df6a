//! How an account's quota and the allowance on top of it are divided.

use std::time::Duration;

/// The part of the allowance that enlarges the buckets.
const CAPACITY_SHARE: f64 = 0.3;

/// The part of the allowance that a new coordinator may spend while grants of its predecessor live.
const TAKEOVER_SHARE: f64 = 0.5;

/// How long tokens that a new coordinator gives out during its takeover can be kept, by itself for a
/// second ([`Limit::takeover_capacity`]) and by nodes.
const TAKEOVER_KEPT: Duration = Duration::from_secs(2);

/// The highest rate that [`Limit::high_demand_milli`] returns, in thousandths per second. At less demand
/// per node most of an account's nodes would hold fractions of tokens.
const MAX_HIGH_DEMAND_MILLI: u64 = 3_000;

/// The rate from which the demand of an account suffices for two deputies, in thousandths per second.
const TWO_DEPUTIES_MILLI: u64 = 15_000;

/// A quota, as the operator configures it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Sustained requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the sustained rate.
    pub burst: f64,
}

/// How much more than a quota may run in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The window over which requests are counted.
    pub window: Duration,
    /// Fraction by which a quota may be exceeded.
    pub excess: f64,
    /// Requests of a window in addition.
    pub slack: f64,
}

/// The parts of an account's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Tokens that come into being over all nodes, in thousandths per second.
    pub rate_milli: u64,
    /// Tokens that all nodes together can keep.
    pub capacity: u32,
    /// Tokens that come into being at a new coordinator while unreported grants of its predecessor may
    /// live, per second.
    pub takeover_per_s: f64,
}

impl Limit {
    /// Divides a quota.
    ///
    /// In any window at most `rate x window + capacity + takeover rate x (window + 2 s)` requests run,
    /// which leaves a fifth of the allowance for requests that were admitted earlier and run late.
    pub fn new(quota: Quota, bounds: Bounds) -> Self {
        let window = bounds.window.as_secs_f64();
        let regular = quota.rate_per_s * window + quota.burst;
        let allowance = regular * bounds.excess + bounds.slack;
        let takeover = TAKEOVER_SHARE * allowance / (window + TAKEOVER_KEPT.as_secs_f64());
        Self {
            rate_milli: (quota.rate_per_s * 1e3) as u64,
            // Without any room for a token, no request could ever be admitted.
            capacity: ((quota.burst + CAPACITY_SHARE * allowance) as u32).max(1),
            takeover_per_s: takeover.min(quota.rate_per_s),
        }
    }

    /// The demand at one node from which it is granted a rate, in thousandths per second. Less demand than
    /// this may be seen after a few requests at once.
    pub(crate) fn high_demand_milli(&self) -> u64 {
        (self.rate_milli * 3 / 10).min(MAX_HIGH_DEMAND_MILLI)
    }

    /// Whether some nodes ask the one deputy first and some the other; otherwise all ask the same one first.
    pub fn has_two_deputies(&self) -> bool {
        self.rate_milli >= TWO_DEPUTIES_MILLI
    }

    /// The most requests that can be admitted in a window.
    pub fn bound(&self, window: Duration) -> f64 {
        let window_s = window.as_secs_f64();
        self.rate_milli as f64 / 1e3 * window_s
            + f64::from(self.capacity)
            + self.takeover_per_s * (window_s + TAKEOVER_KEPT.as_secs_f64())
    }

    /// Tokens that a new coordinator can keep while unreported grants of its predecessor may live.
    pub(crate) fn takeover_capacity(&self) -> f64 {
        self.takeover_per_s
    }
}
