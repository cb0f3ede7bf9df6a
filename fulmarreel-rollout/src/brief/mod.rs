//! Moves that have seconds: a schedule of shares, and a verdict on few calls.
//!
//! The sequential tests of [`compare`](crate::compare) want minutes. A move of seconds keeps to a
//! small share for two fifths of its time, so that a fault shows while few calls can be harmed, and
//! then rises in quick steps. Each step bounds what a fault that begins there can harm.

use std::{collections::HashMap, time::Duration};

/// Steps: from which part of the move's time on which part of the calls goes to the new version.
const STEPS: [(f64, f64); 6] = [
    (0.0, 0.05),
    (0.40, 0.12),
    (0.48, 0.30),
    (0.56, 0.60),
    (0.64, 0.85),
    (0.70, 1.0),
];

/// The part of the move's time from which on the move is complete.
const COMPLETE: f64 = 0.92;

/// Time that is left of the limit for the order to reach its owner and for the outcome to be written.
const RESERVE: Duration = Duration::from_millis(1_500);

/// Failed calls to the new version without which no verdict falls.
const MIN_FAILED: u32 = 4;

/// The part of the new version's calls that fail from which on it is bad.
const FAILED_PART: f64 = 0.12;

/// Slow calls to the new version without which no verdict falls.
const MIN_SLOW: u32 = 6;

/// The part of the new version's calls that fail or are slow from which on it is bad.
const SLOW_PART: f64 = 0.30;

/// How many times the old version's part of bad calls the new one's must be.
const EXCESS: f64 = 3.0;

/// How calls of one version went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that ended at a target.
    pub calls: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that were answered far later than usual.
    pub slow: u32,
}

/// Counts of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Pair {
    /// Of the version that traffic moves away from.
    pub old: Counts,
    /// Of the version that it moves to.
    pub new: Counts,
}

/// Counts of a move by route.
pub type Evidence = HashMap<u64, Pair>;

/// What a move comes to at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// This part of the calls goes to the new version.
    Share(f64),
    /// All calls do, and those to the old version have ended.
    Complete,
    /// The new version is bad.
    TakeBack(Counts),
}

impl Counts {
    /// Adds counts.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.failed += other.failed;
        self.slow += other.slow;
    }

    fn part(self, bad: u32) -> f64 {
        f64::from(bad) / f64::from(self.calls.max(1))
    }
}

/// What a move comes to after `elapsed` of its `limit`.
pub fn step(evidence: &Evidence, elapsed: Duration, limit: Duration) -> Step {
    if let Some(counts) = verdict(evidence) {
        return Step::TakeBack(counts);
    }
    let usable = limit.saturating_sub(RESERVE).max(limit / 2);
    let part = elapsed.as_secs_f64() / usable.as_secs_f64().max(0.001);
    if part >= COMPLETE {
        return Step::Complete;
    }
    let due = STEPS.iter().rev().find(|(from, _)| part >= *from);
    Step::Share(due.map_or(0.0, |(_, share)| *share))
}

/// The counts on which the new version is bad, over all routes or on one of them.
pub fn verdict(evidence: &Evidence) -> Option<Counts> {
    let mut total = Pair::default();
    for pair in evidence.values() {
        total.old.add(pair.old);
        total.new.add(pair.new);
    }
    let routes = evidence.values().copied();
    routes.chain([total]).find(is_bad).map(|pair| pair.new)
}

fn is_bad(pair: &Pair) -> bool {
    let Pair { old, new } = *pair;
    let failed = new.part(new.failed);
    let fails = new.failed >= MIN_FAILED
        && failed >= FAILED_PART
        && failed >= EXCESS * old.part(old.failed);
    let bad = new.failed + new.slow;
    let late = new.part(bad);
    let slow =
        bad >= MIN_SLOW && late >= SLOW_PART && late >= EXCESS * old.part(old.failed + old.slow);
    fails || slow
}
