//! The sequential tests of one measure on one route.

use super::sum::Sum;

/// Excess rates that the tests look for, besides the smallest one that the document names.
const EXCESS_RATES: [f64; 2] = [0.1, 0.5];

/// The smallest excess rate tested, as a multiple of the document's bound.
const EXCESS_OVER_BOUND: f64 = 1.5;

/// The excess rate that a proof rules out, as a multiple of the document's bound.
const PROOF_OVER_BOUND: f64 = 2.0;

/// The strongest evidence against a version that a proof has to make up for.
const MAX_AGAINST_PROOF: f64 = 5.0;

/// The least rate of failed or slow calls that is assumed of the old version.
const PRIOR_RATE: f64 = 0.001;

/// Weight of what was known before, in calls.
const PRIOR_CALLS: f64 = 50.0;

/// The least that a sum comes to without the loudest reporters before it starts again.
const LEAST_WITHOUT: f64 = -3.0;

/// Calls to the new version for each further reporter that is left out: few calls come from few
/// of the nodes that may mislead.
const CALLS_PER_LEFT_OUT: f64 = 100.0;

/// Part of the old version's counts that a batch keeps in the base rate.
const BASE_KEPT: f64 = 0.97;

/// Failed or slow calls among all, of both versions over the same time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counts {
    pub old_calls: f64,
    pub old_bad: f64,
    pub new_calls: f64,
    pub new_bad: f64,
}

/// What a loud reporter counted among the new version's calls.
#[derive(Debug, Clone, Copy)]
pub(super) struct Part {
    pub reporter: u32,
    pub bad: f64,
}

/// The tests of one measure.
#[derive(Debug, Clone, Default)]
pub(super) struct Channel {
    base: Base,
    tests: [Test; 1 + EXCESS_RATES.len()],
    /// Evidence against the version at the same time; a proof is its negative.
    against: Sum,
    /// Evidence against the version by what the old one did earlier.
    history: Sum,
}

/// The running rate of the old version.
#[derive(Debug, Clone, Copy, Default)]
struct Base {
    calls: f64,
    bad: f64,
}

/// One cumulative sum against one excess rate.
#[derive(Debug, Clone, Default)]
struct Test {
    /// By the split of bad calls between the versions.
    split: Sum,
    /// By the new version's rate against the old one's.
    rate: Sum,
    counts: Counts,
}

/// The strength of the evidence against the new version.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Strength {
    /// Log-likelihood ratio by the split, without the loudest reporters.
    pub split: f64,
    /// Log-likelihood ratio by the rate.
    pub rate: f64,
    /// The counts that it rests on.
    pub counts: Counts,
}

impl Channel {
    /// Takes in one batch; `left_out` of the loudest reporters are done without.
    pub fn absorb(&mut self, counts: Counts, parts: &[Part], bound: f64, left_out: usize) {
        let base = self.base.rate();
        let excesses = std::iter::once(EXCESS_OVER_BOUND * bound).chain(EXCESS_RATES);
        for (test, excess) in self.tests.iter_mut().zip(excesses) {
            test.absorb(counts, parts, base, excess);
            test.restart_if_spent(left_out);
        }
        let excess = PROOF_OVER_BOUND * bound;
        self.absorb_proof(counts, parts, excess, left_out);
        self.absorb_history(counts, parts, excess, left_out);
        self.base.absorb(counts);
    }

    /// Forgets what spoke against the version by what the old one did earlier.
    pub fn forget_history(&mut self) {
        self.history.restart(0.0);
    }

    /// The strongest evidence, leaving out the loudest reporters.
    pub fn strongest(&self, left_out: usize) -> Strength {
        let strengths = self.tests.iter().map(|test| test.strength(left_out));
        strengths
            .max_by(|one, other| one.weaker().total_cmp(&other.weaker()))
            .unwrap_or_default()
    }

    /// Evidence that the new version is not worse than twice the bound.
    pub fn proof(&self, left_out: usize) -> f64 {
        -self.against.without(left_out)
    }

    /// Evidence against the version by what the old one did earlier.
    pub fn history(&self, left_out: usize) -> f64 {
        self.history.without(left_out)
    }

    fn absorb_proof(&mut self, counts: Counts, parts: &[Part], excess: f64, left_out: usize) {
        let rate = old_rate(counts, self.base.rate());
        add_rate_evidence(&mut self.against, counts, parts, rate, excess);
        if self.against.without(left_out) > MAX_AGAINST_PROOF {
            self.against.restart(MAX_AGAINST_PROOF);
        }
    }

    fn absorb_history(&mut self, counts: Counts, parts: &[Part], excess: f64, left_out: usize) {
        add_rate_evidence(&mut self.history, counts, parts, self.base.rate(), excess);
        if self.history.without(left_out) < 0.0 {
            self.history.restart(0.0);
        }
    }
}

impl Base {
    fn rate(&self) -> f64 {
        let rate = (self.bad + PRIOR_RATE * PRIOR_CALLS) / (self.calls + PRIOR_CALLS);
        rate.max(PRIOR_RATE)
    }

    fn absorb(&mut self, counts: Counts) {
        if counts.old_calls > 0.0 {
            self.calls = self.calls * BASE_KEPT + counts.old_calls;
            self.bad = self.bad * BASE_KEPT + counts.old_bad;
        }
    }
}

impl Test {
    fn absorb(&mut self, counts: Counts, parts: &[Part], base: f64, excess: f64) {
        let rate = old_rate(counts, base);
        add_rate_evidence(&mut self.rate, counts, parts, rate, excess);
        if counts.old_calls > 0.0 && counts.new_calls > 0.0 {
            self.absorb_split(counts, parts, base, excess);
        }
    }

    /// Starts again where nothing speaks against the version, or nothing but what the loudest
    /// reporters said.
    fn restart_if_spent(&mut self, left_out: usize) {
        let left_out = self.left_out(left_out);
        let sums = [&self.split, &self.rate];
        let spent = |sum: &Sum| sum.value() <= 0.0 || sum.without(left_out) < LEAST_WITHOUT;
        if sums.into_iter().any(spent) {
            self.split.restart(0.0);
            self.rate.restart(0.0);
            self.counts = Counts::default();
        }
    }

    /// The pooled rate depends on the sum of bad calls alone and not on their split, so that the
    /// ratio's expectation is one while the versions are alike.
    fn absorb_split(&mut self, counts: Counts, parts: &[Part], base: f64, excess: f64) {
        let rate = pooled_rate(counts, base);
        let weighted = counts.new_calls * (rate + excess) / rate;
        let alike = counts.new_calls / (counts.new_calls + counts.old_calls);
        let worse = weighted / (weighted + counts.old_calls);
        let per_new = (worse / alike).ln();
        let per_old = ((1.0 - worse) / (1.0 - alike)).ln();
        self.split
            .add(counts.new_bad * per_new + counts.old_bad * per_old);
        for part in parts {
            self.split.attribute(part.reporter, part.bad * per_new);
        }
        self.counts.add(counts);
    }

    fn left_out(&self, most: usize) -> usize {
        let taking_part = (self.counts.new_calls / CALLS_PER_LEFT_OUT) as usize;
        most.min(1 + taking_part)
    }

    fn strength(&self, left_out: usize) -> Strength {
        let left_out = self.left_out(left_out);
        Strength {
            split: self.split.without(left_out),
            rate: self.rate.without(left_out),
            counts: self.counts,
        }
    }
}

impl Strength {
    /// The weaker of the two ratios.
    pub fn weaker(&self) -> f64 {
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

/// The old version's rate of bad calls in this batch, steadied by what was known before.
fn old_rate(counts: Counts, base: f64) -> f64 {
    (counts.old_bad + PRIOR_CALLS * base) / (counts.old_calls + PRIOR_CALLS)
}

/// Both versions' rate of bad calls in this batch, steadied by what was known before.
fn pooled_rate(counts: Counts, base: f64) -> f64 {
    let calls = counts.old_calls + counts.new_calls;
    (counts.old_bad + counts.new_bad + PRIOR_CALLS * base) / (calls + PRIOR_CALLS)
}

/// Log-likelihood ratio of the new version's bad calls, with an excess against without one.
fn rate_evidence(counts: Counts, rate: f64, excess: f64) -> f64 {
    counts.new_bad * (1.0 + excess / rate).ln() - counts.new_calls * excess
}

fn add_rate_evidence(sum: &mut Sum, counts: Counts, parts: &[Part], rate: f64, excess: f64) {
    sum.add(rate_evidence(counts, rate, excess));
    for part in parts {
        sum.attribute(part.reporter, part.bad * (1.0 + excess / rate).ln());
    }
}
