//! Moves that have seconds: a schedule of shares, and a verdict on few calls.
//!
//! The sequential tests of [`compare`](crate::compare) want minutes. A move of seconds keeps to a
//! small share for two fifths of its time, so that a fault shows while few calls can be harmed, and
//! then rises in quick steps. Each step bounds what a fault that begins there can harm.
//!
//! Each node has a [`Member`]. It deals out calls by the owner's [`Grant`] until that expires, and
//! reports what it has seen. The owner raises the share on what the nodes report; a few standbys get
//! the same reports, and any of them says when the version is bad.

mod agent;
mod grant;
mod member;
mod pool;
mod ramp;
mod verdict;

pub use agent::{Agent, Call, End, Told};
pub use grant::Grant;
pub use member::{Action, Member, Message, Parcel, Recipient, Roster};
pub use pool::{Pool, Report};
pub use verdict::verdict;

use grant::PARTS;
use ramp::{Decision, Ramp};
use std::{collections::HashMap, time::Duration};

/// Steps: from which part of the move's time on how many calls in a thousand go to the new version.
const STEPS: [(f64, u16); 6] = [
    (0.0, 50),
    (0.40, 120),
    (0.48, 300),
    (0.56, 600),
    (0.64, 850),
    (0.70, PARTS),
];

/// The part of the move's time from which on the move is complete.
const COMPLETE: f64 = 0.92;

/// Time that is left of the limit for the order to reach its owner and for the outcome to be written.
const RESERVE: Duration = Duration::from_millis(1_500);

/// How calls of one version went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that ended at a target.
    pub calls: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that were answered far later than usual, or not at all for as long.
    pub slow: u32,
    /// Further calls that were sent to a target and have not ended.
    pub open: u32,
    /// Those of the open ones that take longer than nearly all calls do.
    pub overdue: u32,
    /// Further calls that were sent to a target, and whose end is not known.
    pub lost: u32,
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
        self.open += other.open;
        self.overdue += other.overdue;
        self.lost += other.lost;
    }

    /// Calls that were sent to a target.
    fn sent(self) -> u32 {
        self.calls + self.open + self.lost
    }

    /// Calls that went wrong, or seem to.
    fn suspect(self) -> u32 {
        self.failed + self.slow + self.overdue
    }

    /// The part of the calls that went wrong, or seem to, of those of which something is known.
    fn suspect_part(self) -> f64 {
        f64::from(self.suspect()) / f64::from((self.calls + self.overdue).max(1))
    }

    /// What came after earlier counts.
    fn since(self, earlier: Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            lost: self.lost.saturating_sub(earlier.lost),
            // Of these there is only a now.
            open: self.open,
            overdue: self.overdue,
        }
    }

    fn part(self, bad: u32) -> f64 {
        f64::from(bad) / f64::from(self.calls.max(1))
    }
}

impl Pair {
    /// What came after earlier counts.
    fn since(self, earlier: Self) -> Self {
        Self {
            old: self.old.since(earlier.old),
            new: self.new.since(earlier.new),
        }
    }
}

/// All calls.
fn calls(evidence: &Evidence) -> u32 {
    let pairs = evidence.values();
    pairs.map(|pair| pair.old.calls + pair.new.calls).sum()
}

/// Calls that were sent.
fn sent(evidence: &Evidence) -> u32 {
    let pairs = evidence.values();
    pairs.map(|pair| pair.old.sent() + pair.new.sent()).sum()
}

/// Calls that were sent to the new version.
fn sent_to_new(evidence: &Evidence) -> u32 {
    evidence.values().map(|pair| pair.new.sent()).sum()
}

/// Calls to the new version that ended.
fn calls_to_new(evidence: &Evidence) -> u32 {
    evidence.values().map(|pair| pair.new.calls).sum()
}

/// What a move comes to after `elapsed` of its `limit`.
pub fn step(evidence: &Evidence, elapsed: Duration, limit: Duration) -> Step {
    if let Some(counts) = verdict(evidence) {
        return Step::TakeBack(counts);
    }
    match due(elapsed, limit) {
        None => Step::Complete,
        Some(step) => Step::Share(f64::from(permille(step)) / f64::from(PARTS)),
    }
}

/// The step that is due after `elapsed` of a move's `limit`; none where the move is to be complete.
fn due(elapsed: Duration, limit: Duration) -> Option<usize> {
    let usable = limit.saturating_sub(RESERVE).max(limit / 2);
    let part = elapsed.as_secs_f64() / usable.as_secs_f64().max(0.001);
    let is_due = |(from, _): &&(f64, u16)| part >= *from;
    (part < COMPLETE).then(|| STEPS.iter().take_while(is_due).count())
}

/// A step's share, in calls in a thousand; step 0 is none.
fn permille(step: usize) -> u16 {
    let index = step.checked_sub(1);
    index.map_or(0, |index| STEPS[index].1)
}

/// The last step whose share is not above one, in calls in a thousand.
fn step_of(share: u16) -> usize {
    let steps = 0..=STEPS.len();
    steps
        .rev()
        .find(|step| permille(*step) <= share)
        .unwrap_or(0)
}

/// The next smaller share, in calls in a thousand.
fn lower(share: u16) -> u16 {
    permille(step_of(share.saturating_sub(1)))
}
