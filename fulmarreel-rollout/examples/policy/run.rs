//! One run of one case.

use crate::{
    case::{Case, START_MS, Verdict},
    conditions::{Conditions, conditions, fault_shows},
    driver::{Driver, Published, Tick},
    fleet::{ActiveStep, Fleet},
};
use fastrand::Rng;
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{Evidence, evidence::VersionTallies, state::Phase};
use std::collections::VecDeque;

/// Seconds that a run continues after the deadline and the soak.
const TIME_AFTER_SOAK_S: u64 = 300;

/// Seconds between two samples of a report's size.
const SAMPLE_INTERVAL_S: u64 = 20;

/// The result of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Record {
    /// Whether all traffic had moved by the deadline.
    pub on_time: bool,
    /// Whether the version was rolled back.
    pub taken_back: bool,
    /// Calls that failed or were slow because of the fault.
    pub harmed: u64,
    /// The new version's largest share of calls while its fault harmed calls.
    pub peak_share: f64,
    /// Seconds from the first harmed call to the verdict.
    pub to_verdict: Option<u64>,
    /// Second at which all traffic had moved.
    pub moved_at: Option<u64>,
    /// Mean size of one node's report in bytes.
    pub report_bytes: f64,
}

/// Items that were published or sent and have not arrived yet, with their arrival times.
struct Delayed<T>(VecDeque<(u64, T)>);

impl<T> Delayed<T> {
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
    let mut fleet = Fleet::new(case, D::USES_GUARDS);
    let mut reports = Delayed(VecDeque::new());
    let mut steps = Delayed(VecDeque::new());
    let mut active = Published {
        share: 0.0,
        phase: Phase::Waiting,
    };
    let mut cached: Option<(ConditionsKey, Vec<Conditions>)> = None;
    let (mut record, mut report_size, mut evidence_until, mut harm_began_at) =
        (Record::default(), MeanSize::default(), 0, None);
    for second in 0..case.seconds_to_hour + case.soak_seconds + TIME_AFTER_SOAK_S {
        while let Some((_, published)) = steps.arrived(second) {
            active = published;
        }
        let key = conditions_key(case, second, active.share);
        if cached.as_ref().is_none_or(|(cached, _)| *cached != key) {
            let mut current = conditions(case, second, active.share);
            if !D::USES_LATENCY {
                current.iter_mut().for_each(Conditions::ignore_latency);
            }
            cached = Some((key.clone(), current));
        }
        let now = Timestamp(START_MS + second * 1_000);
        let current = cached
            .as_ref()
            .map_or(&[][..], |(_, conditions)| conditions);
        let result = fleet.second(
            rng,
            current,
            ActiveStep {
                share: active.share,
                phase: active.phase,
                disturbed: key.fault_is_active || key.disturbed.contains(&true),
                now,
            },
        );
        record.harmed += result.harmed;
        if result.harmed > 0 {
            harm_began_at = harm_began_at.or(Some(second));
            let share = result.new_calls as f64 / result.calls.max(1) as f64;
            record.peak_share = record.peak_share.max(share.min(active.share));
        }
        if active.share == 1.0 {
            record.moved_at = record.moved_at.or(Some(second));
        }
        if active.phase == Phase::TakenBack || active.phase == Phase::Completed {
            break;
        }
        if second % SAMPLE_INTERVAL_S == 0 {
            report_size.add(D::report_bytes(&sample_report(
                rng,
                case,
                current,
                active.share,
            )));
        }
        let end = second + 1;
        reports
            .0
            .push_back((end + case.evidence.delay_seconds, result.evidence));
        let mut evidence = Vec::new();
        while let Some((due, report)) = reports.arrived(end) {
            evidence_until = due - case.evidence.delay_seconds;
            evidence.push(report);
        }
        let published = driver.decide(&Tick {
            second: end,
            evidence: &evidence,
            evidence_until,
            store_reachable: !store_is_down(case, end),
        });
        if published.phase == Phase::TakenBack && !record.taken_back {
            record.taken_back = true;
            record.to_verdict = harm_began_at.map(|began| end - began);
        }
        steps
            .0
            .push_back((end - 1 + case.spread_seconds.max(1), published));
    }
    record.on_time = record.moved_at.is_some_and(|at| at <= case.seconds_to_hour);
    record.report_bytes = report_size.mean();
    if case.expected_verdict() == Verdict::Good {
        record.peak_share = 0.0;
    }
    record
}

/// The inputs on which the conditions depend.
#[derive(Debug, Clone, PartialEq)]
struct ConditionsKey {
    fault_is_active: bool,
    disturbed: Vec<bool>,
}

fn conditions_key(case: &Case, second: u64, share: f64) -> ConditionsKey {
    let disturbances = case.disturbances.iter();
    ConditionsKey {
        fault_is_active: fault_shows(case, second, share),
        disturbed: disturbances
            .map(|one| second >= one.from_seconds && second < one.from_seconds + one.seconds)
            .collect(),
    }
}

fn store_is_down(case: &Case, second: u64) -> bool {
    let mut outages = case.store_outages.iter();
    outages.any(|span| second >= span.from_seconds && second < span.from_seconds + span.seconds)
}

/// Draws the report of one node on one second.
fn sample_report(rng: &mut Rng, case: &Case, conditions: &[Conditions], share: f64) -> Evidence {
    let mut report = Evidence {
        reports: 1,
        ..Evidence::default()
    };
    for (route, conditions) in conditions.iter().enumerate() {
        let mut own = conditions.clone();
        own.calls /= f64::from(case.nodes);
        let (old, new) = own.split(rng, share);
        if old + new > 0 {
            let (old, new) = (own.draw_old(rng, old), own.draw_new(rng, new).tally);
            report
                .routes
                .insert(route as u16, VersionTallies::report(7, old, new));
        }
    }
    report
}

#[derive(Default)]
struct MeanSize {
    sum: f64,
    count: f64,
}

impl MeanSize {
    fn add(&mut self, bytes: usize) {
        self.sum += bytes as f64;
        self.count += 1.0;
    }

    fn mean(&self) -> f64 {
        self.sum / self.count.max(1.0)
    }
}
