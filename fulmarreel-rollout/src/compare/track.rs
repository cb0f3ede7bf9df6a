//! One route's measures.

use super::channel::{Channel, Counts, Part};
use crate::evidence::{BUCKETS, Loudest, Pair, Tally, bucket};
use fulmarreel_document::shift::Fault;

/// Calls that make a batch.
const BATCH_CALLS: u64 = 20;

/// Ticks after which a batch is closed however few calls it has.
const BATCH_TICKS: u32 = 10;

/// Calls to the old version before its latency is known.
const MIN_LATENCY_CALLS: f64 = 100.0;

/// Part of the old version's latency counts that a batch keeps.
const LATENCY_KEPT: f64 = 0.99;

/// Buckets of latency per factor of two.
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// The least latency that counts as slow, in microseconds: below it the noise of the instances is
/// as large as the latency.
const MIN_SLOW_US: u64 = 20_000;

/// The quantile of latency that is compared.
const QUANTILE: f64 = 0.95;

/// Reporters from which on the loudest one is left out.
const MIN_REPORTERS: u32 = 3;

/// One reporter in this many is left out of a verdict, and at least one.
const REPORTERS_PER_LEFT_OUT: u32 = 100;

/// Most reporters that are left out of a verdict.
const MAX_LEFT_OUT: u32 = 16;

/// The measures of one route.
#[derive(Debug, Clone, Default)]
pub(super) struct Track {
    pub errors: Channel,
    pub latency: Channel,
    /// A bit for each reporter that has called the new version.
    reporters: u64,
    batch: Batch,
    old_latency: [f64; BUCKETS],
}

/// Evidence that is too little yet, with the loud reporters of each sum in it.
#[derive(Debug, Clone, Default)]
struct Batch {
    old: Tally,
    new: Tally,
    failing: Vec<Loudest>,
    slowest: Vec<Loudest>,
    ticks: u32,
}

impl Track {
    /// Begins a step: what was suspected in the last one was checked or no longer matters.
    pub fn begin_step(&mut self) {
        self.errors.forget_history();
        self.latency.forget_history();
    }

    /// Takes in one sum.
    pub fn absorb(&mut self, pair: &Pair) {
        self.reporters |= pair.reporters;
        self.batch.old.merge(&pair.old);
        self.batch.new.merge(&pair.new);
        self.batch.failing.extend_from_slice(&pair.failing);
        self.batch.slowest.extend_from_slice(&pair.slowest);
    }

    /// Ends a tick and tests what has come if it is enough.
    pub fn tick(&mut self, fault: Fault, reports: u32) {
        self.batch.ticks += 1;
        if !self.batch.is_enough() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        self.test(&batch, fault, reports);
    }

    fn test(&mut self, batch: &Batch, fault: Fault, reports: u32) {
        let left_out = self.left_out(reports);
        let bound = fault.error_percent / 100.0;
        let errors = |tally: &Tally| tally.errors as f64;
        let parts = parts(&batch.failing, errors);
        self.errors
            .absorb(batch.counts(errors), &parts, bound, left_out);
        if let Some(edge) = self.slow_edge(fault.latency_ratio) {
            let slow = |tally: &Tally| tally.latency[edge..].iter().sum::<u64>() as f64;
            let parts = self::parts(&batch.slowest, slow);
            self.latency
                .absorb(batch.counts(slow), &parts, bound, left_out);
        }
        for (kept, count) in self.old_latency.iter_mut().zip(batch.old.latency) {
            *kept = *kept * LATENCY_KEPT + count as f64;
        }
    }

    /// How many reporters a verdict does without, so that a few that mislead decide nothing.
    pub fn left_out(&self, reports: u32) -> usize {
        if self.reporters.count_ones() < MIN_REPORTERS {
            return 0;
        }
        (reports / REPORTERS_PER_LEFT_OUT).clamp(1, MAX_LEFT_OUT) as usize
    }

    /// The first bucket whose calls count as slow, once the old version's latency is known.
    fn slow_edge(&self, ratio: f64) -> Option<usize> {
        let calls: f64 = self.old_latency.iter().sum();
        if calls < MIN_LATENCY_CALLS {
            return None;
        }
        let mut below = 0.0;
        let quantile = self.old_latency.iter().position(|count| {
            below += count;
            below >= QUANTILE * calls
        })?;
        let edge = quantile + (BUCKETS_PER_OCTAVE * ratio.log2()).round() as usize;
        let floor = bucket(MIN_SLOW_US) + 1;
        Some(edge.max(floor).min(BUCKETS - 1))
    }
}

impl Batch {
    /// Enough calls to the old version, or to the new one where the old one takes none.
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

/// What loud reporters counted, for those that counted any.
fn parts(loudest: &[Loudest], bad: impl Fn(&Tally) -> f64) -> Vec<Part> {
    let parts = loudest.iter().map(|loudest| Part {
        reporter: loudest.reporter,
        bad: bad(&loudest.new),
    });
    parts.filter(|part| part.bad > 0.0).collect()
}
