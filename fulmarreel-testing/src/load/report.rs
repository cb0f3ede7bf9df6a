//! The outcomes of the calls of one run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The largest latency that the histogram records, in microseconds; longer ones count as this one.
const MAX_MICROS: u64 = 120_000_000;

/// The outcome of one call, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer to this call arrived.
    Answered,
    /// The node said that the call was not run.
    NotRun,
    /// The node said that the outcome is unknown.
    Unknown,
    /// The answer was truncated, or none arrived in time.
    Failed,
    /// An answer arrived that is incomplete or belongs to another call.
    Wrong,
}

/// The record of one call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The call's name.
    pub name: String,
    /// Its outcome.
    pub outcome: Outcome,
    /// The HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The version of the target that answered; empty if unknown.
    pub version: String,
    /// Time from when the call was scheduled to its end, in microseconds.
    pub micros: u64,
    /// What went wrong; empty for answered calls.
    pub detail: String,
}

/// The calls of one run.
#[derive(Debug)]
pub struct Report {
    /// Every call.
    pub records: Vec<Record>,
    elapsed: Duration,
}

/// The counts and latencies of a run.
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
    /// Creates a report of calls that took `elapsed` altogether.
    pub fn new(records: Vec<Record>, elapsed: Duration) -> Self {
        Self { records, elapsed }
    }

    /// The number of calls with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        let matching = self.records.iter().filter(|call| call.outcome == outcome);
        matching.count()
    }

    /// The calls with an outcome.
    pub fn with_outcome(&self, outcome: Outcome) -> impl Iterator<Item = &Record> {
        let records = self.records.iter();
        records.filter(move |call| call.outcome == outcome)
    }

    /// The counts and latencies of the run as one line of JSON; latencies are those of answered calls.
    pub fn summary(&self) -> String {
        let latencies = self.latencies();
        let summary = Summary {
            calls: self.records.len(),
            seconds: self.elapsed.as_secs_f64(),
            outcomes: count_occurrences(self.records.iter().map(|call| call.outcome)),
            statuses: count_occurrences(self.records.iter().map(|call| call.status)),
            versions: count_occurrences(self.records.iter().map(|call| call.version.clone())),
            p50_us: latencies.value_at_quantile(0.5),
            p90_us: latencies.value_at_quantile(0.9),
            p99_us: latencies.value_at_quantile(0.99),
            max_us: latencies.max(),
        };
        serde_json::to_string(&summary).unwrap_or_default()
    }

    fn latencies(&self) -> Histogram<u64> {
        let mut latencies = Histogram::new_with_max(MAX_MICROS, 3).expect("bounds are constant");
        for call in self.with_outcome(Outcome::Answered) {
            latencies.saturating_record(call.micros);
        }
        latencies
    }
}

fn count_occurrences<T: Ord>(items: impl Iterator<Item = T>) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item).or_default() += 1;
    }
    counts
}
