//! Bounds the repeats of a service to a share of its requests.
//!
//! Repeats are counted over the same sliding window as the requests that pay for them, so that a
//! short fault may use what the whole window earned, and the sum over nodes and windows stays
//! bounded. Where a target ran a request and failed, a repeat runs everything again that the request
//! calls; those repeats have a smaller share, so that a chain of services doesn't multiply them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Parts into which a window is split.
const PARTS: u32 = 20;

/// The part of a budget that is open to requests that a target may have run.
const RUN_SHARE: f64 = 0.5;

/// How much may be repeated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Repeats for each request of a window.
    pub ratio: f64,
    /// Repeats in a window beyond that.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// What became of a request at the target before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It was not run.
    Rejected,
    /// It ran and failed, or may have run.
    Run,
}

/// The repeats that a service may still make.
#[derive(Debug)]
pub struct Budget {
    options: Options,
    parts: VecDeque<Part>,
}

/// What a part of a window has seen.
#[derive(Debug)]
struct Part {
    start: Instant,
    requests: u32,
    repeats: u32,
    /// Of the repeats, those after a run.
    after_run: u32,
}

impl Budget {
    /// A budget without requests.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            parts: VecDeque::new(),
        }
    }

    /// Changes how much may be repeated; what was repeated so far still counts.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Notes a request that is no repeat.
    pub fn earn(&mut self, now: Instant) {
        self.part(now).requests += 1;
    }

    /// Takes one repeat; false where none is left.
    pub fn spend(&mut self, now: Instant, cause: Cause) -> bool {
        let window = self.options.window;
        self.part(now);
        let whole = |part: &&Part| now.saturating_duration_since(part.start) <= window;
        let requests: u32 = self.parts.iter().filter(whole).map(|p| p.requests).sum();
        let allowed = self.options.ratio * f64::from(requests) + self.options.slack;
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let after_run: u32 = self.parts.iter().map(|part| part.after_run).sum();
        let fits = |count: u32, allowed: f64| f64::from(count) + 1.0 <= allowed;
        let left = fits(repeats, allowed)
            && (cause == Cause::Rejected || fits(after_run, allowed * RUN_SHARE));
        if left {
            let part = self.part(now);
            part.repeats += 1;
            part.after_run += u32::from(cause == Cause::Run);
        }
        left
    }

    /// The part that is now; forgets those whose end is a window ago.
    fn part(&mut self, now: Instant) -> &mut Part {
        let width = self.options.window / PARTS;
        let kept = self.options.window + width;
        let old = |part: &Part| now.saturating_duration_since(part.start) >= kept;
        while self.parts.front().is_some_and(old) {
            self.parts.pop_front();
        }
        let current = self.parts.back().map(|part| part.start);
        if current.is_none_or(|start| now.saturating_duration_since(start) >= width) {
            self.parts.push_back(Part {
                start: now,
                requests: 0,
                repeats: 0,
                after_run: 0,
            });
        }
        self.parts.back_mut().expect("a part was just added")
    }
}
