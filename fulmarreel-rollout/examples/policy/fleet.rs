//! One second of a fleet's calls, and what the nodes report on them.

use crate::{
    case::{Case, Misleading, Report},
    conditions::{CallResults, Conditions},
    guards::{Guards, SAMPLED_NODES},
    random::binomial,
};
use fastrand::Rng;
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{
    Evidence,
    evidence::{BUCKETS, Tally, TopReporter, VersionTallies},
    state::Phase,
};

/// Largest number of calls to the new version on one route in one second that are drawn one by one.
const MAX_DRAWN_SINGLY: u64 = 30;

/// The same while guards may refuse calls.
const MAX_DRAWN_SINGLY_GUARDED: u64 = 2_000;

/// What actually happened in one second.
#[derive(Debug, Default)]
pub struct SecondResult {
    /// What the nodes report.
    pub evidence: Evidence,
    /// Calls that failed or were slow because of the new version's fault.
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

/// The step and the conditions that are active during one second.
#[derive(Debug, Clone, Copy)]
pub struct ActiveStep {
    /// Share of the new version.
    pub share: f64,
    /// Phase of the rollout.
    pub phase: Phase,
    /// Whether the new version's fault or another one is active.
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

    /// Simulates one second.
    pub fn second(
        &mut self,
        rng: &mut Rng,
        conditions: &[Conditions],
        active: ActiveStep,
    ) -> SecondResult {
        let mut second = SecondResult::default();
        second.evidence.reports = binomial(
            rng,
            u64::from(self.case.nodes),
            1.0 - self.case.evidence.loss,
        ) as u32;
        for (route, conditions) in conditions.iter().enumerate() {
            let (old, new) = conditions.split(rng, active.share);
            second.calls += old + new;
            let (results, mut pair) = self.new_calls(rng, new, conditions, active);
            second.new_calls += results.tally.calls;
            second.harmed += results.harmed;
            pair.old = conditions.draw_old(rng, old + new - results.tally.calls);
            if active.disturbed {
                self.record_old(rng, &pair.old, conditions, active.now);
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
        active: ActiveStep,
    ) -> (CallResults, VersionTallies) {
        let guards_matter = self.guards.is_some() && active.disturbed;
        let max_single = if guards_matter {
            MAX_DRAWN_SINGLY_GUARDED
        } else {
            MAX_DRAWN_SINGLY
        };
        if calls <= max_single {
            return self.draw_single_calls(rng, calls, conditions, active);
        }
        let mut admitted = calls;
        if let Some(guards) = self.guards.as_mut().filter(|_| guards_matter) {
            let fraction =
                guards.admitted_fraction(rng, calls, conditions, active.phase, active.now);
            admitted = binomial(rng, calls, fraction);
        }
        let results = conditions.draw_new(rng, admitted);
        let pair = aggregate(rng, self.case.nodes, &results, conditions);
        (results, pair)
    }

    /// Draws the calls one by one, each at a random node.
    fn draw_single_calls(
        &mut self,
        rng: &mut Rng,
        calls: u64,
        conditions: &Conditions,
        active: ActiveStep,
    ) -> (CallResults, VersionTallies) {
        let mut results = CallResults::default();
        let mut reports: Vec<(u32, Tally)> = Vec::new();
        for _ in 0..calls {
            let node = rng.u32(0..self.case.nodes);
            if let Some(guards) = &mut self.guards
                && !guards.admit(node as usize, active.phase, active.now)
            {
                continue;
            }
            let position = f64::from(node) / f64::from(self.case.nodes);
            let one = conditions.draw_new_from(rng, position);
            if let Some(guards) = &mut self.guards {
                guards.record(
                    node as usize,
                    one.tally.errors > 0,
                    active.phase,
                    active.now,
                );
            }
            results.harmed += one.harmed.min(1);
            results.tally.merge(&one.tally);
            match reports.iter_mut().find(|(reporter, _)| *reporter == node) {
                Some((_, tally)) => tally.merge(&one.tally),
                None => reports.push((node, one.tally)),
            }
        }
        let mut pair = VersionTallies::default();
        for (node, tally) in reports {
            pair.merge(&VersionTallies::report(node, Tally::default(), tally));
        }
        (results, pair)
    }

    fn record_old(&mut self, rng: &mut Rng, old: &Tally, conditions: &Conditions, now: Timestamp) {
        let is_small = self.case.nodes as usize <= SAMPLED_NODES;
        if let Some(guards) = self.guards.as_mut().filter(|_| is_small) {
            guards.record_old(rng, old.calls, conditions, now);
        }
    }

    /// Turns what happened into what the owner receives.
    fn report(&self, rng: &mut Rng, pair: &mut VersionTallies) {
        if let Some(misleading) = &self.case.misleading {
            mislead(rng, pair, misleading, self.case.nodes);
        }
        let kept = 1.0 - self.case.evidence.loss;
        if kept < 1.0 {
            drop_reports(rng, &mut pair.old, kept);
            drop_reports(rng, &mut pair.new, kept);
        }
    }
}

/// The sum of many reports, whose top reporters are drawn a little above the mean.
fn aggregate(
    rng: &mut Rng,
    nodes: u32,
    results: &CallResults,
    conditions: &Conditions,
) -> VersionTallies {
    let per_node = results.tally.calls as f64 / f64::from(nodes);
    let calls = (per_node + 2.0 * per_node.sqrt()).ceil() as u64;
    let mut failing = conditions.draw_new(rng, calls).tally;
    let mean = results.tally.errors as f64 / f64::from(nodes);
    let errors = (mean + 2.0 * mean.sqrt()).ceil() as u64;
    failing.errors = errors.min(calls).min(results.tally.errors);
    let slowest = conditions.draw_new(rng, calls).tally;
    let top_reporter = |new: Tally, rng: &mut Rng| TopReporter {
        reporter: rng.u32(0..nodes),
        new,
    };
    VersionTallies {
        new: results.tally.clone(),
        reporters: rng.u64(..) | u64::from(nodes > 1),
        failing: vec![top_reporter(failing, rng)],
        slowest: vec![top_reporter(slowest, rng)],
        ..VersionTallies::default()
    }
}

fn mislead(rng: &mut Rng, pair: &mut VersionTallies, misleading: &Misleading, nodes: u32) {
    for index in 0..misleading.nodes {
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
                remove_calls(&mut pair.new.latency, calls);
                pair.new.latency[BUCKETS - 1] += calls;
                tally.latency[BUCKETS - 1] = calls;
            }
            Report::Well => {
                let fraction = 1.0 / f64::from(nodes);
                pair.new.errors -= binomial(rng, pair.new.errors, fraction);
                continue;
            }
        }
        pair.merge(&top_reporter_only(nodes + index, tally));
    }
}

/// An entry for one top reporter, without adding its calls to the sum.
fn top_reporter_only(reporter: u32, tally: Tally) -> VersionTallies {
    VersionTallies {
        old: Tally::default(),
        new: Tally::default(),
        ..VersionTallies::report(reporter, Tally::default(), tally)
    }
}

/// Removes this many calls from the fullest buckets.
fn remove_calls(latency: &mut [u64; BUCKETS], mut calls: u64) {
    while calls > 0 {
        let Some(fullest) = latency.iter_mut().max().filter(|count| **count > 0) else {
            return;
        };
        let taken = calls.min(fullest.div_ceil(2));
        *fullest -= taken;
        calls -= taken;
    }
}

/// Drops reports at random.
fn drop_reports(rng: &mut Rng, tally: &mut Tally, kept: f64) {
    for count in &mut tally.latency {
        *count = binomial(rng, *count, kept);
    }
    tally.calls = tally.latency.iter().sum();
    tally.errors = binomial(rng, tally.errors, kept).min(tally.calls);
}
