//! Retry budgets: limit the retries for a service to a ratio of its requests.
//!
//! Retries are counted over the same sliding window as the requests that earn them. A short outage
//! may therefore spend what the whole window earned, and the total over all nodes and windows stays
//! bounded. If a target ran a request and failed, a retry also runs again whatever the request
//! calls downstream. These retries get a smaller share of the budget, so that a chain of services
//! does not multiply them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of buckets that a window is divided into.
const BUCKETS: u32 = 20;

/// Fraction of a budget that is available to retries of requests that a target may have run.
const MAX_AFTER_RUN_SHARE: f64 = 0.5;

/// Limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Retries allowed per request of the window.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// What happened to a request at the target that it was last sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreviousAttempt {
    /// The target did not run it.
    NotRun,
    /// The target ran it and failed, or may have run it.
    MayHaveRun,
}

/// The retry budget of one service at one node.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    buckets: VecDeque<Bucket>,
}

/// Counts of one part of the window.
#[derive(Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
    /// Retries of requests that a target may have run, included in `retries`.
    after_run: u32,
}

impl Budget {
    /// Creates a budget that has seen no requests.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            buckets: VecDeque::new(),
        }
    }

    /// Replaces the limits; earlier requests and retries still count.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Records a request that is not a retry.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn try_spend(&mut self, now: Instant, previous: PreviousAttempt) -> bool {
        let window = self.limits.window;
        self.current_bucket(now);
        let in_window = |bucket: &&Bucket| now.saturating_duration_since(bucket.start) <= window;
        let requests: u32 = self
            .buckets
            .iter()
            .filter(in_window)
            .map(|bucket| bucket.requests)
            .sum();
        let allowed = self.limits.ratio * f64::from(requests) + self.limits.slack;
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let after_run: u32 = self.buckets.iter().map(|bucket| bucket.after_run).sum();
        let fits = |count: u32, allowed: f64| f64::from(count) + 1.0 <= allowed;
        let within_budget = fits(retries, allowed)
            && (previous == PreviousAttempt::NotRun
                || fits(after_run, allowed * MAX_AFTER_RUN_SHARE));
        if within_budget {
            let bucket = self.current_bucket(now);
            bucket.retries += 1;
            bucket.after_run += u32::from(previous == PreviousAttempt::MayHaveRun);
        }
        within_budget
    }

    /// The bucket for `now`; drops buckets that have left the window.
    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let width = self.limits.window / BUCKETS;
        let max_age = self.limits.window + width;
        let expired = |bucket: &Bucket| now.saturating_duration_since(bucket.start) >= max_age;
        while self.buckets.front().is_some_and(expired) {
            self.buckets.pop_front();
        }
        let latest_start = self.buckets.back().map(|bucket| bucket.start);
        if latest_start.is_none_or(|start| now.saturating_duration_since(start) >= width) {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
                after_run: 0,
            });
        }
        self.buckets.back_mut().expect("the current bucket exists")
    }
}
