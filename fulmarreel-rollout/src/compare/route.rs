//! The tests of one route, and the batches that they are applied to.

use super::measure::{Contribution, Counts, MeasureTests};
use crate::evidence::{BUCKETS, Tally, TopReporter, VersionTallies, bucket};
use fulmarreel_document::rollout::FaultThresholds;

/// Number of calls that completes a batch.
const BATCH_CALLS: u64 = 20;

/// Number of ticks after which a batch is complete however few calls it has.
const BATCH_TICKS: u32 = 10;

/// Number of calls to the old version before its latency counts as known.
const MIN_LATENCY_CALLS: f64 = 100.0;

/// Factor by which the old version's latency counts are multiplied with each batch.
const LATENCY_DECAY: f64 = 0.99;

/// Latency buckets per factor of two.
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// Lowest latency that counts as slow, in microseconds: below it, differences between the instances
/// are as large as the latency itself.
const MIN_SLOW_US: u64 = 20_000;

/// The latency quantile that is compared.
const QUANTILE: f64 = 0.95;

/// Number of reporters from which on the top one is excluded.
const MIN_REPORTERS: u32 = 3;

/// One reporter in this many is excluded from a verdict, and at least one.
const REPORTERS_PER_EXCLUDED: u32 = 100;

/// Most reporters that are excluded from a verdict.
const MAX_EXCLUDED: u32 = 16;

/// The tests of one route, or of all routes together.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteTests {
    pub errors: MeasureTests,
    pub latency: MeasureTests,
    /// A bit set of the reporters that have called the new version, by hash.
    reporters: u64,
    batch: Batch,
    old_latency: [f64; BUCKETS],
}

/// Evidence that is too little to be tested yet, with the top reporters of each sum in it.
#[derive(Debug, Clone, Default)]
struct Batch {
    old: Tally,
    new: Tally,
    failing: Vec<TopReporter>,
    slowest: Vec<TopReporter>,
    ticks: u32,
}

impl RouteTests {
    /// Begins a step: whatever was suspected during the last one has been checked or no longer
    /// matters.
    pub fn begin_step(&mut self) {
        self.errors.reset_history();
        self.latency.reset_history();
    }

    /// Adds a zone's sum to the batch.
    pub fn absorb(&mut self, pair: &VersionTallies) {
        self.reporters |= pair.reporters;
        self.batch.old.merge(&pair.old);
        self.batch.new.merge(&pair.new);
        self.batch.failing.extend_from_slice(&pair.failing);
        self.batch.slowest.extend_from_slice(&pair.slowest);
    }

    /// Ends a tick, and tests the batch if it is complete.
    pub fn tick(&mut self, fault: FaultThresholds, reports: u32) {
        self.batch.ticks += 1;
        if !self.batch.is_enough() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        self.test(&batch, fault, reports);
    }

    fn test(&mut self, batch: &Batch, fault: FaultThresholds, reports: u32) {
        let excluded = self.excluded_reporters(reports);
        let bound = fault.error_percent / 100.0;
        let errors = |tally: &Tally| tally.errors as f64;
        let contributions = contributions(&batch.failing, errors);
        self.errors
            .absorb(batch.counts(errors), &contributions, bound, excluded);
        if let Some(first_slow) = self.slow_bucket(fault.latency_ratio) {
            let slow = |tally: &Tally| tally.latency[first_slow..].iter().sum::<u64>() as f64;
            let contributions = self::contributions(&batch.slowest, slow);
            self.latency
                .absorb(batch.counts(slow), &contributions, bound, excluded);
        }
        for (sum, count) in self.old_latency.iter_mut().zip(batch.old.latency) {
            *sum = *sum * LATENCY_DECAY + count as f64;
        }
    }

    /// How many top reporters a verdict excludes, so that a few misleading ones decide nothing.
    pub fn excluded_reporters(&self, reports: u32) -> usize {
        if self.reporters.count_ones() < MIN_REPORTERS {
            return 0;
        }
        (reports / REPORTERS_PER_EXCLUDED).clamp(1, MAX_EXCLUDED) as usize
    }

    /// The first latency bucket whose calls count as slow, once the old version's latency is known.
    fn slow_bucket(&self, ratio: f64) -> Option<usize> {
        let calls: f64 = self.old_latency.iter().sum();
        if calls < MIN_LATENCY_CALLS {
            return None;
        }
        let mut below = 0.0;
        let quantile = self.old_latency.iter().position(|count| {
            below += count;
            below >= QUANTILE * calls
        })?;
        let first_slow = quantile + (BUCKETS_PER_OCTAVE * ratio.log2()).round() as usize;
        let floor = bucket(MIN_SLOW_US) + 1;
        Some(first_slow.max(floor).min(BUCKETS - 1))
    }
}

impl Batch {
    /// Whether the batch has enough calls to the old version, or to the new one if the old one
    /// takes none.
    fn is_enough(&self) -> bool {
        let calls = if self.old.calls == 0 {
            self.new.calls
        } else {
            self.old.calls
        };
        calls >= BATCH_CALLS || self.ticks >= BATCH_TICKS
    }

    fn counts(&self, bad: impl Fn(&Tally) -> f64) -> Counts {
        Counts {
            old_calls: self.old.calls as f64,
            old_bad: bad(&self.old),
            new_calls: self.new.calls as f64,
            new_bad: bad(&self.new),
        }
    }
}

/// The bad calls that the top reporters counted, for those that counted any.
fn contributions(top_reporters: &[TopReporter], bad: impl Fn(&Tally) -> f64) -> Vec<Contribution> {
    let contributions = top_reporters.iter().map(|top| Contribution {
        reporter: top.reporter,
        bad: bad(&top.new),
    });
    contributions
        .filter(|contribution| contribution.bad > 0.0)
        .collect()
}
