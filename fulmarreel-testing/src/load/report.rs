//! What became of the calls of one run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 120_000_000;

/// What became of one call, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer to this call arrived.
    Answered,
    /// The node said that the call was not run.
    NotRun,
    /// The node said that the outcome is unknown.
    Unknown,
    /// The answer was cut, or no answer came.
    Failed,
    /// An answer arrived that is not whole or belongs to another call.
    Wrong,
}

/// One call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The call's name.
    pub name: String,
    /// What became of it.
    pub outcome: Outcome,
    /// HTTP status, 0 for none.
    pub status: u16,
    /// Version that answered.
    pub version: String,
    /// Time from when the call was due to its end, in microseconds.
    pub micros: u64,
    /// What went wrong.
    pub detail: String,
}

/// The calls of one run.
#[derive(Debug)]
pub struct Report {
    /// Every call.
    pub records: Vec<Record>,
    elapsed: Duration,
}

/// One line about a run.
#[derive(Debug, Serialize)]
struct Summary {
    calls: usize,
    seconds: f64,
    outcomes: BTreeMap<Outcome, usize>,
    statuses: BTreeMap<u16, usize>,
    versions: BTreeMap<String, usize>,
    p50_us: u64,
    p90_us: u64,
    p99_us: u64,
    max_us: u64,
}

impl Report {
    /// A report of these calls, which took that long altogether.
    pub fn new(records: Vec<Record>, elapsed: Duration) -> Self {
        Self { records, elapsed }
    }

    /// How many calls ended that way.
    pub fn count(&self, outcome: Outcome) -> usize {
        let ended = self.records.iter().filter(|call| call.outcome == outcome);
        ended.count()
    }

    /// The calls that ended that way.
    pub fn with(&self, outcome: Outcome) -> impl Iterator<Item = &Record> {
        let records = self.records.iter();
        records.filter(move |call| call.outcome == outcome)
    }

    /// One line of JSON about the run; latencies are those of answered calls.
    pub fn summary(&self) -> String {
        let latencies = self.latencies();
        let summary = Summary {
            calls: self.records.len(),
            seconds: self.elapsed.as_secs_f64(),
            outcomes: tally(self.records.iter().map(|call| call.outcome)),
            statuses: tally(self.records.iter().map(|call| call.status)),
            versions: tally(self.records.iter().map(|call| call.version.clone())),
            p50_us: latencies.value_at_quantile(0.5),
            p90_us: latencies.value_at_quantile(0.9),
            p99_us: latencies.value_at_quantile(0.99),
            max_us: latencies.max(),
        };
        serde_json::to_string(&summary).unwrap_or_default()
    }

    fn latencies(&self) -> Histogram<u64> {
        let mut latencies = Histogram::new_with_max(MAX_MICROS, 3).expect("bounds are constant");
        for call in self.with(Outcome::Answered) {
            latencies.saturating_record(call.micros);
        }
        latencies
    }
}

fn tally<T: Ord>(items: impl Iterator<Item = T>) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item).or_default() += 1;
    }
    counts
}
