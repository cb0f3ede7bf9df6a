//! The sequential tests of one measure, errors or latency, on one route.

use super::sum::AttributedSum;

/// Excess rates that are tested in addition to the smallest one, which follows from the document's
/// bound.
const EXCESS_RATES: [f64; 2] = [0.1, 0.5];

/// Smallest excess rate tested, as a multiple of the document's bound.
const MIN_EXCESS_TO_BOUND: f64 = 1.5;

/// Excess rate that a proof rules out, as a multiple of the document's bound.
const PROOF_EXCESS_TO_BOUND: f64 = 2.0;

/// Upper limit of the evidence against the version that a proof has to outweigh.
const MAX_CONCURRENT_LLR: f64 = 5.0;

/// Lowest rate of failed or slow calls that is assumed for the old version.
const MIN_BASE_RATE: f64 = 0.001;

/// Weight of the prior rate, in calls.
const PRIOR_CALLS: f64 = 50.0;

/// A test restarts once its sum without the top reporters falls below this log-likelihood ratio.
const MIN_TEST_LLR: f64 = -3.0;

/// Number of calls to the new version for each further reporter that is excluded: few calls come
/// from few of the nodes that may mislead.
const CALLS_PER_EXCLUDED: f64 = 100.0;

/// Factor by which the old version's counts in the base rate are multiplied with each batch.
const BASE_DECAY: f64 = 0.97;

/// Numbers of all calls and of bad (failed or slow) calls to both versions over the same time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counts {
    pub old_calls: f64,
    pub old_bad: f64,
    pub new_calls: f64,
    pub new_bad: f64,
}

/// What a top reporter counted among the new version's bad calls.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contribution {
    pub reporter: u32,
    pub bad: f64,
}

/// The tests of one measure on one route.
#[derive(Debug, Clone, Default)]
pub(super) struct MeasureTests {
    base: BaseRate,
    tests: [ExcessTest; 1 + EXCESS_RATES.len()],
    /// Evidence against the new version by the old version's calls over the same time; a proof is
    /// its negative.
    concurrent: AttributedSum,
    /// Evidence against the new version by the old version's earlier calls.
    history: AttributedSum,
}

/// Decaying counts for the old version's rate of bad calls.
#[derive(Debug, Clone, Copy, Default)]
struct BaseRate {
    calls: f64,
    bad: f64,
}

/// Cumulative sums for one excess rate.
#[derive(Debug, Clone, Default)]
struct ExcessTest {
    /// Log-likelihood ratio by the split of bad calls between the versions.
    split: AttributedSum,
    /// Log-likelihood ratio by the new version's rate against the old version's.
    rate: AttributedSum,
    counts: Counts,
}

/// The strength of the evidence against the new version.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Strength {
    /// Log-likelihood ratio by the split of bad calls, without the top reporters.
    pub split: f64,
    /// Log-likelihood ratio by the rate of bad calls, without the top reporters.
    pub rate: f64,
    /// The counts that the evidence rests on.
    pub counts: Counts,
}

impl MeasureTests {
    /// Absorbs one batch; up to `excluded` top reporters are left out of the decisions.
    pub fn absorb(
        &mut self,
        counts: Counts,
        contributions: &[Contribution],
        bound: f64,
        excluded: usize,
    ) {
        let base = self.base.rate();
        let excesses = std::iter::once(MIN_EXCESS_TO_BOUND * bound).chain(EXCESS_RATES);
        for (test, excess) in self.tests.iter_mut().zip(excesses) {
            test.absorb(counts, contributions, base, excess);
            test.restart_if_refuted(excluded);
        }
        let excess = PROOF_EXCESS_TO_BOUND * bound;
        self.absorb_proof(counts, contributions, excess, excluded);
        self.absorb_history(counts, contributions, excess, excluded);
        self.base.absorb(counts);
    }

    /// Resets the evidence by the old version's earlier calls.
    pub fn reset_history(&mut self) {
        self.history.restart(0.0);
    }

    /// The strongest evidence over all excess rates, without the top reporters.
    pub fn strongest(&self, excluded: usize) -> Strength {
        let strengths = self.tests.iter().map(|test| test.strength(excluded));
        strengths
            .max_by(|one, other| one.weaker_llr().total_cmp(&other.weaker_llr()))
            .unwrap_or_default()
    }

    /// Evidence that the new version's excess rate is below twice the bound.
    pub fn proof(&self, excluded: usize) -> f64 {
        -self.concurrent.excluding_top(excluded)
    }

    /// Evidence against the new version by the old version's earlier calls.
    pub fn history(&self, excluded: usize) -> f64 {
        self.history.excluding_top(excluded)
    }

    fn absorb_proof(
        &mut self,
        counts: Counts,
        contributions: &[Contribution],
        excess: f64,
        excluded: usize,
    ) {
        let rate = smoothed_old_rate(counts, self.base.rate());
        add_rate_llr(&mut self.concurrent, counts, contributions, rate, excess);
        if self.concurrent.excluding_top(excluded) > MAX_CONCURRENT_LLR {
            self.concurrent.restart(MAX_CONCURRENT_LLR);
        }
    }

    fn absorb_history(
        &mut self,
        counts: Counts,
        contributions: &[Contribution],
        excess: f64,
        excluded: usize,
    ) {
        add_rate_llr(
            &mut self.history,
            counts,
            contributions,
            self.base.rate(),
            excess,
        );
        if self.history.excluding_top(excluded) < 0.0 {
            self.history.restart(0.0);
        }
    }
}

impl BaseRate {
    fn rate(&self) -> f64 {
        let rate = (self.bad + MIN_BASE_RATE * PRIOR_CALLS) / (self.calls + PRIOR_CALLS);
        rate.max(MIN_BASE_RATE)
    }

    fn absorb(&mut self, counts: Counts) {
        if counts.old_calls > 0.0 {
            self.calls = self.calls * BASE_DECAY + counts.old_calls;
            self.bad = self.bad * BASE_DECAY + counts.old_bad;
        }
    }
}

impl ExcessTest {
    fn absorb(&mut self, counts: Counts, contributions: &[Contribution], base: f64, excess: f64) {
        let rate = smoothed_old_rate(counts, base);
        add_rate_llr(&mut self.rate, counts, contributions, rate, excess);
        if counts.old_calls > 0.0 && counts.new_calls > 0.0 {
            self.absorb_split(counts, contributions, base, excess);
        }
    }

    /// Restarts once nothing speaks against the version, or nothing but what the top reporters
    /// contributed.
    fn restart_if_refuted(&mut self, max_excluded: usize) {
        let excluded = self.excluded(max_excluded);
        let sums = [&self.split, &self.rate];
        let is_refuted =
            |sum: &AttributedSum| sum.value() <= 0.0 || sum.excluding_top(excluded) < MIN_TEST_LLR;
        if sums.into_iter().any(is_refuted) {
            self.split.restart(0.0);
            self.rate.restart(0.0);
            self.counts = Counts::default();
        }
    }

    /// Adds the evidence by the split. The pooled rate depends only on the sum of bad calls and not
    /// on their split, so that the expected likelihood ratio is one while the versions are alike.
    fn absorb_split(
        &mut self,
        counts: Counts,
        contributions: &[Contribution],
        base: f64,
        excess: f64,
    ) {
        let rate = smoothed_pooled_rate(counts, base);
        let weighted_new_calls = counts.new_calls * (rate + excess) / rate;
        let new_share_if_alike = counts.new_calls / (counts.new_calls + counts.old_calls);
        let new_share_if_worse = weighted_new_calls / (weighted_new_calls + counts.old_calls);
        let llr_per_new_bad = (new_share_if_worse / new_share_if_alike).ln();
        let llr_per_old_bad = ((1.0 - new_share_if_worse) / (1.0 - new_share_if_alike)).ln();
        self.split
            .add(counts.new_bad * llr_per_new_bad + counts.old_bad * llr_per_old_bad);
        for contribution in contributions {
            self.split
                .attribute(contribution.reporter, contribution.bad * llr_per_new_bad);
        }
        self.counts.add(counts);
    }

    /// How many top reporters this test excludes, given the most that may be.
    fn excluded(&self, max_excluded: usize) -> usize {
        let excluded_by_calls = (self.counts.new_calls / CALLS_PER_EXCLUDED) as usize;
        max_excluded.min(1 + excluded_by_calls)
    }

    fn strength(&self, max_excluded: usize) -> Strength {
        let excluded = self.excluded(max_excluded);
        Strength {
            split: self.split.excluding_top(excluded),
            rate: self.rate.excluding_top(excluded),
            counts: self.counts,
        }
    }
}

impl Strength {
    /// The weaker of the two log-likelihood ratios.
    pub fn weaker_llr(&self) -> f64 {
        self.split.min(self.rate)
    }
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.old_calls += other.old_calls;
        self.old_bad += other.old_bad;
        self.new_calls += other.new_calls;
        self.new_bad += other.new_bad;
    }
}

/// The old version's rate of bad calls in this batch, smoothed by the base rate.
fn smoothed_old_rate(counts: Counts, base: f64) -> f64 {
    (counts.old_bad + PRIOR_CALLS * base) / (counts.old_calls + PRIOR_CALLS)
}

/// Both versions' rate of bad calls in this batch, smoothed by the base rate.
fn smoothed_pooled_rate(counts: Counts, base: f64) -> f64 {
    let calls = counts.old_calls + counts.new_calls;
    (counts.old_bad + counts.new_bad + PRIOR_CALLS * base) / (calls + PRIOR_CALLS)
}

/// Log-likelihood ratio of the new version's bad calls: with the excess rate against without it.
fn rate_llr(counts: Counts, rate: f64, excess: f64) -> f64 {
    counts.new_bad * (1.0 + excess / rate).ln() - counts.new_calls * excess
}

fn add_rate_llr(
    sum: &mut AttributedSum,
    counts: Counts,
    contributions: &[Contribution],
    rate: f64,
    excess: f64,
) {
    sum.add(rate_llr(counts, rate, excess));
    for contribution in contributions {
        sum.attribute(
            contribution.reporter,
            contribution.bad * (1.0 + excess / rate).ln(),
        );
    }
}
