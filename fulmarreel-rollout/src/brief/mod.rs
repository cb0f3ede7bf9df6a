//! Rollouts whose deadline is seconds away: a fixed schedule of shares, and a verdict on few calls.
//!
//! The sequential tests of [`compare`](crate::compare) take minutes. A rollout of seconds keeps the
//! new version at a small share for two fifths of its time, so that a fault shows while it can harm
//! few calls, and then raises the share in quick steps. Each step bounds how many calls a fault
//! that begins at that step can harm.
//!
//! Each node has a [`Member`]. It assigns calls to the new version by the owner's [`Grant`] until
//! the grant expires, and reports the results of its calls. The owner raises the share according to
//! the reports. A few standby nodes receive the same reports, and any of them may announce that the
//! new version is bad.

mod agent;
mod grant;
mod member;
mod pool;
mod ramp;
mod verdict;

pub use agent::{Agent, Call, End, ReceivedGrant};
pub use grant::Grant;
pub use member::{Member, Message, OutgoingMessage, Recipient, RolloutContext, StoreAction};
pub use pool::{Report, ReportPool};
pub use verdict::verdict;

use grant::FULL_PERMILLE;
use ramp::{Decision, Ramp};
use std::{collections::HashMap, time::Duration};

/// The schedule of shares: the fraction of the rollout's usable time at which each step begins, and
/// the step's share of calls in permille.
const SHARE_SCHEDULE: [(f64, u16); 6] = [
    (0.0, 50),
    (0.40, 120),
    (0.48, 300),
    (0.56, 600),
    (0.64, 850),
    (0.70, FULL_PERMILLE),
];

/// The fraction of the rollout's usable time after which the rollout is complete.
const COMPLETION_FRACTION: f64 = 0.92;

/// Part of the time limit kept for the order to reach the owner and for the outcome to be written.
const OUTCOME_RESERVE: Duration = Duration::from_millis(1_500);

/// Call results of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that ended at a target.
    pub calls: u32,
    /// Ended calls that failed.
    pub failed: u32,
    /// Ended calls that were answered far later than usual, or whose end is unknown after as long a
    /// wait.
    pub slow: u32,
    /// Calls that were sent to a target and have not ended; not included in `calls`.
    pub open: u32,
    /// Open calls that have taken longer than nearly all calls do.
    pub overdue: u32,
    /// Calls that were sent to a target and whose end is unknown; not included in `calls`.
    pub lost: u32,
}

/// Call results of both versions on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// The version that traffic moves away from.
    pub old: Counts,
    /// The version that traffic moves to.
    pub new: Counts,
}

/// Call results of a rollout, by the hash of the route's name.
pub type CountsByRoute = HashMap<u64, VersionCounts>;

/// What is due for a rollout at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScheduledAction {
    /// This fraction of the calls goes to the new version.
    Share(f64),
    /// All calls go to the new version, and those to the old one have ended.
    Complete,
    /// The new version is bad by these counts.
    RollBack(Counts),
}

impl Counts {
    /// Adds the other counts to these. Other nodes send counts, so a sum may exceed the range.
    pub fn add(&mut self, other: Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
        self.open = self.open.saturating_add(other.open);
        self.overdue = self.overdue.saturating_add(other.overdue);
        self.lost = self.lost.saturating_add(other.lost);
    }

    /// Calls that were sent to a target, ended or not.
    fn sent(self) -> u32 {
        let ended = self.calls.saturating_add(self.lost);
        ended.saturating_add(self.open)
    }

    /// Calls that failed, were slow or are overdue.
    fn suspect_calls(self) -> u32 {
        let ended = self.failed.saturating_add(self.slow);
        ended.saturating_add(self.overdue)
    }

    /// The fraction of the ended and overdue calls that failed, were slow or are overdue.
    fn suspect_fraction(self) -> f64 {
        f64::from(self.suspect_calls()) / f64::from(self.calls.saturating_add(self.overdue).max(1))
    }

    /// The counts since an earlier snapshot.
    fn since(self, earlier: Self) -> Self {
        Self {
            calls: self.calls.saturating_sub(earlier.calls),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
            lost: self.lost.saturating_sub(earlier.lost),
            // Gauges, not counters: they have no difference.
            open: self.open,
            overdue: self.overdue,
        }
    }

    /// `count` as a fraction of the ended calls.
    fn fraction(self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.calls.max(1))
    }
}

impl VersionCounts {
    /// The counts since an earlier snapshot.
    fn since(self, earlier: Self) -> Self {
        Self {
            old: self.old.since(earlier.old),
            new: self.new.since(earlier.new),
        }
    }
}

/// Ended calls to both versions.
fn ended_calls(evidence: &CountsByRoute) -> u32 {
    let pairs = evidence.values();
    pairs.map(|pair| pair.old.calls + pair.new.calls).sum()
}

/// Calls sent to both versions.
fn sent_calls(evidence: &CountsByRoute) -> u32 {
    let pairs = evidence.values();
    pairs.map(|pair| pair.old.sent() + pair.new.sent()).sum()
}

/// Calls sent to the new version.
fn sent_calls_to_new(evidence: &CountsByRoute) -> u32 {
    evidence.values().map(|pair| pair.new.sent()).sum()
}

/// Ended calls to the new version.
fn ended_calls_to_new(evidence: &CountsByRoute) -> u32 {
    evidence.values().map(|pair| pair.new.calls).sum()
}

/// What is due for a rollout after `elapsed` of its `limit`.
pub fn scheduled_action(
    evidence: &CountsByRoute,
    elapsed: Duration,
    limit: Duration,
) -> ScheduledAction {
    if let Some(counts) = verdict(evidence) {
        return ScheduledAction::RollBack(counts);
    }
    match due_step(elapsed, limit) {
        None => ScheduledAction::Complete,
        Some(step) => {
            ScheduledAction::Share(f64::from(step_permille(step)) / f64::from(FULL_PERMILLE))
        }
    }
}

/// The number of the step that is due after `elapsed` of a rollout's `limit`, or `None` once the
/// rollout is due to be complete.
fn due_step(elapsed: Duration, limit: Duration) -> Option<usize> {
    let usable = limit.saturating_sub(OUTCOME_RESERVE).max(limit / 2);
    let fraction = elapsed.as_secs_f64() / usable.as_secs_f64().max(0.001);
    let is_due = |(from, _): &&(f64, u16)| fraction >= *from;
    (fraction < COMPLETION_FRACTION).then(|| SHARE_SCHEDULE.iter().take_while(is_due).count())
}

/// A step's share in permille; step 0 sends no calls to the new version.
fn step_permille(step: usize) -> u16 {
    let index = step.checked_sub(1);
    index.map_or(0, |index| SHARE_SCHEDULE[index].1)
}

/// The last step whose share does not exceed `permille`.
fn step_at_or_below(permille: u16) -> usize {
    let steps = 0..=SHARE_SCHEDULE.len();
    steps
        .rev()
        .find(|step| step_permille(*step) <= permille)
        .unwrap_or(0)
}

/// The share of the step below, in permille.
fn next_lower_permille(permille: u16) -> u16 {
    step_permille(step_at_or_below(permille.saturating_sub(1)))
}
