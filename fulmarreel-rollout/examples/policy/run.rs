//! One run of one case.

use crate::{
    case::{Case, START_MS, Verdict},
    conditions::{Conditions, conditions, fault_shows},
    driver::{Driver, Published, Tick},
    fleet::{Fleet, Force},
};
use fastrand::Rng;
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{Evidence, evidence::Pair, state::Phase};
use std::collections::VecDeque;

/// Seconds that a run goes on after the deadline and the soak.
const AFTER_S: u64 = 300;

/// Seconds between two samples of a report's size.
const SAMPLE_S: u64 = 20;

/// What came of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Record {
    /// All traffic had moved by the deadline.
    pub on_time: bool,
    /// The version was taken back.
    pub taken_back: bool,
    /// Calls that the fault failed or slowed.
    pub harmed: u64,
    /// The largest part of the calls at the new version while its fault showed.
    pub peak_share: f64,
    /// Seconds from the fault's first call to the verdict.
    pub to_verdict: Option<u64>,
    /// When all traffic had moved.
    pub moved_at: Option<u64>,
    /// Mean size of one node's report in bytes.
    pub report_bytes: f64,
}

/// What has been published or sent and has not yet arrived.
struct Travelling<T>(VecDeque<(u64, T)>);

impl<T> Travelling<T> {
    fn arrived(&mut self, second: u64) -> Option<(u64, T)> {
        match self.0.front() {
            Some((due, _)) if *due <= second => self.0.pop_front(),
            _ => None,
        }
    }
}

/// Runs a case once.
pub fn run<D: Driver>(case: &Case, seed: u64) -> Record {
    let rng = &mut Rng::with_seed(seed);
    let mut driver = D::new(case);
    let mut fleet = Fleet::new(case, D::GUARDED);
    let mut reports = Travelling(VecDeque::new());
    let mut steps = Travelling(VecDeque::new());
    let mut force = Published {
        share: 0.0,
        phase: Phase::Waiting,
    };
    let mut cached: Option<(Key, Vec<Conditions>)> = None;
    let (mut record, mut sizes, mut evidence_until, mut shown_at) =
        (Record::default(), Sizes::default(), 0, None);
    for second in 0..case.seconds_to_hour + case.soak_seconds + AFTER_S {
        while let Some((_, published)) = steps.arrived(second) {
            force = published;
        }
        let key = key(case, second, force.share);
        if cached.as_ref().is_none_or(|(cached, _)| *cached != key) {
            let mut current = conditions(case, second, force.share);
            if !D::LATENCY {
                current.iter_mut().for_each(Conditions::forget_latency);
            }
            cached = Some((key.clone(), current));
        }
        let now = Timestamp(START_MS + second * 1_000);
        let current = cached
            .as_ref()
            .map_or(&[][..], |(_, conditions)| conditions);
        let what = fleet.second(
            rng,
            current,
            Force {
                share: force.share,
                phase: force.phase,
                disturbed: key.shows || key.disturbed.contains(&true),
                now,
            },
        );
        record.harmed += what.harmed;
        if what.harmed > 0 {
            shown_at = shown_at.or(Some(second));
            let share = what.new_calls as f64 / what.calls.max(1) as f64;
            record.peak_share = record.peak_share.max(share.min(force.share));
        }
        if force.share == 1.0 {
            record.moved_at = record.moved_at.or(Some(second));
        }
        if force.phase == Phase::TakenBack || force.phase == Phase::Completed {
            break;
        }
        if second % SAMPLE_S == 0 {
            sizes.add(D::report_bytes(&one_report(
                rng,
                case,
                current,
                force.share,
            )));
        }
        let end = second + 1;
        reports
            .0
            .push_back((end + case.evidence.delay_seconds, what.evidence));
        let mut evidence = Vec::new();
        while let Some((due, report)) = reports.arrived(end) {
            evidence_until = due - case.evidence.delay_seconds;
            evidence.push(report);
        }
        let published = driver.decide(&Tick {
            second: end,
            evidence: &evidence,
            evidence_until,
            store: !out(case, end),
        });
        if published.phase == Phase::TakenBack && !record.taken_back {
            record.taken_back = true;
            record.to_verdict = shown_at.map(|shown| end - shown);
        }
        steps
            .0
            .push_back((end - 1 + case.spread_seconds.max(1), published));
    }
    record.on_time = record.moved_at.is_some_and(|at| at <= case.seconds_to_hour);
    record.report_bytes = sizes.mean();
    if case.right() == Verdict::Good {
        record.peak_share = 0.0;
    }
    record
}

/// What the conditions depend on.
#[derive(Debug, Clone, PartialEq)]
struct Key {
    shows: bool,
    disturbed: Vec<bool>,
}

fn key(case: &Case, second: u64, share: f64) -> Key {
    let disturbances = case.disturbances.iter();
    Key {
        shows: fault_shows(case, second, share),
        disturbed: disturbances
            .map(|one| second >= one.from_seconds && second < one.from_seconds + one.seconds)
            .collect(),
    }
}

fn out(case: &Case, second: u64) -> bool {
    let mut outages = case.store_outages.iter();
    outages.any(|span| second >= span.from_seconds && second < span.from_seconds + span.seconds)
}

/// What one node reports of one second.
fn one_report(rng: &mut Rng, case: &Case, conditions: &[Conditions], share: f64) -> Evidence {
    let mut report = Evidence {
        reports: 1,
        ..Evidence::default()
    };
    for (route, conditions) in conditions.iter().enumerate() {
        let mut own = conditions.clone();
        own.calls /= f64::from(case.nodes);
        let (old, new) = own.split(rng, share);
        if old + new > 0 {
            let (old, new) = (own.to_old(rng, old), own.to_new(rng, new).tally);
            report
                .routes
                .insert(route as u16, Pair::report(7, old, new));
        }
    }
    report
}

#[derive(Default)]
struct Sizes {
    sum: f64,
    count: f64,
}

impl Sizes {
    fn add(&mut self, bytes: usize) {
        self.sum += bytes as f64;
        self.count += 1.0;
    }

    fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }
}
