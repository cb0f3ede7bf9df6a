//! Merging of reports; the sum does not depend on their order.

use super::{Evidence, MAX_TOP_REPORTERS, Tally, TopReporter, VersionTallies, bucket_floor_us};

impl Evidence {
    /// Adds another sum to this one.
    pub fn merge(&mut self, other: &Self) {
        self.reports = self.reports.saturating_add(other.reports);
        for (route, pair) in &other.routes {
            self.routes.entry(*route).or_default().merge(pair);
        }
    }

    /// The sum over all routes.
    pub fn total(&self) -> VersionTallies {
        self.routes
            .values()
            .fold(VersionTallies::default(), |mut sum, pair| {
                sum.merge(pair);
                sum
            })
    }
}

impl VersionTallies {
    /// Adds another sum of the same route to this one.
    pub fn merge(&mut self, other: &Self) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
        self.reporters |= other.reporters;
        keep_top(&mut self.failing, &other.failing, |tally| tally.errors);
        keep_top(&mut self.slowest, &other.slowest, Tally::min_total_us);
    }
}

impl Tally {
    /// Adds another tally to this one.
    pub fn merge(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.errors = self.errors.saturating_add(other.errors);
        for (sum, count) in self.latency.iter_mut().zip(other.latency) {
            *sum = sum.saturating_add(count);
        }
    }

    /// Lower bound of the time that these calls took together, in microseconds.
    fn min_total_us(&self) -> u64 {
        let counts = self.latency.iter().enumerate();
        counts.fold(0, |sum: u64, (index, count)| {
            sum.saturating_add(count.saturating_mul(bucket_floor_us(index)))
        })
    }
}

/// Keeps the reporters with the highest scores. Ties are broken by the tally and the reporter's
/// hash, so that the result does not depend on the order of merging.
fn keep_top(kept: &mut Vec<TopReporter>, others: &[TopReporter], score: fn(&Tally) -> u64) {
    for other in others {
        let other_score = score(&other.new);
        let ranks_first = |kept: &TopReporter| {
            let scores = score(&kept.new).cmp(&other_score);
            scores
                .then_with(|| tie_break(kept).cmp(&tie_break(other)))
                .is_ge()
        };
        let position = kept.partition_point(ranks_first);
        if position < MAX_TOP_REPORTERS {
            kept.truncate(MAX_TOP_REPORTERS - 1);
            kept.insert(position, other.clone());
        }
    }
}

fn tie_break(top: &TopReporter) -> (u64, u32, u64, &[u64]) {
    let new = &top.new;
    (new.calls, top.reporter, new.errors, &new.latency)
}
