//! The measurements of the run, and the guarantees that it violated.

use super::{
    deployment::Executions,
    moves::{BAD_MOVE, GOOD_MOVE, MoveOutcomes, NEW_VERSION},
};
use fulmarreel_testing::load::{Outcome, Record, Report};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The largest share of the bookings that may run at the bad version, in percent.
const MAX_BAD_PERCENT: f64 = 5.0;

/// Number of calls that are named for each kind of failure.
const FAILURES_SHOWN: usize = 4;

/// Measurements other than those of calls.
#[derive(Debug)]
pub struct Observed {
    /// The longest time until a change was active on every node.
    pub convergence: Duration,
    /// How long the restart of a node took, if the node left gracefully.
    pub restart: anyhow::Result<Duration>,
}

impl Default for Observed {
    fn default() -> Self {
        Self {
            convergence: Duration::ZERO,
            restart: Err(anyhow::anyhow!("not run")),
        }
    }
}

/// The measurements of the run.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// Number of calls that were sent.
    calls: usize,
    /// Calls that failed, except those that the bad version answered with an error.
    failed: usize,
    /// Answers that were incomplete or belonged to another call.
    wrong_answers: usize,
    /// Bookings that ran more than once.
    booked_twice: usize,
    /// Bookings that were answered, but did not run.
    bookings_lost: usize,
    /// Bookings that were reported as not run, but did run.
    ran_though_refused: usize,
    /// Outcome of the move to the good version.
    good_move: String,
    /// Outcome of the move to the bad version.
    bad_move: String,
    /// Bookings that ran at the bad version.
    bad_version_calls: u64,
    /// Number of bookings that were sent.
    bookings: usize,
    /// The longest time until a change was active on every node.
    convergence_ms: f64,
    /// Time from the signal to leave until the node was ready again.
    restart_ms: Option<f64>,
}

impl Verdict {
    pub fn new(
        bookings: &Report,
        lookups: &Report,
        executions: &Executions,
        outcomes: &MoveOutcomes,
        observed: &Observed,
    ) -> Self {
        let all = || bookings.records.iter().chain(&lookups.records);
        let ran = |call: &&Record| executions.bookings.contains_key(&call.name);
        let answered = bookings.with_outcome(Outcome::Answered);
        let refused = bookings.with_outcome(Outcome::NotRun);
        let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
        Self {
            calls: all().count(),
            failed: all().filter(|call| failed(call)).count(),
            wrong_answers: bookings.count(Outcome::Wrong) + lookups.count(Outcome::Wrong),
            booked_twice: executions
                .bookings
                .values()
                .filter(|runs| **runs > 1)
                .count(),
            bookings_lost: answered.filter(|call| !ran(call)).count(),
            ran_though_refused: refused.filter(ran).count(),
            good_move: outcomes.outcome(GOOD_MOVE.service),
            bad_move: outcomes.outcome(BAD_MOVE.service),
            bad_version_calls: executions.by_bad_version,
            bookings: bookings.records.len(),
            convergence_ms: millis(observed.convergence),
            restart_ms: observed.restart.as_ref().ok().map(|took| millis(*took)),
        }
    }

    /// Describes each guarantee that the run violated.
    pub fn violations(&self) -> BTreeSet<String> {
        let bad_percent = self.bad_version_calls as f64 / self.bookings.max(1) as f64 * 100.0;
        let checks = [
            (self.failed == 0, format!("{} calls failed", self.failed)),
            (
                self.wrong_answers == 0,
                format!("{} wrong answers", self.wrong_answers),
            ),
            (
                self.booked_twice == 0,
                format!("{} bookings ran twice", self.booked_twice),
            ),
            (
                self.bookings_lost == 0,
                format!("{} answered bookings did not run", self.bookings_lost),
            ),
            (
                self.ran_though_refused == 0,
                format!("{} bookings ran though refused", self.ran_though_refused),
            ),
            (
                self.good_move == "completed",
                format!("the good move: {}", self.good_move),
            ),
            (
                self.bad_move == "taken-back",
                format!("the bad move: {}", self.bad_move),
            ),
            (
                bad_percent <= MAX_BAD_PERCENT,
                format!("{bad_percent:.1} % of bookings ran at the bad version"),
            ),
            (
                self.restart_ms.is_some(),
                "the node did not leave in order".to_owned(),
            ),
        ];
        let violated = checks.into_iter().filter(|(holds, _)| !holds);
        violated.map(|(_, violation)| violation).collect()
    }
}

/// One line for each kind of failure: the number of calls and the names of the first ones. The number in
/// a name tells when the call was sent.
pub fn failures(reports: [&Report; 2]) -> Vec<String> {
    let mut kinds: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    let calls = reports.iter().flat_map(|report| &report.records);
    for call in calls.filter(|call| failed(call)) {
        let kind = format!("{:?} {} {}", call.outcome, call.status, call.detail);
        kinds.entry(kind).or_default().push(&call.name);
    }
    let lines = kinds.into_iter().map(|(kind, names)| {
        let first = &names[..names.len().min(FAILURES_SHOWN)];
        format!("failed: {} x {kind}: {first:?}", names.len())
    });
    lines.collect()
}

/// Whether a call failed, other than by an error answer of the bad version. Wrong answers are counted
/// separately.
fn failed(call: &Record) -> bool {
    let by_bad_version = call.version == NEW_VERSION && call.name.starts_with(BAD_MOVE.service);
    match call.outcome {
        Outcome::Answered => call.status >= 400 && !by_bad_version,
        Outcome::Wrong => false,
        Outcome::NotRun | Outcome::Unknown | Outcome::Failed => true,
    }
}
