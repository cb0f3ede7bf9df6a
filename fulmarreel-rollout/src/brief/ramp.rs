//! The owner's decisions: how far the reports allow the share to rise.

use super::{
    CountsByRoute, SHARE_SCHEDULE, due_step, ended_calls_to_new,
    grant::{FULL_PERMILLE, Grant},
    sent_calls, sent_calls_to_new, step_at_or_below, step_permille,
    verdict::is_doubtful,
};
use std::time::{Duration, Instant};

/// The step at which a rollout begins.
const FIRST_STEP: usize = 1;

/// Least time at a step, counted from when most nodes follow it.
const MIN_DWELL: Duration = Duration::from_millis(400);

/// Time at a step after which it need not have received `MIN_STEP_CALLS`.
const SPARSE_DWELL: Duration = Duration::from_millis(600);

/// Calls to the new version that must end during a step before the next one, unless `SPARSE_DWELL`
/// has passed.
const MIN_STEP_CALLS: u32 = 5;

/// Calls to the new version that must end during the step that proves it, beyond as many as had
/// been sent before that step.
const MIN_PROVING_CALLS: u32 = 12;

/// How long all calls go to the new version before the rollout is complete, so that calls to the
/// old version can end.
const FULL_DWELL: Duration = Duration::from_millis(1_200);

/// How long an owner announces a share that most nodes do not follow before it resigns.
const MAX_UNFOLLOWED: Duration = Duration::from_millis(2_500);

/// Share at which a version counts as proven once its step ends well, in permille; a fault that
/// shows only later is beyond what the ramp can prevent.
const PROVEN_PERMILLE: u16 = 600;

/// Fraction of the calls expected until the deadline that an unproven version may get.
const UNPROVEN_FRACTION: f64 = 0.09;

/// Calls that an unproven version may get in addition to `UNPROVEN_FRACTION`.
const UNPROVEN_EXTRA_CALLS: f64 = 30.0;

/// Time from the start of a fault until calls no longer reach the version; the next step's calls
/// during that time must fit the budget.
const REACTION_TIME: Duration = Duration::from_millis(300);

/// Time until the next decision; the present step's calls during that time must fit the budget.
const DECISION_TIME: Duration = Duration::from_millis(100);

/// Least time over which the rate of calls is computed.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(500);

/// What the owner knows of the nodes.
#[derive(Debug, Clone, Copy)]
pub struct FleetStatus<'a> {
    /// Call results of both versions that the nodes have reported.
    pub evidence: &'a CountsByRoute,
    /// The recent part of that evidence.
    pub recent: &'a CountsByRoute,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Nodes whose last report is recent.
    pub reachable: usize,
    /// Nodes whose last report says that they follow the owner's present share.
    pub following: usize,
    /// The largest share at which any node knows the new version to have been found good, in
    /// permille.
    pub proven_permille: u16,
    /// Whether the owner's lease holds.
    pub is_leased: bool,
}

/// The owner's decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Sends the grant to every node.
    Announce(Grant),
    /// Sends no grant, so that the nodes lower their shares: too few nodes are reachable.
    Withhold,
    /// Gives up ownership so that another node, which may be better connected, takes over.
    Resign,
    /// Completes the rollout: the new version has all calls.
    Complete,
}

/// The schedule of a rollout's share, as its owner runs it.
#[derive(Debug)]
pub struct Ramp {
    owner_revision: u64,
    last_sequence: u32,
    start: Instant,
    deadline: Instant,
    step: usize,
    /// Highest step at which the new version has been found good; 0 before the first.
    proven_step: usize,
    dwell: Option<Dwell>,
    /// When this node resigns unless most nodes follow its grant by then; set while they do not.
    resign_at: Option<Instant>,
}

/// The present step since most nodes began to follow it.
#[derive(Debug, Clone, Copy)]
struct Dwell {
    min_until: Instant,
    sparse_until: Instant,
    full_until: Instant,
    /// Calls to the new version that had ended when the step began.
    ended_before: u32,
    /// Calls to the new version that had been sent when the step began.
    sent_before: u32,
}

impl Ramp {
    /// Starts the ramp of the owner with this store revision, for a rollout from `start` to
    /// `deadline`.
    pub fn new(owner_revision: u64, start: Instant, deadline: Instant) -> Self {
        Self {
            owner_revision,
            last_sequence: 0,
            start,
            deadline,
            step: FIRST_STEP,
            proven_step: 0,
            dwell: None,
            resign_at: None,
        }
    }

    /// Store revision at which this node became the owner.
    pub fn owner_revision(&self) -> u64 {
        self.owner_revision
    }

    /// The share of the present step, in permille.
    pub fn permille(&self) -> u16 {
        step_permille(self.step)
    }

    /// Decides what the owner does next.
    pub fn decide(&mut self, fleet: FleetStatus<'_>, now: Instant) -> Decision {
        self.proven_step = self
            .proven_step
            .max(step_at_or_below(fleet.proven_permille));
        let is_most = |count: usize| count * 2 >= fleet.nodes;
        if is_most(fleet.following) {
            self.resign_at = None;
        } else if now >= *self.resign_at.get_or_insert(now + MAX_UNFOLLOWED) && fleet.is_leased {
            return Decision::Resign;
        }
        if !is_most(fleet.reachable) {
            self.step = self.step.min(self.proven_step).max(FIRST_STEP);
            self.dwell = None;
            return Decision::Withhold;
        }
        if !is_most(fleet.following) {
            self.dwell = None;
        } else if self.dwell.is_none() {
            self.dwell = Some(Dwell::new(fleet.evidence, now));
        }
        if fleet.is_leased {
            if self.is_complete(now) && !is_doubtful(fleet.recent) {
                return Decision::Complete;
            }
            self.raise(fleet, now);
        }
        self.enforce_budget(fleet.evidence, now);
        self.announce()
    }

    fn is_complete(&self, now: Instant) -> bool {
        let is_full = self.permille() == FULL_PERMILLE;
        let has_dwelt = self.dwell.is_some_and(|dwell| now >= dwell.full_until);
        is_full && has_dwelt && self.due_step(now).is_none()
    }

    /// Goes to the next step if it is due and the present one ended well, or back up to a step that
    /// ended well before.
    fn raise(&mut self, fleet: FleetStatus<'_>, now: Instant) {
        let due_step = self.due_step(now).unwrap_or(SHARE_SCHEDULE.len());
        if self.step < due_step.min(self.proven_step) {
            self.set_step(due_step.min(self.proven_step));
        }
        if is_doubtful(fleet.recent) {
            return;
        }
        let ended_calls = ended_calls_to_new(fleet.evidence);
        let is_proving_step = step_permille(self.step) >= PROVEN_PERMILLE;
        let is_over = |dwell: Dwell| {
            dwell.is_over(ended_calls, now)
                && (!is_proving_step || dwell.earlier_calls_ended(ended_calls))
        };
        if self.dwell.is_some_and(is_over) {
            self.proven_step = self.proven_step.max(self.step);
            let next = self.step + 1;
            if next <= due_step && self.fits_budget(next, REACTION_TIME, fleet.evidence, now) {
                self.set_step(next);
            }
        }
    }

    /// Goes down as many steps as it takes for an unproven version to stay within its budget of
    /// calls until the next decision.
    fn enforce_budget(&mut self, evidence: &CountsByRoute, now: Instant) {
        while self.step > 0 && !self.fits_budget(self.step, DECISION_TIME, evidence, now) {
            self.set_step(self.step - 1);
        }
    }

    /// Whether the calls that a step sends to the new version during `period` fit the budget of an
    /// unproven version.
    fn fits_budget(
        &self,
        step: usize,
        period: Duration,
        evidence: &CountsByRoute,
        now: Instant,
    ) -> bool {
        if step_permille(self.proven_step) >= PROVEN_PERMILLE || now >= self.deadline {
            return true;
        }
        let elapsed = now.saturating_duration_since(self.start);
        let rate = f64::from(sent_calls(evidence)) / elapsed.max(MIN_RATE_WINDOW).as_secs_f64();
        let expected_calls = rate * (self.deadline - self.start).as_secs_f64();
        let remaining_calls = UNPROVEN_FRACTION * expected_calls + UNPROVEN_EXTRA_CALLS
            - f64::from(sent_calls_to_new(evidence));
        let share = f64::from(step_permille(step)) / f64::from(FULL_PERMILLE);
        rate * period.as_secs_f64() * share <= remaining_calls
    }

    fn set_step(&mut self, step: usize) {
        self.step = step;
        self.dwell = None;
    }

    fn due_step(&self, now: Instant) -> Option<usize> {
        let elapsed = now.saturating_duration_since(self.start);
        due_step(elapsed, self.deadline - self.start)
    }

    fn announce(&mut self) -> Decision {
        self.last_sequence += 1;
        Decision::Announce(Grant {
            owner_revision: self.owner_revision,
            sequence: self.last_sequence,
            permille: self.permille(),
            proven_permille: step_permille(self.proven_step),
        })
    }
}

impl Dwell {
    fn new(evidence: &CountsByRoute, now: Instant) -> Self {
        Self {
            min_until: now + MIN_DWELL,
            sparse_until: now + SPARSE_DWELL,
            full_until: now + FULL_DWELL,
            ended_before: ended_calls_to_new(evidence),
            sent_before: sent_calls_to_new(evidence),
        }
    }

    /// Whether as many calls have ended as were sent before the step, and `MIN_PROVING_CALLS` more.
    /// Calls that were sent earlier may still be running slowly.
    fn earlier_calls_ended(&self, ended_calls: u32) -> bool {
        ended_calls >= self.sent_before + MIN_PROVING_CALLS
    }

    /// Whether the step has lasted long enough and seen enough calls.
    fn is_over(&self, ended_calls: u32, now: Instant) -> bool {
        let enough = ended_calls >= self.ended_before + MIN_STEP_CALLS || now >= self.sparse_until;
        enough && now >= self.min_until
    }
}
