//! One second of a fleet's calls, and what its nodes report of them.

use crate::{
    case::{Case, Misleading, Report},
    conditions::{Conditions, Made},
    guards::{Guards, SAMPLE},
    random::binomial,
};
use fastrand::Rng;
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{
    Evidence,
    evidence::{BUCKETS, Pair, Tally, TopReporter},
    state::Phase,
};

/// Calls to the new version on one route in one second that are drawn one by one.
const MAX_SINGLE: u64 = 30;

/// The same while guards matter.
const MAX_SINGLE_GUARDED: u64 = 2_000;

/// What really happened in one second.
#[derive(Debug, Default)]
pub struct Second {
    /// What the nodes report.
    pub evidence: Evidence,
    /// Calls that the new version's fault failed or slowed.
    pub harmed: u64,
    /// Calls to the new version.
    pub new_calls: u64,
    /// All calls.
    pub calls: u64,
}

/// The nodes of a case.
pub struct Fleet<'a> {
    case: &'a Case,
    guards: Option<Guards>,
}

/// What is active during one second.
#[derive(Debug, Clone, Copy)]
pub struct Force {
    /// Share of the new version.
    pub share: f64,
    /// Phase of the move.
    pub phase: Phase,
    /// Whether the new version's fault or another one shows.
    pub disturbed: bool,
    /// The time.
    pub now: Timestamp,
}

impl<'a> Fleet<'a> {
    /// The nodes of a case, with guards or without.
    pub fn new(case: &'a Case, guarded: bool) -> Self {
        Self {
            case,
            guards: guarded.then(|| Guards::new(case.nodes, case.idempotent)),
        }
    }

    /// Runs one second.
    pub fn second(&mut self, rng: &mut Rng, conditions: &[Conditions], force: Force) -> Second {
        let mut second = Second::default();
        second.evidence.reports = binomial(
            rng,
            u64::from(self.case.nodes),
            1.0 - self.case.evidence.loss,
        ) as u32;
        for (route, conditions) in conditions.iter().enumerate() {
            let (old, new) = conditions.split(rng, force.share);
            second.calls += old + new;
            let (made, mut pair) = self.new_calls(rng, new, conditions, force);
            second.new_calls += made.tally.calls;
            second.harmed += made.harmed;
            pair.old = conditions.to_old(rng, old + new - made.tally.calls);
            if force.disturbed {
                self.tell_old(rng, &pair.old, conditions, force.now);
            }
            self.report(rng, &mut pair);
            second.evidence.routes.insert(route as u16, pair);
        }
        second
    }

    fn new_calls(
        &mut self,
        rng: &mut Rng,
        calls: u64,
        conditions: &Conditions,
        force: Force,
    ) -> (Made, Pair) {
        let guards_matter = self.guards.is_some() && force.disturbed;
        let most = if guards_matter {
            MAX_SINGLE_GUARDED
        } else {
            MAX_SINGLE
        };
        if calls <= most {
            return self.single_calls(rng, calls, conditions, force);
        }
        let mut admitted = calls;
        if let Some(guards) = self.guards.as_mut().filter(|_| guards_matter) {
            let part = guards.admitted_part(rng, calls, conditions, force.phase, force.now);
            admitted = binomial(rng, calls, part);
        }
        let made = conditions.to_new(rng, admitted);
        let pair = summed(rng, self.case.nodes, &made, conditions);
        (made, pair)
    }

    /// Draws call by call, each at its own node.
    fn single_calls(
        &mut self,
        rng: &mut Rng,
        calls: u64,
        conditions: &Conditions,
        force: Force,
    ) -> (Made, Pair) {
        let mut made = Made::default();
        let mut reports: Vec<(u32, Tally)> = Vec::new();
        for _ in 0..calls {
            let node = rng.u32(0..self.case.nodes);
            if let Some(guards) = &mut self.guards
                && !guards.admit(node as usize, force.phase, force.now)
            {
                continue;
            }
            let position = f64::from(node) / f64::from(self.case.nodes);
            let one = conditions.to_new_from(rng, position);
            if let Some(guards) = &mut self.guards {
                guards.record(node as usize, one.tally.errors > 0, force.phase, force.now);
            }
            made.harmed += one.harmed.min(1);
            made.tally.merge(&one.tally);
            match reports.iter_mut().find(|(reporter, _)| *reporter == node) {
                Some((_, tally)) => tally.merge(&one.tally),
                None => reports.push((node, one.tally)),
            }
        }
        let mut pair = Pair::default();
        for (node, tally) in reports {
            pair.merge(&Pair::report(node, Tally::default(), tally));
        }
        (made, pair)
    }

    fn tell_old(&mut self, rng: &mut Rng, old: &Tally, conditions: &Conditions, now: Timestamp) {
        let small = self.case.nodes as usize <= SAMPLE;
        if let Some(guards) = self.guards.as_mut().filter(|_| small) {
            guards.record_old(rng, old.calls, conditions, now);
        }
    }

    /// Turns what happened into what the owner hears.
    fn report(&self, rng: &mut Rng, pair: &mut Pair) {
        if let Some(misleading) = &self.case.misleading {
            mislead(rng, pair, misleading, self.case.nodes);
        }
        let kept = 1.0 - self.case.evidence.loss;
        if kept < 1.0 {
            thin(rng, &mut pair.old, kept);
            thin(rng, &mut pair.new, kept);
        }
    }
}

/// The sum of many reports, with loudest reporters a little above the mean.
fn summed(rng: &mut Rng, nodes: u32, made: &Made, conditions: &Conditions) -> Pair {
    let per_node = made.tally.calls as f64 / f64::from(nodes);
    let calls = (per_node + 2.0 * per_node.sqrt()).ceil() as u64;
    let mut failing = conditions.to_new(rng, calls).tally;
    let mean = made.tally.errors as f64 / f64::from(nodes);
    let errors = (mean + 2.0 * mean.sqrt()).ceil() as u64;
    failing.errors = errors.min(calls).min(made.tally.errors);
    let slowest = conditions.to_new(rng, calls).tally;
    let loudest = |new: Tally, rng: &mut Rng| TopReporter {
        reporter: rng.u32(0..nodes),
        new,
    };
    Pair {
        new: made.tally.clone(),
        reporters: rng.u64(..) | u64::from(nodes > 1),
        failing: vec![loudest(failing, rng)],
        slowest: vec![loudest(slowest, rng)],
        ..Pair::default()
    }
}

fn mislead(rng: &mut Rng, pair: &mut Pair, misleading: &Misleading, nodes: u32) {
    for liar in 0..misleading.nodes {
        let calls = binomial(rng, pair.new.calls, 1.0 / f64::from(nodes));
        let mut tally = Tally {
            calls,
            ..Tally::default()
        };
        match misleading.report {
            Report::Failed => {
                pair.new.errors = (pair.new.errors + calls).min(pair.new.calls);
                tally.errors = calls;
            }
            Report::Slow => {
                take(&mut pair.new.latency, calls);
                pair.new.latency[BUCKETS - 1] += calls;
                tally.latency[BUCKETS - 1] = calls;
            }
            Report::Well => {
                let part = 1.0 / f64::from(nodes);
                pair.new.errors -= binomial(rng, pair.new.errors, part);
                continue;
            }
        }
        pair.merge(&loud(nodes + liar, tally));
    }
}

/// One loud reporter, without its calls.
fn loud(reporter: u32, tally: Tally) -> Pair {
    Pair {
        old: Tally::default(),
        new: Tally::default(),
        ..Pair::report(reporter, Tally::default(), tally)
    }
}

/// Takes so many calls out of the fullest buckets.
fn take(latency: &mut [u64; BUCKETS], mut calls: u64) {
    while calls > 0 {
        let Some(fullest) = latency.iter_mut().max().filter(|count| **count > 0) else {
            return;
        };
        let taken = calls.min(fullest.div_ceil(2));
        *fullest -= taken;
        calls -= taken;
    }
}

/// Loses reports at random.
fn thin(rng: &mut Rng, tally: &mut Tally, kept: f64) {
    for count in &mut tally.latency {
        *count = binomial(rng, *count, kept);
    }
    tally.calls = tally.latency.iter().sum();
    tally.errors = binomial(rng, tally.errors, kept).min(tally.calls);
}
