//! Figures computed from many runs.

use crate::{
    case::{Case, Verdict},
    run::Record,
};
use serde::Serialize;

/// The runs of one case under one driver.
pub struct Runs<'a> {
    /// The case.
    pub case: &'a Case,
    /// One record for each seed.
    pub records: Vec<Record>,
}

/// Figures over all cases under one driver.
#[derive(Debug, Serialize)]
pub struct Figures {
    good_on_time: Option<f64>,
    good_taken_back: Option<f64>,
    bad_taken_back: Option<f64>,
    harmed_calls_median: Option<f64>,
    harmed_calls_p99: Option<f64>,
    peak_bad_share: Option<f64>,
    peak_bad_share_p99: Option<f64>,
    seconds_to_verdict_median: Option<f64>,
    hard_non_idempotent_harmed_calls_median: Option<f64>,
    evidence_bytes_per_node_s: f64,
    weighted_tlaxcala: f64,
    weighted_tavua: f64,
}

/// The weights of one user's priorities, set in docs/decisions/rollout.md before the first
/// measurement.
struct Weights {
    on_time: f64,
    verdict_time: f64,
    taken_back: f64,
    kept: f64,
    harm: f64,
    bytes: f64,
}

const TLAXCALA: Weights = Weights {
    on_time: 0.35,
    verdict_time: 0.25,
    taken_back: 0.15,
    kept: 0.10,
    harm: 0.10,
    bytes: 0.05,
};

const TAVUA: Weights = Weights {
    on_time: 0.15,
    verdict_time: 0.10,
    taken_back: 0.35,
    kept: 0.10,
    harm: 0.10,
    bytes: 0.20,
};

/// Time to a verdict, in seconds, that scores half.
const HALF_VERDICT_S: f64 = 30.0;

/// Evidence, in bytes per node and second, that scores half.
const HALF_BYTES: f64 = 1_000.0;

impl Figures {
    /// The figures of one driver; harm is scored relative to the fixed ramp's.
    pub fn of(runs: &[Runs<'_>], ramp: &[Runs<'_>]) -> Self {
        let good = records(runs, |case| case.expected_verdict() == Verdict::Good);
        let bad = records(runs, |case| case.expected_verdict() == Verdict::Bad);
        let hard = records(runs, Case::is_hard_non_idempotent);
        let all = records(runs, |_| true);
        let harmed = |records: &[Record], at| {
            quantile(
                records.iter().map(|record| record.harmed as f64).collect(),
                at,
            )
        };
        let peaks = |at| quantile(bad.iter().map(|record| record.peak_share).collect(), at);
        let verdicts = bad.iter().filter_map(|record| record.to_verdict);
        let mut figures = Self {
            good_on_time: fraction(&good, |record| record.on_time && !record.taken_back),
            good_taken_back: fraction(&good, |record| record.taken_back),
            bad_taken_back: fraction(&bad, |record| record.taken_back),
            harmed_calls_median: harmed(&bad, 0.5),
            harmed_calls_p99: harmed(&bad, 0.99),
            peak_bad_share: peaks(0.5),
            peak_bad_share_p99: peaks(0.99),
            seconds_to_verdict_median: quantile(verdicts.map(|s| s as f64).collect(), 0.5),
            hard_non_idempotent_harmed_calls_median: harmed(&hard, 0.5),
            evidence_bytes_per_node_s: mean(&all, |record| record.report_bytes),
            weighted_tlaxcala: 0.0,
            weighted_tavua: 0.0,
        };
        let of_ramp = records(ramp, |case| case.expected_verdict() == Verdict::Bad);
        let ramp_harm = harmed(&of_ramp, 0.5).unwrap_or(0.0);
        figures.weighted_tlaxcala = figures.weighted(&TLAXCALA, ramp_harm);
        figures.weighted_tavua = figures.weighted(&TAVUA, ramp_harm);
        figures
    }

    fn weighted(&self, weights: &Weights, ramp_harm: f64) -> f64 {
        let harm = self.harmed_calls_median.unwrap_or(0.0) / ramp_harm.max(1.0);
        let verdict_time = self
            .seconds_to_verdict_median
            .map_or(0.0, |seconds| 1.0 / (1.0 + seconds / HALF_VERDICT_S));
        weights.on_time * self.good_on_time.unwrap_or(0.0)
            + weights.verdict_time * verdict_time
            + weights.taken_back * self.bad_taken_back.unwrap_or(0.0)
            + weights.kept * (1.0 - self.good_taken_back.unwrap_or(0.0))
            + weights.harm * (1.0 - harm).max(0.0)
            + weights.bytes / (1.0 + self.evidence_bytes_per_node_s / HALF_BYTES)
    }
}

/// A line with the figures of one case.
pub fn line(driver: &str, runs: &Runs<'_>) -> String {
    let records = &runs.records;
    let show = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.4}"));
    let count = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.0}"));
    let harmed: Vec<f64> = records.iter().map(|record| record.harmed as f64).collect();
    let verdicts = records.iter().filter_map(|record| record.to_verdict);
    let verdicts: Vec<f64> = verdicts.map(|seconds| seconds as f64).collect();
    let moved = records.iter().filter_map(|record| record.moved_at);
    let moved: Vec<f64> = moved.map(|seconds| seconds as f64).collect();
    format!(
        "{driver:9} {:5} {:44} on_time {:6} taken_back {:6} harmed {:>6} p99 {:>8} peak {:6} verdict_s {:>5} moved_s {:>5} bytes {:.0}",
        format!("{:?}", runs.case.expected_verdict()).to_lowercase(),
        runs.case.name,
        show(fraction(records, |record| record.on_time && !record.taken_back)),
        show(fraction(records, |record| record.taken_back)),
        count(quantile(harmed.clone(), 0.5)),
        count(quantile(harmed, 0.99)),
        show(quantile(
            records.iter().map(|record| record.peak_share).collect(),
            0.5
        )),
        count(quantile(verdicts, 0.5)),
        count(quantile(moved, 0.5)),
        mean(records, |record| record.report_bytes),
    )
}

fn records(runs: &[Runs<'_>], wanted: impl Fn(&Case) -> bool) -> Vec<Record> {
    let wanted = runs.iter().filter(|runs| wanted(runs.case));
    wanted
        .flat_map(|runs| runs.records.iter().copied())
        .collect()
}

fn fraction(records: &[Record], wanted: impl Fn(&Record) -> bool) -> Option<f64> {
    let hits = records.iter().filter(|record| wanted(record)).count();
    (!records.is_empty()).then(|| hits as f64 / records.len() as f64)
}

fn mean(records: &[Record], value: impl Fn(&Record) -> f64) -> f64 {
    records.iter().map(value).sum::<f64>() / records.len().max(1) as f64
}

fn quantile(mut values: Vec<f64>, at: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let index = (at * values.len() as f64) as usize;
    values
        .get(index.min(values.len().saturating_sub(1)))
        .copied()
}
