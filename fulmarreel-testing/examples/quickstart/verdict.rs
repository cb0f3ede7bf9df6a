//! What the run measured, and which promises it broke.

use super::{
    deployment::Executions,
    moves::{BAD, Ends, GOOD, VERSION},
};
use fulmarreel_testing::load::{Outcome, Record, Report};
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The largest part of the bookings that a bad version may get, in percent.
const MAX_BAD_PERCENT: f64 = 5.0;

/// Calls that are named for each kind of failure.
const FAILURES_SHOWN: usize = 4;

/// What was watched beside the calls.
#[derive(Debug)]
pub struct Watched {
    /// The longest time until a change was active at every node.
    pub convergence: Duration,
    /// How long the restart of a node took, if it left in order.
    pub restarted: anyhow::Result<Duration>,
}

impl Default for Watched {
    fn default() -> Self {
        Self {
            convergence: Duration::ZERO,
            restarted: Err(anyhow::anyhow!("not run")),
        }
    }
}

/// What the run measured.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// Calls sent.
    calls: usize,
    /// Calls without a good answer, but for errors that the bad version itself answered with.
    failed: usize,
    /// Answers that were not whole, or belonged to another call.
    wrong_answers: usize,
    /// Bookings that ran more than once.
    booked_twice: usize,
    /// Bookings that were answered and did not run.
    bookings_lost: usize,
    /// Bookings said to be not run, or of unknown outcome after a refusal, that did run.
    ran_though_refused: usize,
    good_move: String,
    bad_move: String,
    /// Bookings that ran at the bad version.
    bad_version_calls: u64,
    /// Bookings sent.
    bookings: usize,
    convergence_ms: f64,
    /// Milliseconds from the signal to leave until the node was ready again.
    restart_ms: Option<f64>,
}

impl Verdict {
    pub fn new(
        bookings: &Report,
        lookups: &Report,
        executions: &Executions,
        ends: &Ends,
        watched: &Watched,
    ) -> Self {
        let all = || bookings.records.iter().chain(&lookups.records);
        let ran = |call: &&Record| executions.bookings.contains_key(&call.name);
        let answered = bookings.with(Outcome::Answered);
        let refused = bookings.with(Outcome::NotRun);
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
            good_move: ends.of(GOOD.service),
            bad_move: ends.of(BAD.service),
            bad_version_calls: executions.bad,
            bookings: bookings.records.len(),
            convergence_ms: millis(watched.convergence),
            restart_ms: watched.restarted.as_ref().ok().map(|took| millis(*took)),
        }
    }

    /// Every promise that the run broke, in words.
    pub fn broken_promises(&self) -> BTreeSet<String> {
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
        let broken = checks.into_iter().filter(|(kept, _)| !kept);
        broken.map(|(_, promise)| promise).collect()
    }
}

/// One line for each kind of failure: how often, and the first calls' names, whose numbers tell when.
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

/// Whether a call got no good answer, through no fault of the bad version.
fn failed(call: &Record) -> bool {
    let by_bad_version = call.version == VERSION && call.name.starts_with(BAD.service);
    match call.outcome {
        Outcome::Answered => call.status >= 400 && !by_bad_version,
        Outcome::Wrong => false,
        Outcome::NotRun | Outcome::Unknown | Outcome::Failed => true,
    }
}
