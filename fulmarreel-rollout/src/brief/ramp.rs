//! The owner's decisions: how far the share may rise on what has been reported.

use super::{
    Evidence, STEPS, calls_to_new, due,
    grant::{Grant, PARTS},
    permille, sent, sent_to_new, step_of,
    verdict::is_doubtful,
};
use std::time::{Duration, Instant};

/// The step that a move begins with.
const FIRST_STEP: usize = 1;

/// How long a step is kept after most nodes have followed it.
const MIN_STAY: Duration = Duration::from_millis(400);

/// How long a step is kept at which the new version gets few calls.
const SPARSE_STAY: Duration = Duration::from_millis(600);

/// Calls to the new version that a step waits for, unless calls are sparse.
const STEP_CALLS: u32 = 5;

/// Calls to the new version that have to end at the step that proves it, beyond those sent before.
const PROVING_CALLS: u32 = 12;

/// How long all calls go to the new version before the move is complete, so that those to the old one end.
const FULL_STAY: Duration = Duration::from_millis(1_200);

/// How long an owner tells a share that most nodes do not follow.
const MAX_UNHEARD: Duration = Duration::from_millis(2_500);

/// Share in calls in a thousand whose good end proves a version: what comes later is no ramp's fault.
const PROVEN: u16 = 600;

/// Part of the calls until the deadline that an unproven version may get.
const UNPROVEN_PART: f64 = 0.09;

/// Calls that an unproven version may get besides.
const UNPROVEN_CALLS: f64 = 30.0;

/// Time from a fault to the end of its exposure, for which there has to be room before a step.
const REACTION: Duration = Duration::from_millis(300);

/// Time until the next decision, for which there has to be room at a step.
const PATIENCE: Duration = Duration::from_millis(100);

/// Time below which a rate of calls is not known.
const MIN_RATE_TIME: Duration = Duration::from_millis(500);

/// What an owner sees of the nodes.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// What they have seen of both versions.
    pub evidence: &'a Evidence,
    /// What they have seen lately.
    pub recent: &'a Evidence,
    /// Nodes that there are.
    pub nodes: usize,
    /// Those that were heard lately.
    pub reached: usize,
    /// Those that say that they follow the owner's present share.
    pub following: usize,
    /// The largest share at which a node knows the version to have been found sound.
    pub proven: u16,
    /// Whether the owner's lease holds.
    pub is_leased: bool,
}

/// What the owner does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Tells every node the share.
    Tell(Grant),
    /// Tells nothing, so that shares fall: too few nodes are in contact.
    Wait,
    /// Leaves the move to another owner, which may be in contact.
    Resign,
    /// Ends the move: the version has all calls.
    Complete,
}

/// A move's share as its owner raises it.
#[derive(Debug)]
pub struct Ramp {
    owner: u64,
    number: u32,
    start: Instant,
    deadline: Instant,
    step: usize,
    /// Steps up to which the version has been found sound.
    proven: usize,
    stay: Option<Stay>,
    /// When this node resigns unless most nodes follow its grant before.
    resigns: Option<Instant>,
}

/// Since when most nodes follow a step.
#[derive(Debug, Clone, Copy)]
struct Stay {
    min_until: Instant,
    sparse_until: Instant,
    full_until: Instant,
    /// Calls to the new version that had ended then.
    calls: u32,
    /// Those that had been sent.
    sent: u32,
}

impl Ramp {
    /// The ramp of the owner with that revision, of a move between two times.
    pub fn new(owner: u64, start: Instant, deadline: Instant) -> Self {
        Self {
            owner,
            number: 0,
            start,
            deadline,
            step: FIRST_STEP,
            proven: 0,
            stay: None,
            resigns: None,
        }
    }

    /// The revision that made this node the owner.
    pub fn owner(&self) -> u64 {
        self.owner
    }

    /// The present share, in calls in a thousand.
    pub fn permille(&self) -> u16 {
        permille(self.step)
    }

    /// Decides on what the nodes have reported.
    pub fn decide(&mut self, fleet: Fleet<'_>, now: Instant) -> Decision {
        self.proven = self.proven.max(step_of(fleet.proven));
        let most = |count: usize| count * 2 >= fleet.nodes;
        if most(fleet.following) {
            self.resigns = None;
        } else if now >= *self.resigns.get_or_insert(now + MAX_UNHEARD) && fleet.is_leased {
            return Decision::Resign;
        }
        if !most(fleet.reached) {
            self.step = self.step.min(self.proven).max(FIRST_STEP);
            self.stay = None;
            return Decision::Wait;
        }
        if !most(fleet.following) {
            self.stay = None;
        } else if self.stay.is_none() {
            self.stay = Some(Stay::new(fleet.evidence, now));
        }
        if fleet.is_leased {
            if self.is_complete(now) && !is_doubtful(fleet.recent) {
                return Decision::Complete;
            }
            self.rise(fleet, now);
        }
        self.keep_budget(fleet.evidence, now);
        self.tell()
    }

    fn is_complete(&self, now: Instant) -> bool {
        let is_full = self.permille() == PARTS;
        let has_stayed = self.stay.is_some_and(|stay| now >= stay.full_until);
        is_full && has_stayed && self.due(now).is_none()
    }

    /// Takes the next step if it is due and the present one has been stood, or a step that has been
    /// stood before.
    fn rise(&mut self, fleet: Fleet<'_>, now: Instant) {
        let due = self.due(now).unwrap_or(STEPS.len());
        if self.step < due.min(self.proven) {
            self.go_to(due.min(self.proven));
        }
        if is_doubtful(fleet.recent) {
            return;
        }
        let calls = calls_to_new(fleet.evidence);
        let proves = permille(self.step) >= PROVEN;
        let is_stood = |stay: Stay| stay.is_stood(calls, now) && (!proves || stay.is_back(calls));
        if self.stay.is_some_and(is_stood) {
            self.proven = self.proven.max(self.step);
            let next = self.step + 1;
            if next <= due && self.has_room(next, REACTION, fleet.evidence, now) {
                self.go_to(next);
            }
        }
    }

    /// Takes steps back while the version is unproven and may get too few calls for the present one.
    fn keep_budget(&mut self, evidence: &Evidence, now: Instant) {
        while self.step > 0 && !self.has_room(self.step, PATIENCE, evidence, now) {
            self.go_to(self.step - 1);
        }
    }

    /// Whether the version may get the calls that a step sends to it in some time.
    fn has_room(&self, step: usize, time: Duration, evidence: &Evidence, now: Instant) -> bool {
        if permille(self.proven) >= PROVEN || now >= self.deadline {
            return true;
        }
        let passed = now.saturating_duration_since(self.start);
        let rate = f64::from(sent(evidence)) / passed.max(MIN_RATE_TIME).as_secs_f64();
        let whole = rate * (self.deadline - self.start).as_secs_f64();
        let room = UNPROVEN_PART * whole + UNPROVEN_CALLS - f64::from(sent_to_new(evidence));
        let share = f64::from(permille(step)) / f64::from(PARTS);
        rate * time.as_secs_f64() * share <= room
    }

    fn go_to(&mut self, step: usize) {
        self.step = step;
        self.stay = None;
    }

    fn due(&self, now: Instant) -> Option<usize> {
        let elapsed = now.saturating_duration_since(self.start);
        due(elapsed, self.deadline - self.start)
    }

    fn tell(&mut self) -> Decision {
        self.number += 1;
        Decision::Tell(Grant {
            owner: self.owner,
            number: self.number,
            permille: self.permille(),
            proven: permille(self.proven),
        })
    }
}

impl Stay {
    fn new(evidence: &Evidence, now: Instant) -> Self {
        Self {
            min_until: now + MIN_STAY,
            sparse_until: now + SPARSE_STAY,
            full_until: now + FULL_STAY,
            calls: calls_to_new(evidence),
            sent: sent_to_new(evidence),
        }
    }

    /// Whether as many calls have ended as were sent before, and some more.
    fn is_back(&self, calls: u32) -> bool {
        calls >= self.sent + PROVING_CALLS
    }

    fn is_stood(&self, calls: u32, now: Instant) -> bool {
        let enough = calls >= self.calls + STEP_CALLS || now >= self.sparse_until;
        enough && now >= self.min_until
    }
}
